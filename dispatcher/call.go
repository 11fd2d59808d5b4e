package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

type (
	// call is one request and the callers that wait for its answer. A caller that repeats a
	// request in flight joins the existing call.
	call struct {
		service     string
		payloadHash uint64
		callers     atomic.Int32
		cancel      context.CancelFunc
		ctx         context.Context
		// done is closed when answer is set.
		done   chan struct{}
		answer *schema.Answer
	}
)

func newCall(base context.Context, service string, payloadHash uint64, timeout clock.Millis) *call {
	c := &call{service: service, payloadHash: payloadHash, done: make(chan struct{})}
	c.callers.Store(1)
	c.ctx, c.cancel = context.WithTimeout(base, timeout.Duration())
	return c
}

// addCaller registers another caller. It returns false if the last caller has left, since
// the call is then cancelled.
func (c *call) addCaller() bool {
	for {
		n := c.callers.Load()
		if n == 0 {
			return false
		}
		if c.callers.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// await waits for the answer and returns it. If ctx ends first, it returns an answer of code
// Cancelled; if the timeout passes first, an answer of code Pending.
func (c *call) await(ctx context.Context, d *Dispatcher, id string, timeout clock.Millis) *schema.Answer {
	var expired <-chan time.Time
	if timeout != clock.Never {
		timer := time.NewTimer(timeout.Duration())
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-c.done:
		return c.answer
	case <-ctx.Done():
		c.removeCaller()
		return failure(id, coder.Cancelled, 0, "the caller cancelled the request")
	case <-expired:
		c.removeCaller()
		return failure(id, coder.Pending, retryAfter(0, d.seed), "the request is still in flight")
	}
}

// matches reports whether a request has the service and payload of the call.
func (c *call) matches(service string, payloadHash uint64) bool {
	return c.service == service && c.payloadHash == payloadHash
}

// finish publishes the answer to every caller, and cancels the context of the call.
func (c *call) finish(a *schema.Answer) {
	c.answer = a
	close(c.done)
	c.cancel()
}

// removeCaller unregisters a caller, and cancels the call if it was the last one.
func (c *call) removeCaller() {
	if c.callers.Add(-1) == 0 {
		c.cancel()
	}
}
