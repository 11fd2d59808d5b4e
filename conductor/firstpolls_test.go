package conductor_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/scheduler"
)

// TestSilentWorkersDelayNoFirstPolls guards against runs that lapse because a new leader waits for
// workers that do not answer before it polls those that do.
func TestSilentWorkersDelayNoFirstPolls(t *testing.T) {
	// takeoverTime is the time without a leader, of which a lease has to last for the rest.
	const workers, takeoverTime = 350, 2500 * time.Millisecond
	for name, silent := range map[string]int{"none is silent": 0, "a sixth is silent": workers / 6, "a third is silent": workers / 3, "half are silent": workers / 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := imitator.NewKeyedLog(4, nil)
				p := imitator.NewPool(workers, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return clock.Minute, scheduler.EndDone }, nil)
				p.Register(l)
				startLeader := func(epoch int64) *conductor.Conductor {
					c, err := conductor.New(t.Context(), conductor.Term{Epoch: epoch, PredecessorStopped: true, LastRenewal: clock.System},
						l.Client("h"), p.Fleet(), scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry)
					must.NoError(t, err)
					return c
				}
				first := startLeader(1)
				job := testJob(1, workers)
				job.Steps[0].LongRunning, job.Steps[0].PerWorker = true, 1
				must.NoError(t, first.Submit(t.Context(), job))
				time.Sleep(5 * time.Second)
				must.Eq(t, workers, p.Starts())
				for i := range silent {
					p.SetPartitioned(fmt.Sprintf("w%d", i), true)
				}
				first.Close()
				time.Sleep(takeoverTime)
				second := startLeader(2)
				defer second.Close()
				time.Sleep(5 * time.Second)
				must.Eq(t, workers, p.Starts(), must.Sprint("sound runs have lapsed"))
				must.SliceEmpty(t, p.Violations())
			})
		})
	}
}
