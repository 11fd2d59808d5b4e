package replicator

import (
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Result is the outcome of a change that was read from the log: accepted or refused.
	Result struct {
		record  *schema.Record
		offset  provider.Offset
		outcome declarer.Outcome
		err     *coder.Error
	}
)

// ID returns the id of the record that carries the change.
func (r Result) ID() string { return r.record.GetId() }

// Record returns the record that carries the change.
func (r Result) Record() *schema.Record { return r.record }

// Offset returns the offset of the change in the config stream.
func (r Result) Offset() provider.Offset { return r.offset }

// PreviousItems returns the previous version of each item of the change, in order.
func (r Result) PreviousItems() []declarer.Item { return r.outcome.Previous() }

// Accepted reports whether the change is in force.
func (r Result) Accepted() bool { return r.err == nil }

// Err returns why the change was refused, or nil.
func (r Result) Err() *coder.Error { return r.err }
