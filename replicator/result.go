package replicator

import (
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Result is what became of a change in the log.
	Result struct {
		record  *schema.Record
		offset  provider.Offset
		outcome declarer.Outcome
		err     *coder.Error
	}
)

// ID gives the id of the record that carries the change.
func (r Result) ID() string { return r.record.GetId() }

// Record gives the record that carries the change.
func (r Result) Record() *schema.Record { return r.record }

// Offset gives the place of the change in the config stream.
func (r Result) Offset() provider.Offset { return r.offset }

// Befores gives what each item of the change stood at before, in order.
func (r Result) Befores() []declarer.Item { return r.outcome.Befores() }

// Accepted tells whether the change is in force.
func (r Result) Accepted() bool { return r.err == nil }

// Err gives why the change was refused, or nil.
func (r Result) Err() *coder.Error { return r.err }
