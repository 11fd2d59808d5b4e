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

	// Append is a record for the log. The caller appends it again until it has read a
	// record with its ID from the log.
	Append struct {
		stream string
		record *schema.Record
	}

	// EventKind is what an Event reports about a run.
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
		// reading is the worker's clock when it sent the usage sample, in milliseconds. The
		// difference to at, when the sample arrived, is neglected.
		reading int64
		ranFor  clock.Millis
	}
)

// Kinds of events.
const (
	// EventStarted is a run whose start the worker confirmed.
	EventStarted EventKind = iota
	// EventEnded is a run that is over, or that never started, for any reason except an
	// eviction. Of service replicas only failed runs are reported.
	EventEnded
	// EventUsage is a sample of the resources that a run used.
	EventUsage
	// EventEvicted is a run that was stopped and whose task will run again.
	EventEvicted
)

// Appends returns the records to append to the log.
func (a Actions) Appends() []Append { return a.appends }

// Orders returns the calls to make to workers.
func (a Actions) Orders() []*Order { return a.orders }

// Events returns what happened to runs since the last step.
func (a Actions) Events() []Event { return a.events }

// Stream returns the name of the stream to append to.
func (a Append) Stream() string { return a.stream }

// Record returns the record to append.
func (a Append) Record() *schema.Record { return a.record }

// Kind returns what the event reports.
func (e Event) Kind() EventKind { return e.kind }

// At returns when the keeper learned of the event, by the clock of its daemon, the owner of
// the shard.
func (e Event) At() clock.Millis { return e.at }

// Worker returns the name of the worker that the run was assigned to.
func (e Event) Worker() string { return e.worker }

// Task returns the task of the run.
func (e Event) Task() placer.Task { return e.task }

// Code returns the result code of an EventEnded or EventEvicted.
func (e Event) Code() coder.Code { return e.code }

// Usage returns the sample of an EventUsage.
func (e Event) Usage() provider.UsageSample { return e.usage }

// SampleInterval returns the interval that the sample of an EventUsage covers, by the clock of the
// shard's owner.
func (e Event) SampleInterval() (from, until clock.Millis) {
	return e.at - clock.Millis(e.reading-e.usage.From), e.at - clock.Millis(e.reading-e.usage.Until)
}

// RanFor returns the duration of the run as reported by the worker, 0 if it didn't report
// one.
func (e Event) RanFor() clock.Millis { return e.ranFor }
