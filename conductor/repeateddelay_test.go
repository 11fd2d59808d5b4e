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

// TestRepeatedDelaysDoNotRenewLease guards against a wait for the lease of a lost worker that begins
// anew with each poll whose missing answer the leader puts down to its own delay.
func TestRepeatedDelaysDoNotRenewLease(t *testing.T) {
	for name, stalls := range map[string]int{"for 4 s": 4, "for 12 s": 12} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newStalledLeader(t, 2, clock.Hour, func(f conductor.Fleet) conductor.Fleet { return f })
				job := testJob(1, 1)
				job.Steps = []scheduler.Step{{Count: 1, CPU: 1000, LongRunning: true}}
				must.NoError(t, l.Submit(t.Context(), job))
				time.Sleep(500 * time.Millisecond)
				must.Eq(t, 1, l.pool.Starts())
				l.stall(700)
				l.pool.Kill(l.pool.Busy()[0])
				lost := clock.System()
				for range stalls {
					time.Sleep(time.Second)
					l.stall(700)
				}
				time.Sleep(time.Second)
				calm := clock.System()
				time.Sleep(20 * time.Second)
				must.SliceEmpty(t, l.pool.Violations())
				gaps := l.pool.Gaps(job.ID)
				must.SliceLen(t, 1, gaps)
				// The lease of the lost worker, or a second after the delays if that is later: a
				// poll of a silent worker, its pause and a round of placing.
				limit := max(scheduler.LeaseBound(lost, testLease), calm) + 1500 - lost
				t.Logf("%s, %d ms after the delays", gaps[0], gaps[0].Length()-(calm-lost))
				must.GreaterEq(t, gaps[0].Length(), limit)
			})
		})
	}
}
