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
	// call is one request with the callers that wait for its answer. A caller
	// that sends the same request again while it is in flight joins it.
	call struct {
		service string
		payload uint64
		callers atomic.Int32
		cancel  context.CancelFunc
		ctx     context.Context
		done    chan struct{}
		answer  *schema.Answer
	}
)

func newCall(base context.Context, service string, payload uint64, timeout clock.Millis) *call {
	c := &call{service: service, payload: payload, done: make(chan struct{})}
	c.callers.Store(1)
	c.ctx, c.cancel = context.WithTimeout(base, timeout.Duration())
	return c
}

// join adds a caller, unless the last one has gone.
func (c *call) join() bool {
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

// await gives the answer, or what to tell a caller that cancels or can't wait for longer than a
// timeout.
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
		c.drop()
		return refusal(id, coder.Cancelled, 0, "the caller cancelled")
	case <-expired:
		c.drop()
		return refusal(id, coder.Pending, retryAfter(0, d.seed), "the request is still in flight")
	}
}

// same tells whether a request is the one of the call.
func (c *call) same(service string, payload uint64) bool {
	return c.service == service && c.payload == payload
}

// finish gives the answer to every caller.
func (c *call) finish(a *schema.Answer) {
	c.answer = a
	close(c.done)
	c.cancel()
}

// drop takes away a caller that waits no more. The call is cancelled when the
// last one goes.
func (c *call) drop() {
	if c.callers.Add(-1) == 0 {
		c.cancel()
	}
}
