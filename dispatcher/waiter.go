package dispatcher

import (
	"sync/atomic"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/router"
)

type (
	// waiter is a request that waits for an executor.
	waiter struct {
		service  string
		team     string
		deadline clock.Millis
		bytes    int
		seed     uint64
		tried    []*router.Target
		// entered is set where the request is within the service's limits already.
		entered bool
		settled atomic.Bool
		grants  chan grant
	}

	// grant is what a waiter gets: an executor, or a refusal.
	grant struct {
		target     *router.Target
		code       coder.Code
		retryAfter clock.Millis
		reason     string
	}
)

// settle gives the waiter its grant, unless it has gone or has one.
func (w *waiter) settle(g grant) bool {
	if w.settled.Swap(true) {
		return false
	}
	w.grants <- g
	return true
}

// leave ends the wait from the waiter's side. False means that a grant is there already.
func (w *waiter) leave() bool { return !w.settled.Swap(true) }

// gone tells whether the waiter waits no more.
func (w *waiter) gone() bool { return w.settled.Load() }
