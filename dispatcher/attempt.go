package dispatcher

import (
	"context"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/router"
)

type (
	// attempt is one request sent to one executor.
	attempt struct {
		target *router.Target
		start  clock.Millis
		cancel context.CancelCauseFunc
		state  attemptState
	}

	// attemptState says what is known of an attempt.
	attemptState int

	// result is what became of an attempt, or what the executor said when it
	// was called off.
	result struct {
		index    int
		response provider.Response
		err      error
		state    provider.CancelState
	}
)

// States of an attempt.
const (
	// attemptPending has no result yet.
	attemptPending attemptState = iota
	// attemptNotRun did not run and will not.
	attemptNotRun
	// attemptUnknown may have run.
	attemptUnknown
)

// cancelTimeout is how long an executor has to say what became of a request.
const cancelTimeout = clock.Second

// notRun tells whether an error proves that the request did not run.
func notRun(err error) bool {
	c := coder.Of(err)
	return c == coder.NotRun || c == coder.Overloaded
}
