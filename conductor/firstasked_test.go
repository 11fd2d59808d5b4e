package conductor_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/scheduler"
)

// TestUnreachableWorkersDoNotHoldUpFirstPolls guards against leases that lapse, and silences that are
// not stored, while a new leader's first polls wait for workers that don't answer.
func TestUnreachableWorkersDoNotHoldUpFirstPolls(t *testing.T) {
	const (
		workers = 350
		// unreachable is a data centre's share.
		unreachable = 117
		// latest is what a lease of 6 s leaves if it was extended a second before the former leader
		// ended, and the takeover took 1.6 s.
		latest = 3400 * clock.Millis(1)
	)
	synctest.Test(t, func(t *testing.T) {
		l := imitator.NewKeyedLog(4, nil)
		p := imitator.NewPool(workers, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return clock.Hour, scheduler.EndDone }, nil)
		p.Register(l)
		startLeader := func(epoch int64, f conductor.Fleet) *conductor.Conductor {
			c, err := conductor.New(t.Context(), conductor.Term{Epoch: epoch, PredecessorStopped: true, LastRenewal: clock.System},
				l.Client("h"), f, scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry)
			must.NoError(t, err)
			return c
		}
		first := startLeader(1, p.Fleet())
		must.NoError(t, first.Submit(t.Context(), scheduler.Spec{
			ID: lastingJob, Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 3, Slack: 2},
			Steps: []scheduler.Step{{Count: workers, CPU: 3000, LongRunning: true}},
		}))
		time.Sleep(10 * time.Second)
		must.Eq(t, workers, p.Starts())
		first.Close()
		for i := range unreachable {
			p.SetPartitioned(fmt.Sprintf("w%d", i), true)
		}
		var mu sync.Mutex
		asked := map[string]clock.Millis{}
		began := clock.System()
		f := p.Fleet()
		poll := f.Poll
		f.Poll = func(ctx context.Context, q conductor.PollRequest, epoch int64) (scheduler.Report, scheduler.Outcome) {
			mu.Lock()
			if _, ok := asked[q.Worker]; !ok {
				asked[q.Worker] = clock.System() - began
			}
			mu.Unlock()
			return poll(ctx, q, epoch)
		}
		second := startLeader(2, f)
		time.Sleep(10 * time.Second)
		second.Close()
		must.MapLen(t, workers, asked)
		last, late := clock.Millis(0), 0
		for i := range workers {
			at := asked[fmt.Sprintf("w%d", i)]
			last = max(last, at)
			if i >= unreachable && at > latest {
				late++
			}
		}
		t.Logf("the last worker was asked after %d ms", last)
		must.Zero(t, late, must.Sprint("workers that answer were asked too late"))
	})
}
