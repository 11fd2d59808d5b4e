package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// naive is the baseline of the trials: it picks executors in rotation and retries up
	// to three times after any error.
	naive struct {
		executors provider.Executors
		view      atomic.Pointer[View]
		next      atomic.Uint64
	}
)

const naiveAttempts = 4

func newNaive(n *network, _, _ string) entryHost { return &naive{executors: n.executors()} }

func (n *naive) SetView(v *View) { n.view.Store(v) }

func (n *naive) Close(context.Context) error { return nil }

func (n *naive) Check(ctx context.Context, q *schema.CheckRequest) *schema.Answer {
	timeout := clock.Millis(q.GetTimeoutMillis()).Duration()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var err error
	for range naiveAttempts {
		var r provider.Response
		r, err = n.attempt(ctx, q, timeout/naiveAttempts)
		if err == nil {
			return success(q.GetRequestId(), r)
		}
	}
	return failure(q.GetRequestId(), coder.Unknown, 0, err.Error())
}

// attempt sends the request to the next executor, with its share of the timeout.
func (n *naive) attempt(ctx context.Context, q *schema.CheckRequest, timeout time.Duration) (provider.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	all := n.view.Load().Executors()
	h := all[n.next.Add(1)%uint64(len(all))]
	return n.executors.Run(ctx, h.Address, provider.Request{ID: q.GetRequestId(), Service: q.GetService(), Payload: q.GetPayload()})
}
