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

// TestNextLeaderCountsFromStoredClaim guards against leases that outlast the wait of the next leader:
// what a leader takes for its last renewal must be in the store.
func TestNextLeaderCountsFromStoredClaim(t *testing.T) {
	tests := map[string]struct {
		// delay is how long the store takes for an append, lost whether its answers are lost.
		delay time.Duration
		lost  bool
	}{
		"fast store":       {},
		"slow store":       {delay: 700 * time.Millisecond},
		"answers are lost": {lost: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				appends := 0
				l := imitator.NewKeyedLog(4, func(_, call, _ string) imitator.StoreFault {
					if call == "append" && tc.lost {
						if appends++; appends%3 != 0 {
							return imitator.StoreLosesAnswer
						}
					}
					return imitator.StoreFine
				})
				newElector := func(instance string, ahead clock.Millis) *Elector {
					s := l.Client(instance)
					appendItems := s.Append
					s.Append = func(ctx context.Context, topic string, at int64, items []recorder.Item) (int64, error) {
						time.Sleep(tc.delay)
						return appendItems(ctx, topic, at, items)
					}
					return &Elector{
						monitor: NewMonitor(instance, "", instance, claimTimeout), store: s, now: func() clock.Millis { return clock.System() + ahead },
						emit: func(logger.Event, ...logger.Field) {}, host: instance, instance: instance, ctx: t.Context(),
					}
				}
				first := newElector("a", 0)
				term, ok := first.claim()
				must.True(t, ok)
				sighting := Sighting{Time: term.Relay.Now(), Clocks: [MaxClockReadings]ClockReading{{Worker: "w", Born: 1, Clock: 7}}}
				term.SetSighting(sighting)
				ctx, cancel := context.WithTimeout(t.Context(), 9*time.Second)
				defer cancel()
				go first.renew(ctx, term)
				second := newElector("b", clock.Hour)
				for ctx.Err() == nil {
					time.Sleep(3 * time.Millisecond)
					// The log and the last renewal are read at one moment.
					synctest.Wait()
					items := l.Items(topic)
					c, err := Decode(items[len(items)-1].Value)
					must.NoError(t, err)
					second.monitor.Observe(c, second.now())
					must.LessEq(t, c.Time, term.Relay.At(term.LastRenewal()), must.Sprint("a renewal that is not stored"))
				}
				time.Sleep(claimTimeout.Duration())
				next, ok := second.claim()
				must.True(t, ok)
				must.Eq(t, sighting, next.Predecessor.Sighting)
				must.LessEq(t, next.Predecessor.Time, term.Relay.At(term.LastRenewal()))
				must.LessEq(t, term.Relay.Now(), next.Relay.Now(), must.Sprint("the next leader's clock is ahead"))
				must.Greater(t, term.Relay.Now()-clock.Second, next.Relay.Now(), must.Sprint("time that was seen to pass is not counted"))
			})
		})
	}
}
