package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/depositor"
	"galenawharf.example/galenawharf/elector"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/scheduler"
)

func TestLeaderHealth(t *testing.T) {
	now := clock.NewManual(10_000)
	r := &leaderHealth{now: now.Now, emit: func(logger.Event, ...logger.Field) {}}
	must.False(t, r.inBackoff("a"))
	r.recordFailure("a")
	must.True(t, r.inBackoff("a"))
	must.False(t, r.inBackoff("b"), must.Sprint("another leader"))
	now.Advance(failureBackoff)
	must.False(t, r.inBackoff("a"))
	must.False(t, r.unreachable("a"))
	r.recordFailure("a")
	now.Advance(unreachableAfter - failureBackoff + 1)
	must.True(t, r.unreachable("a"))
	must.False(t, r.unreachable("b"))
	r.recordAnswer()
	must.False(t, r.unreachable("a"))
}

// TestServeLeaderUnreachable lets the call to the leader fail. A submission must then be
// deposited, and no change that may have reached the leader may be reported as Refused.
func TestServeLeaderUnreachable(t *testing.T) {
	tests := map[string]struct {
		verb Verb
		// call is the error of the call to the leader, deposit that of the store.
		call    error
		deposit error
		want    Outcome
		// deposits is the expected number of deposits.
		deposits int
	}{
		"deposited":                    {verb: Submit, call: errors.New("reset"), want: OK, deposits: 1},
		"no answer, store refuses":     {verb: Submit, call: errors.New("reset"), deposit: depositor.ErrUnavailable, want: Unclear, deposits: 1},
		"no answer, store unclear":     {verb: Submit, call: errors.New("reset"), deposit: depositor.ErrUnclear, want: Unclear, deposits: 1},
		"read is not deposited":        {verb: Phase, call: errors.New("reset"), want: Refused},
		"cancel is not deposited":      {verb: Cancel, call: errors.New("reset"), want: Unclear},
		"cancel that was not sent":     {verb: Cancel, call: &net.OpError{Op: "dial", Err: errors.New("refused")}, want: Refused},
		"submission that was not sent": {verb: Submit, call: &net.OpError{Op: "dial", Err: errors.New("refused")}, deposit: depositor.ErrUnavailable, want: Refused, deposits: 1},
		"caller disconnected":          {verb: Submit, call: context.Canceled, deposit: depositor.ErrUnavailable, want: Unclear, deposits: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			// The store refuses all claims, so this daemon never leads.
			log := imitator.NewKeyedLog(0, func(string, string, string) imitator.StoreFault { return imitator.StoreRefuses })
			e := elector.New(log.Client("h"), "h", "127.0.0.1:1", "life", func(context.Context, elector.Term) {})
			defer e.Close()
			e.MergeClaim(elector.Claim{Epoch: 99, Host: "other", Address: "127.0.0.1:9", Instance: "other"})
			deposits := 0
			f := New(func() *elector.Elector { return e }, &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) { return nil, tc.call })},
				clock.System, func(context.Context, scheduler.Spec) error { deposits++; return tc.deposit }, func(logger.Event, ...logger.Field) {})
			must.Eq(t, tc.want, f.Serve(t.Context(), Request{Verb: tc.verb}).Outcome)
			must.Eq(t, tc.deposits, deposits)
		})
	}
	t.Run("store unavailable", func(t *testing.T) {
		r := replyOf(conductor.ErrStoreUnavailable, Submit, Reply{})
		must.True(t, r.StoreUnavailable)
		must.Eq(t, Refused, r.Outcome)
	})
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// TestReachable checks when the leader is probed: after calls to it have failed for a
// while, or when the store can't be read. A single failed probe must not make a host
// unready.
func TestReachable(t *testing.T) {
	tests := map[string]struct {
		unreachable, probe, answers bool
		calls                       int
		want                        bool
	}{
		"no failures, no probe":                   {answers: true, want: true},
		"leader unreachable":                      {unreachable: true, calls: 1, want: false},
		"leader answers again":                    {unreachable: true, answers: true, calls: 1, want: true},
		"store fails, leader answers":             {probe: true, answers: true, calls: 1, want: true},
		"store fails, first probe gets no answer": {probe: true, calls: 1, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			log := imitator.NewKeyedLog(0, func(string, string, string) imitator.StoreFault { return imitator.StoreRefuses })
			e := elector.New(log.Client("h"), "h", "127.0.0.1:1", "life", func(context.Context, elector.Term) {})
			defer e.Close()
			e.MergeClaim(elector.Claim{Epoch: 99, Host: "other", Address: "127.0.0.1:9", Instance: "other"})
			now, calls := clock.NewManual(10_000), 0
			f := New(func() *elector.Elector { return e }, &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) {
				if calls++; !tc.answers {
					return nil, errors.New("no answer")
				}
				return &http.Response{StatusCode: http.StatusNotFound, Body: http.NoBody}, nil
			})}, now.Now, func(context.Context, scheduler.Spec) error { return nil }, func(logger.Event, ...logger.Field) {})
			if tc.unreachable {
				f.health.recordFailure("127.0.0.1:9")
				now.Advance(unreachableAfter + 1)
			}
			must.Eq(t, tc.want, f.Reachable(t.Context(), tc.probe))
			must.Eq(t, tc.calls, calls)
		})
	}
}

