package keeper

import (
	"galenawharf.example/galenawharf/coder"
)

type (
	// Outcome is the state or result of the work under a key.
	Outcome struct {
		known  bool
		code   coder.Code
		state  string
		answer []byte
		ran    bool
	}
)

// Known reports whether the shard has the work.
func (o Outcome) Known() bool { return o.known }

// Code returns the result: OK, Failed, Cancelled, Parked, NeverFits, DeadlineTooShort,
// Unknown, or Pending if the work has not ended.
func (o Outcome) Code() coder.Code { return o.code }

// State returns the name of the state, such as "waiting" or "ended".
func (o Outcome) State() string { return o.state }

// Answer returns the answer of the work. It is kept for a shorter time than the result
// code.
func (o Outcome) Answer() []byte { return o.answer }

// Ran reports whether any of the work may have run; false means that none of it did.
func (o Outcome) Ran() bool { return o.ran }

// Outcome returns the state or result of the work under a key.
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
