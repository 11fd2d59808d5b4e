package conductor_test

import (
	"sync"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/scheduler"
)

// TestDeposedLeaderLogsTermEnd checks that a leader that is replaced logs the end of its
// term exactly once, whether the store or a worker rejects it first.
func TestDeposedLeaderLogsTermEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := imitator.NewKeyedLog(4, nil)
		p := imitator.NewPool(1, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 60_000, scheduler.EndDone }, nil)
		p.Register(l)
		var mu sync.Mutex
		ended := 0
		startLeader := func(epoch int64, emit func(logger.Event, ...logger.Field)) *conductor.Conductor {
			c, err := conductor.New(t.Context(), conductor.Term{Epoch: epoch, PredecessorStopped: true, LastRenewal: clock.System},
				l.Client("h"), p.Fleet(), scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry, conductor.WithEvents(emit))
			must.NoError(t, err)
			return c
		}
		first := startLeader(1, func(e logger.Event, _ ...logger.Field) {
			mu.Lock()
			defer mu.Unlock()
			if e == logger.TermEnded {
				ended++
			}
		})
		must.NoError(t, first.Submit(t.Context(), scheduler.Spec{ID: "0000000000000001", Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 1}, Steps: []scheduler.Step{{Count: 1, CPU: 1000}}}))
		second := startLeader(2, func(logger.Event, ...logger.Field) {})
		defer second.Close()
		first.Wait()
		mu.Lock()
		defer mu.Unlock()
		must.Eq(t, 1, ended)
	})
}