// TestServeWaitsForLeaderThatStores guards against giving up a submission that the leader is storing
// in a slow store, and against waiting for a leader that is gone until it is too late for a deposit.
func TestServeWaitsForLeaderThatStores(t *testing.T) {
	const patience = 2500 * time.Millisecond
	tests := map[string]struct {
		verb Verb
		// takes is how long the leader takes for the request; alive is whether it answers others.
		takes    time.Duration
		alive    bool
		want     Outcome
		deposits int
		within   time.Duration
	}{
		"stored at once":                {verb: Submit, takes: 30 * time.Millisecond, alive: true, want: OK, within: 30 * time.Millisecond},
		"stored in a slow store":        {verb: Submit, takes: 2 * time.Second, alive: true, want: OK, within: 2 * time.Second},
		"leader gone":                   {verb: Submit, takes: time.Minute, want: OK, deposits: 1, within: 1500 * time.Millisecond},
		"a read is not waited for":      {verb: Phase, takes: time.Minute, alive: true, want: Refused, within: 1200 * time.Millisecond},
		"leader answers, but not this":  {verb: Submit, takes: time.Minute, alive: true, want: Unclear, deposits: 1, within: patience},
		"a cancellation that is slow":   {verb: Cancel, takes: 2 * time.Second, alive: true, want: Unclear, within: 1200 * time.Millisecond},
		"leader gone, cancellation too": {verb: Cancel, takes: time.Minute, want: Unclear, within: 1200 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := imitator.NewKeyedLog(0, func(string, string, string) imitator.StoreFault { return imitator.StoreRefuses })
				e := elector.New(log.Client("h"), "h", "127.0.0.1:1", "life", func(context.Context, elector.Term) {})
				defer e.Close()
				e.MergeClaim(elector.Claim{Epoch: 99, Host: "other", Address: "127.0.0.1:9", Instance: "other"})
				wait := func(r *http.Request, d time.Duration) error {
					select {
					case <-time.After(d):
						return nil
					case <-r.Context().Done():
						return r.Context().Err()
					}
				}
				deposits := 0
				f := New(func() *elector.Elector { return e }, &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
					if r.Method == http.MethodGet {
						if tc.alive {
							return &http.Response{StatusCode: http.StatusNotFound, Body: http.NoBody}, nil
						}
						return nil, wait(r, time.Minute)
					}
					if err := wait(r, tc.takes); err != nil {
						return nil, err
					}
					return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(`{"outcome":"ok"}`))}, nil
				})}, clock.System, func(ctx context.Context, _ scheduler.Spec) error {
					deposits++
					if ctx.Err() != nil {
						return depositor.ErrUnavailable
					}
					return nil
				}, func(logger.Event, ...logger.Field) {})
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				defer cancel()
				began := time.Now()
				must.Eq(t, tc.want, f.Serve(ctx, Request{Verb: tc.verb}).Outcome)
				must.Eq(t, tc.deposits, deposits)
				must.LessEq(t, tc.within, time.Since(began))
			})
		})
	}
}
