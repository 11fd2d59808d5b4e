package elector

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/recorder"
)

// TestClaimLostToOwnLateResignation guards against two leaders with one epoch.
func TestClaimLostToOwnLateResignation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := imitator.NewKeyedLog(4, nil)
		former := Claim{Epoch: 4, Host: "me", Instance: "now", Renewal: 7}
		l.Put(topic, recorder.Item{Key: Key, Value: former.Encode()})
		s := l.Client("me")
		appendItems := s.Append
		var once bool
		s.Append = func(ctx context.Context, topic string, at int64, items []recorder.Item) (int64, error) {
			if !once {
				once = true
				resigned := Claim{Epoch: 4, Host: "me", Instance: "now", Resigned: true}
				l.Put(topic, recorder.Item{Key: Key, Value: resigned.Encode()})
			}
			return appendItems(ctx, topic, at, items)
		}
		e := &Elector{
			monitor: NewMonitor("me", "", "now", claimTimeout), store: s, now: clock.System, emit: func(logger.Event, ...logger.Field) {},
			host: "me", instance: "now", ctx: t.Context(),
		}
		e.monitor.Observe(former, e.now())
		time.Sleep(claimTimeout.Duration())
		_, ok := e.claim()
		must.False(t, ok, must.Sprint("a term without a claim in the store"))
		must.Len(t, 2, l.Items(topic))
	})
}

// TestHandoverAfterUnknownEnd guards against ignoring the leases of a leader that was cut off.
func TestHandoverAfterUnknownEnd(t *testing.T) {
	tests := map[string]struct {
		// first is the claim before the handover.
		first Claim
		// crash is whether the second leader's process is replaced instead of resigning.
		crash bool
		// led is how long the second leader leads.
		led  clock.Millis
		want bool
	}{
		"first resigned":                     {first: Claim{Epoch: 4, Host: "z", Instance: "z", Resigned: true}, want: true},
		"first cut off":                      {first: Claim{Epoch: 4, Host: "z", Instance: "z"}},
		"first resigned, second was killed":  {first: Claim{Epoch: 4, Host: "z", Instance: "z", Resigned: true}, crash: true, want: true},
		"first cut off, second was killed":   {first: Claim{Epoch: 4, Host: "z", Instance: "z"}, crash: true},
		"first of all":                       {want: true},
		"first of all, second was killed":    {crash: true, want: true},
		"first cut off, handover later":      {first: Claim{Epoch: 4, Host: "z", Instance: "z"}, led: settleTime, want: true},
		"first cut off, later crash":         {first: Claim{Epoch: 4, Host: "z", Instance: "z"}, led: settleTime, crash: true, want: true},
		"earlier process, second was killed": {first: Claim{Epoch: 4, Host: "a", Instance: "z"}, crash: true, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := imitator.NewKeyedLog(4, nil)
				if tc.first.Epoch > 0 {
					l.Put(topic, recorder.Item{Key: Key, Value: tc.first.Encode()})
				}
				newElector := func(instance string) *Elector {
					e := &Elector{
						monitor: NewMonitor("a", "", instance, claimTimeout), store: l.Client(instance), now: clock.System, emit: func(logger.Event, ...logger.Field) {},
						host: "a", instance: instance, ctx: t.Context(),
					}
					e.monitor.Observe(tc.first, e.now())
					time.Sleep(claimTimeout.Duration())
					return e
				}
				second := newElector("a1")
				term, ok := second.claim()
				must.True(t, ok)
				ctx, cancel := context.WithTimeout(t.Context(), (tc.led + 3*renewInterval).Duration())
				defer cancel()
				second.renew(ctx, term)
				if !tc.crash {
					second.resign(term)
				}
				third, ok := newElector("a2").claim()
				must.True(t, ok)
				must.Eq(t, tc.want, third.PredecessorStopped)
			})
		})
	}
}
