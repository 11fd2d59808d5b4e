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

	// attemptState is the state of an attempt.
	attemptState int

	// result is the outcome of an attempt. If cancelState is set, it is instead the
	// executor's reply to a cancellation of the attempt.
	result struct {
		index       int
		response    provider.Response
		err         error
		cancelState provider.CancelState
	}
)

// States of an attempt.
const (
	// attemptPending is an attempt in flight.
	attemptPending attemptState = iota
	// attemptNotRun is an attempt that did not run and never will.
	attemptNotRun
	// attemptUnknown is an attempt that has ended and may have run.
	attemptUnknown
)

// cancelTimeout bounds a cancellation call to an executor.
const cancelTimeout = clock.Second

// notRun reports whether an error proves that the request did not run.
func notRun(err error) bool {
	c := coder.Of(err)
	return c == coder.NotRun || c == coder.Overloaded
}
