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
			monitor: NewMonitor("me", "now", claimTimeout), store: s, now: clock.System, emit: func(logger.Event, ...logger.Field) {},
			host: "me", instance: "now", ctx: t.Context(),
		}
		e.monitor.Observe(former, e.now())
		time.Sleep(claimTimeout.Duration())
		_, ok := e.claim()
		must.False(t, ok, must.Sprint("a term without a claim in the store"))
		must.Len(t, 2, l.Items(topic))
	})
}
