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

// TestTakeoverLimitsFirstPolls checks that a new leader limits its concurrent first polls
// and polls the workers with runs first.
func TestTakeoverLimitsFirstPolls(t *testing.T) {
	const (
		workers = 200
		jobs    = 5
		// maxInFlight is the number of polls at which a host with a sixth of a core still
		// answers callers.
		maxInFlight = 16
	)
	synctest.Test(t, func(t *testing.T) {
		l := imitator.NewKeyedLog(4, nil)
		p := imitator.NewPool(workers, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 20_000, scheduler.EndDone }, nil)
		p.Register(l)
		startLeader := func(epoch int64, f conductor.Fleet) *conductor.Conductor {
			c, err := conductor.New(t.Context(), conductor.Term{Epoch: epoch, PredecessorStopped: true, LastRenewal: clock.System},
				l.Client("h"), f, scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry)
			must.NoError(t, err)
			return c
		}
		first := startLeader(1, p.Fleet())
		busy := map[string]bool{}
		for i := range jobs {
			must.NoError(t, first.Submit(t.Context(), scheduler.Spec{
				ID: fmt.Sprintf("%016x", i), Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 3, Slack: 2},
				Steps: []scheduler.Step{{Count: 2, CPU: 1000}},
			}))
		}
		time.Sleep(time.Second)
		for _, w := range p.Busy() {
			busy[w] = true
		}
		first.Close()
		must.MapNotEmpty(t, busy)

		var mu sync.Mutex
		inFlight, peak := 0, 0
		var order []string
		f := p.Fleet()
		poll := f.Poll
		f.Poll = func(ctx context.Context, q conductor.PollRequest, epoch int64) (scheduler.Report, scheduler.Outcome) {
			mu.Lock()
			seen := len(order)
			if seen < workers {
				order = append(order, q.Worker)
			}
			inFlight++
			if seen < workers {
				peak = max(peak, inFlight)
			}
			mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			r, out := poll(ctx, q, epoch)
			mu.Lock()
			inFlight--
			mu.Unlock()
			return r, out
		}
		second := startLeader(2, f)
		time.Sleep(2 * time.Second)
		second.Close()
		must.SliceEmpty(t, p.Violations())
		must.Eq(t, workers, len(order))
		must.LessEq(t, maxInFlight+len(busy), peak, must.Sprint("too many first polls in flight, besides later polls of busy workers"))
		for _, w := range order[:maxInFlight] {
			delete(busy, w)
		}
		must.MapEmpty(t, busy, must.Sprint("workers with runs were not polled first"))
	})
}
