package dispatcher

import (
	"sync/atomic"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/router"
)

type (
	// waiter is a request queued for an executor.
	waiter struct {
		service  string
		team     string
		deadline clock.Millis
		// bytes is the size of the payload.
		bytes int
		seed  uint64
		// tried lists executors that must not be granted.
		tried []*router.Target
		// admitted is set if the request already counts towards the limits of the
		// service.
		admitted bool
		// settled is set when the waiter has its grant or has left.
		settled atomic.Bool
		grants  chan grant
	}

	// grant is the outcome of waiting: a reserved executor, or a refusal if target is
	// nil.
	grant struct {
		target     *router.Target
		code       coder.Code
		retryAfter clock.Millis
		reason     string
	}
)

// deliver sends the grant. It returns false if the waiter has left or already has one.
func (w *waiter) deliver(g grant) bool {
	if w.settled.Swap(true) {
		return false
	}
	w.grants <- g
	return true
}

// leave withdraws the waiter. It returns false if a grant was already delivered.
func (w *waiter) leave() bool { return !w.settled.Swap(true) }

// done reports whether the waiter has left or has its grant.
func (w *waiter) done() bool { return w.settled.Load() }
