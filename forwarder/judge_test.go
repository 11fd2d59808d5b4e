package forwarder

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/elector"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/scheduler"
)

// TestDepositIsJudged guards against deposits of jobs that no host has judged, that are refused by
// a configuration read meanwhile, or that get around the rate of their tenant.
func TestDepositIsJudged(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: errors.New("refused")}
	mayBeNew := Reply{Outcome: Refused, Error: "may be new"}
	tests := map[string]struct {
		// call is the error of the call to the leader, answer its reply if there is none.
		call    error
		answer  Reply
		verdict Reply
		want    Outcome
		// deposited is the tenant of the deposit; empty if there must be none.
		deposited string
	}{
		"judged here":                  {call: refused, verdict: Reply{Outcome: OK}, want: OK, deposited: "newest"},
		"not judged, no leader":        {call: refused, verdict: mayBeNew, want: Refused},
		"not judged, answer lost":      {call: errors.New("reset"), verdict: mayBeNew, want: Unclear},
		"withdrawn meanwhile":          {call: refused, verdict: Reply{Outcome: Unauthenticated}, want: Unauthenticated},
		"refused by the leader":        {answer: Reply{Outcome: Unauthenticated}, verdict: Reply{Outcome: OK}, want: Unauthenticated},
		"leader can't judge it either": {answer: mayBeNew, verdict: mayBeNew, want: Refused},
		"above the rate":               {answer: Reply{Outcome: Refused, Code: coder.OverRate}, verdict: Reply{Outcome: OK}, want: Refused},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			log := imitator.NewKeyedLog(0, func(string, string, string) imitator.StoreFault { return imitator.StoreRefuses })
			e := elector.New(log.Client("h"), "h", "127.0.0.1:1", "life", func(context.Context, elector.Term) {})
			defer e.Close()
			e.MergeClaim(elector.Claim{Epoch: 99, Host: "other", Address: "127.0.0.1:9", Instance: "other"})
			deposited := ""
			f := New(func() *elector.Elector { return e }, &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) {
				if tc.call != nil {
					return nil, tc.call
				}
				b, err := json.Marshal(tc.answer)
				must.NoError(t, err)
				return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(b)))}, nil
			})}, clock.System, func(_ context.Context, s scheduler.Spec) error { deposited = s.Tenant; return nil }, func(logger.Event, ...logger.Field) {},
				WithJudge(func(q *Request) Reply { q.Spec.Tenant = "newest"; return tc.verdict }))
			must.Eq(t, tc.want, f.Serve(t.Context(), Request{Verb: Submit, Spec: scheduler.Spec{Tenant: "first"}}).Outcome)
			must.Eq(t, tc.deposited, deposited)
		})
	}
}

// TestExecuteJudgesFirst guards against a leader that executes a request before it has judged it:
// there is no conductor here, so that any use of it panics.
func TestExecuteJudgesFirst(t *testing.T) {
	f := New(nil, nil, clock.System, nil, nil, WithJudge(func(*Request) Reply { return Reply{Outcome: Unauthenticated, Code: coder.BadKey} }))
	for _, v := range []Verb{Submit, Cancel, Phase, Pending} {
		must.Eq(t, Reply{Outcome: Unauthenticated, Code: coder.BadKey}, f.execute(t.Context(), nil, Request{Verb: v}))
	}
}
