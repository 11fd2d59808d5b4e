package keeper

import (
	"galenawharf.example/galenawharf/coder"
)

type (
	// Outcome is what became of the work under a key.
	Outcome struct {
		known  bool
		code   coder.Code
		state  string
		answer []byte
		ran    bool
	}
)

// Known tells whether the shard has the work.
func (o Outcome) Known() bool { return o.known }

// Code gives its result: OK, Failed, Cancelled, Parked, NeverFits, DeadlineTooShort, Unknown,
// or Pending where there is none yet.
func (o Outcome) Code() coder.Code { return o.code }

// State gives its state in words.
func (o Outcome) State() string { return o.state }

// Answer gives what the work answered. It is kept for a shorter time than the
// result.
func (o Outcome) Answer() []byte { return o.answer }

// Ran tells whether any of it may have run; where it is false, nothing did.
func (o Outcome) Ran() bool { return o.ran }

// Outcome gives what became of the work under a key.
func (k *Keeper) Outcome(key string) Outcome {
	if r, known := k.results[key]; known {
		return Outcome{known: true, code: r.code, state: "ended", answer: r.answer, ran: r.ran}
	}
	t := k.tasks[key]
	if t == nil {
		return Outcome{}
	}
	code := coder.Pending
	if t.unclearSince > 0 {
		code = coder.Unknown
	}
	return Outcome{known: true, code: code, state: t.state, ran: t.ran || t.lease != nil}
}
