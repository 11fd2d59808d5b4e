package conductor_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/scheduler"
)

// jobThatLasts returns a job of tasks that last.
func jobThatLasts(n, tasks int) scheduler.Spec {
	j := testJob(n, tasks)
	j.Steps[0].LongRunning = true
	return j
}

// TestLeaderDelayedAgainAndAgainGivesUpLostWorker guards against a task that waits for a worker that is
// gone for as long as the leader is delayed now and then.
func TestLeaderDelayedAgainAndAgainGivesUpLostWorker(t *testing.T) {
	tests := map[string]struct{ stall, pause clock.Millis }{
		"half a second each second":       {500, 500},
		"half a second every 0.6 s":       {500, 100},
		"a second every two seconds":      {1000, 1000},
		"two seconds every three seconds": {2000, 1000},
		"0.9 s each second":               {900, 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newStalledLeader(t, 2, clock.Minute, func(f conductor.Fleet) conductor.Fleet { return f })
				must.NoError(t, l.Submit(t.Context(), jobThatLasts(1, 1)))
				time.Sleep(500 * time.Millisecond)
				must.Eq(t, 1, l.pool.Starts())
				lost := clock.System()
				l.pool.Kill(l.pool.Busy()[0])
				for l.pool.Starts() == 1 && clock.System()-lost < clock.Minute {
					l.stall(tt.stall)
					time.Sleep((tt.stall + tt.pause).Duration())
				}
				// A lease, and twice the time in which the leader is delayed.
				must.LessEq(t, testLease+3*clock.Second+2*(tt.stall+tt.pause), clock.System()-lost)
				must.SliceEmpty(t, l.pool.Violations())
			})
		})
	}
}
