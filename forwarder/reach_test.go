package forwarder

import (
	"context"
	"net"
	"net/http"
	"testing"

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

func TestReach(t *testing.T) {
	now := clock.NewManual(10_000)
	r := &reach{now: now.Now, emit: func(logger.Event, ...logger.Field) {}}
	must.False(t, r.paused("a"))
	r.lost("a")
	must.True(t, r.paused("a"))
	must.False(t, r.paused("b"), must.Sprint("another leader"))
	now.Advance(cutPause)
	must.False(t, r.paused("a"))
	must.False(t, r.cut("a"))
	r.lost("a")
	now.Advance(cutPatience - cutPause + 1)
	must.True(t, r.cut("a"))
	must.False(t, r.cut("b"))
	r.found()
	must.False(t, r.cut("a"))
}

// TestServeWithoutAnAnswer has a leader that can't be reached, or that refuses.
func TestServeWithoutAnAnswer(t *testing.T) {
	tests := map[string]struct {
		verb Verb
		// call is what becomes of the call to the leader.
		call    error
		deposit error
		want    Outcome
		// deposits counts the calls of the store.
		deposits int
	}{
		"deposited":                    {verb: Submit, call: errors.New("reset"), want: OK, deposits: 1},
		"no answer, then away":         {verb: Submit, call: errors.New("reset"), deposit: depositor.ErrAway, want: Unclear, deposits: 1},
		"no answer, then none again":   {verb: Submit, call: errors.New("reset"), deposit: depositor.ErrUnclear, want: Unclear, deposits: 1},
		"a question is not deposited":  {verb: Phase, call: errors.New("reset"), want: Refused},
		"a cancel is not deposited":    {verb: Cancel, call: errors.New("reset"), want: Unclear},
		"a cancel that was not sent":   {verb: Cancel, call: &net.OpError{Op: "dial", Err: errors.New("refused")}, want: Refused},
		"a job that was not sent":      {verb: Submit, call: &net.OpError{Op: "dial", Err: errors.New("refused")}, deposit: depositor.ErrAway, want: Refused, deposits: 1},
		"caller left before an answer": {verb: Submit, call: context.Canceled, deposit: depositor.ErrAway, want: Unclear, deposits: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			// The daemon itself never leads.
			log := imitator.NewKeyedLog(0, func(string, string, string) imitator.StoreFault { return imitator.StoreRefuses })
			e := elector.New(log.Client("h"), "h", "127.0.0.1:1", "life", func(context.Context, elector.Term) {})
			defer e.Close()
			e.Hint(elector.Claim{Epoch: 99, Host: "other", Address: "127.0.0.1:9", Life: "other"})
			deposits := 0
			f := New(func() *elector.Elector { return e }, &http.Client{Transport: transport(func(*http.Request) (*http.Response, error) { return nil, tc.call })},
				clock.System, func(context.Context, scheduler.Spec) error { deposits++; return tc.deposit }, func(logger.Event, ...logger.Field) {})
			must.Eq(t, tc.want, f.Serve(t.Context(), Request{Verb: tc.verb}).Outcome)
			must.Eq(t, tc.deposits, deposits)
		})
	}
	t.Run("store away", func(t *testing.T) {
		r := replyOf(conductor.ErrStoreAway, Submit, Reply{})
		must.True(t, r.StoreAway)
		must.Eq(t, Refused, r.Outcome)
	})
}

type transport func(*http.Request) (*http.Response, error)

func (f transport) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// TestReachable has a leader that has not answered requests for a while, and asks it
// once more.
func TestReachable(t *testing.T) {
	tests := map[string]struct {
		lost, suspect, answers bool
		calls                  int
		want                   bool
	}{
		"all well":                          {answers: true, want: true},
		"lost":                              {lost: true, calls: 1, want: false},
		"lost, and back":                    {lost: true, answers: true, calls: 1, want: true},
		"the store fails, the leader is up": {suspect: true, answers: true, calls: 1, want: true},
		"the store fails, once no answer":   {suspect: true, calls: 1, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			log := imitator.NewKeyedLog(0, func(string, string, string) imitator.StoreFault { return imitator.StoreRefuses })
			e := elector.New(log.Client("h"), "h", "127.0.0.1:1", "life", func(context.Context, elector.Term) {})
			defer e.Close()
			e.Hint(elector.Claim{Epoch: 99, Host: "other", Address: "127.0.0.1:9", Life: "other"})
			now, calls := clock.NewManual(10_000), 0
			f := New(func() *elector.Elector { return e }, &http.Client{Transport: transport(func(*http.Request) (*http.Response, error) {
				if calls++; !tc.answers {
					return nil, errors.New("no answer")
				}
				return &http.Response{StatusCode: http.StatusNotFound, Body: http.NoBody}, nil
			})}, now.Now, func(context.Context, scheduler.Spec) error { return nil }, func(logger.Event, ...logger.Field) {})
			if tc.lost {
				f.reach.lost("127.0.0.1:9")
				now.Advance(cutPatience + 1)
			}
			must.Eq(t, tc.want, f.Reachable(t.Context(), tc.suspect))
			must.Eq(t, tc.calls, calls)
		})
	}
}
