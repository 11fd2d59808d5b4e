package keeper

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Actions are what a step asks for.
	Actions struct {
		appends []Append
		orders  []*Order
		events  []Event
	}

	// Append is a record for the log. It is tried until its id was read back.
	Append struct {
		stream string
		record *schema.Record
	}

	// EventKind is what an Event tells of.
	EventKind int

	// Event tells of what a task did, for those who learn from it and those
	// who bill it.
	Event struct {
		kind   EventKind
		at     clock.Millis
		worker string
		task   placer.Task
		code   coder.Code
		usage  provider.UsageSample
		// reading is that of the worker's clock at the time of at.
		reading int64
		ranFor  clock.Millis
	}
)

// Kinds of events.
const (
	// EventStarted is a run that the worker confirmed.
	EventStarted EventKind = iota
	// EventEnded is a run that ended with a code.
	EventEnded
	// EventUsage is a sample of what a run used.
	EventUsage
	// EventEvicted is a run that was stopped to go on later.
	EventEvicted
)

// Appends gives the records to add to the log.
func (a Actions) Appends() []Append { return a.appends }

// Orders gives the calls to make to workers.
func (a Actions) Orders() []*Order { return a.orders }

// Events gives what happened.
func (a Actions) Events() []Event { return a.events }

// Stream gives the stream that the record belongs to.
func (a Append) Stream() string { return a.stream }

// Record gives the record.
func (a Append) Record() *schema.Record { return a.record }

// Kind gives what is told.
func (e Event) Kind() EventKind { return e.kind }

// At gives when it was learnt.
func (e Event) At() clock.Millis { return e.at }

// Worker gives where it happened.
func (e Event) Worker() string { return e.worker }

// Task gives the task as the placer sees it.
func (e Event) Task() placer.Task { return e.task }

// Code gives how a run ended.
func (e Event) Code() coder.Code { return e.code }

// Usage gives the sample of an EventUsage.
func (e Event) Usage() provider.UsageSample { return e.usage }

// Span gives when the sample of an EventUsage was taken, by the owner's clock.
func (e Event) Span() (from, until clock.Millis) {
	return e.at - clock.Millis(e.reading-e.usage.From), e.at - clock.Millis(e.reading-e.usage.Until)
}

// RanFor gives how long the worker says that the run took.
func (e Event) RanFor() clock.Millis { return e.ranFor }
