package conductor_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/scheduler"
)

// TestTakeoverKeepsLeasesBesideSilentWorkers guards against leases that lapse while silent workers hold up first polls.
func TestTakeoverKeepsLeasesBesideSilentWorkers(t *testing.T) {
	for name, silent := range map[string]int{"none silent": 0, "a zone silent": 120, "most silent": 300} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const workers = 350
				l := imitator.NewKeyedLog(4, nil)
				p := imitator.NewPool(workers, 1, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 600_000, scheduler.EndDone }, nil)
				p.Register(l)
				f := p.Fleet()
				poll := f.Poll
				var lapsed atomic.Int64
				f.Poll = func(ctx context.Context, q conductor.PollRequest, epoch int64) (scheduler.Report, scheduler.Outcome) {
					r, out := poll(ctx, q, epoch)
					for _, e := range r.Ended {
						if e.How == scheduler.EndLapsed {
							lapsed.Add(1)
						}
					}
					return r, out
				}
				startLeader := func(epoch int64) *conductor.Conductor {
					c, err := conductor.New(t.Context(), conductor.Term{Epoch: epoch, PredecessorStopped: true, LastRenewal: clock.System},
						l.Client("h"), f, scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry)
					must.NoError(t, err)
					return c
				}
				first := startLeader(1)
				must.NoError(t, first.Submit(t.Context(), scheduler.Spec{
					ID: fmt.Sprintf("%016x", 1), Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 3, Slack: 2},
					Steps: []scheduler.Step{{Count: workers, CPU: 1000, LongRunning: true}},
				}))
				time.Sleep(2 * time.Second)
				busy := p.Busy()
				must.SliceLen(t, workers, busy)
				first.Close()
				for _, w := range busy[:silent] {
					p.SetPartitioned(w, true)
				}
				time.Sleep(2 * time.Second)
				second := startLeader(2)
				defer second.Close()
				time.Sleep((2 * testLease).Duration())
				must.Zero(t, lapsed.Load(), must.Sprint("runs lapsed on workers that answer"))
			})
		})
	}
}

// TestSilentWorkersDelayNoFirstPolls guards against runs that lapse because a new leader waits for
// workers that do not answer before it polls those that do.
func TestSilentWorkersDelayNoFirstPolls(t *testing.T) {
	// takeoverTime is the time without a leader, of which a lease has to last for the rest.
	const takeoverTime = 2500 * time.Millisecond
	// tasksPerJob keeps a job below the most tasks that it may have.
	const tasksPerJob = 1000
	tests := map[string]struct{ workers, silent int }{
		"none is silent":           {workers: 350},
		"a sixth is silent":        {workers: 350, silent: 350 / 6},
		"a third is silent":        {workers: 350, silent: 350 / 3},
		"half are silent":          {workers: 350, silent: 350 / 2},
		"3,000, none is silent":    {workers: 3000},
		"3,000, a third is silent": {workers: 3000, silent: 1000},
		"3,000, half are silent":   {workers: 3000, silent: 1500},
	}
	for name, tc := range tests {
		workers, silent := tc.workers, tc.silent
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
				for n := 0; n*tasksPerJob < workers; n++ {
					job := testJob(n+1, min(tasksPerJob, workers-n*tasksPerJob))
					// Each task fills its worker, so that each worker has one.
					job.Steps[0].LongRunning, job.Steps[0].PerWorker, job.Steps[0].CPU = true, 1, 4000
					must.NoError(t, first.Submit(t.Context(), job))
				}
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
