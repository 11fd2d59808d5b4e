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
