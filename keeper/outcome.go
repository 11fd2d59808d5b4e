package keeper

import (
	"galenawharf.example/galenawharf/coder"
)

type (
	// Outcome is the state of the task with a key, or its result once it has ended.
	Outcome struct {
		known  bool
		code   coder.Code
		state  string
		answer []byte
		ran    bool
	}
)

// Known reports whether the shard has the task or its result.
func (o Outcome) Known() bool { return o.known }

// Code returns the result: OK, Failed, Cancelled, Parked, NeverFits, DeadlineTooShort,
// Unknown, or Pending if the task has not ended.
func (o Outcome) Code() coder.Code { return o.code }

// State returns "waiting", "granted" if the task is assigned to a worker, or "ended"; ""
// if the shard doesn't have the task.
func (o Outcome) State() string { return o.state }

// Answer returns the answer of the task's last run. It is kept for 2 days, the result code
// for KeyRetention.
func (o Outcome) Answer() []byte { return o.answer }

// Ran reports whether the task may have run. False means that it certainly has not.
func (o Outcome) Ran() bool { return o.ran }

// Outcome returns the state or result of the task with a key.
func (k *Keeper) Outcome(key string) Outcome {
	if r, known := k.results[key]; known {
		return Outcome{known: true, code: r.code, state: "ended", answer: r.answer, ran: r.ran}
	}
	t := k.tasks[key]
	if t == nil {
		return Outcome{}
	}
	code := coder.Pending
	if t.unresolvedSince > 0 {
		code = coder.Unknown
	}
	return Outcome{known: true, code: code, state: t.state, ran: t.ran || t.lease != nil}
}
