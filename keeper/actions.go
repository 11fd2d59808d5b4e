package keeper

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Actions are the log records, worker orders and events that a step produced.
	Actions struct {
		appends []Append
		orders  []*Order
		events  []Event
	}

	// Append is a record for the log. The caller retries it until its ID was read back.
	Append struct {
		stream string
		record *schema.Record
	}

	// EventKind is the kind of an Event.
	EventKind int

	// Event reports a start, an end, an eviction or the resource usage of a run, for
	// placement and billing.
	Event struct {
		kind   EventKind
		at     clock.Millis
		worker string
		task   placer.Task
		code   coder.Code
		usage  provider.UsageSample
		// reading is the worker's clock at the time at, in milliseconds.
		reading int64
		ranFor  clock.Millis
	}
)

// Kinds of events.
const (
	// EventStarted is a run whose start the worker confirmed.
	EventStarted EventKind = iota
	// EventEnded is a run that ended with a result code.
	EventEnded
	// EventUsage is a sample of the resources that a run used.
	EventUsage
	// EventEvicted is a run that was stopped and will be resumed.
	EventEvicted
)

// Appends returns the records to append to the log.
func (a Actions) Appends() []Append { return a.appends }

// Orders returns the calls to make to workers.
func (a Actions) Orders() []*Order { return a.orders }

// Events returns what happened to tasks since the last step.
func (a Actions) Events() []Event { return a.events }

// Stream returns the name of the stream to append to.
func (a Append) Stream() string { return a.stream }

// Record returns the record to append.
func (a Append) Record() *schema.Record { return a.record }

// Kind returns the kind of the event.
func (e Event) Kind() EventKind { return e.kind }

// At returns when the keeper learned of the event, by the owner's clock.
func (e Event) At() clock.Millis { return e.at }

// Worker returns the name of the worker.
func (e Event) Worker() string { return e.worker }

// Task returns the task in the placer's form.
func (e Event) Task() placer.Task { return e.task }

// Code returns the result code of an EventEnded or EventEvicted.
func (e Event) Code() coder.Code { return e.code }

// Usage returns the sample of an EventUsage.
func (e Event) Usage() provider.UsageSample { return e.usage }

// Span returns the interval of the sample of an EventUsage, by the owner's clock.
func (e Event) Span() (from, until clock.Millis) {
	return e.at - clock.Millis(e.reading-e.usage.From), e.at - clock.Millis(e.reading-e.usage.Until)
}

// RanFor returns the duration of the run as reported by the worker, 0 if it didn't report
// one.
func (e Event) RanFor() clock.Millis { return e.ranFor }
