package conductor_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

// TestQueuedStartOfAbandonedRun guards against sending a queued start after its lease expired.
func TestQueuedStartOfAbandonedRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := imitator.NewKeyedLog(4, nil)
		p := imitator.NewPool(1, 20, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 20_000, scheduler.EndDone }, nil)
		p.Register(l)
		var mu sync.Mutex
		hangs := true
		newest := map[scheduler.TaskName]int{}
		var stale []string
		f := p.Fleet()
		isHanging := func() bool {
			mu.Lock()
			defer mu.Unlock()
			return hangs
		}
		send := func(ctx context.Context, o scheduler.Order, epoch int64) scheduler.Outcome {
			mu.Lock()
			if o.Kind == scheduler.Start && o.Attempt < newest[o.Task] {
				stale = append(stale, fmt.Sprintf("%s attempt %d", o.Task, o.Attempt))
			}
			newest[o.Task] = max(newest[o.Task], o.Attempt)
			mu.Unlock()
			if isHanging() {
				time.Sleep((10 * clock.Second).Duration())
				return scheduler.Done
			}
			return f.Send(ctx, o, epoch)
		}
		poll := func(ctx context.Context, q conductor.PollRequest, epoch int64) (scheduler.Report, scheduler.Outcome) {
			if isHanging() {
				recorder.Sleep(ctx, q.Timeout)
				return scheduler.Report{}, scheduler.Unclear
			}
			return f.Poll(ctx, q, epoch)
		}
		c, err := conductor.New(t.Context(), conductor.Term{Epoch: 1, PredecessorStopped: true, LastRenewal: clock.System}, l.Client("h"),
			conductor.Fleet{Send: send, Poll: poll}, scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry)
		must.NoError(t, err)
		defer c.Close()
		must.NoError(t, c.Submit(t.Context(), scheduler.Spec{
			ID: "5c0e7a21d94b36f8", Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 3, Slack: 2},
			Steps: []scheduler.Step{{Count: 6, CPU: 1000}},
		}))
		time.Sleep((8 * clock.Second).Duration())
		mu.Lock()
		hangs = false
		mu.Unlock()
		time.Sleep((30 * clock.Second).Duration())
		mu.Lock()
		defer mu.Unlock()
		must.SliceEmpty(t, stale, must.Sprint("orders of runs that were given up"))
		must.SliceEmpty(t, p.Violations())
		must.MapLen(t, 6, newest)
	})
}

// TestUnconfirmedStopIsNotPolledFor guards against polls without a pause while a worker does not confirm a stop.
func TestUnconfirmedStopIsNotPolledFor(t *testing.T) {
	tests := map[string]func(ctx context.Context) scheduler.Outcome{
		"unavailable": func(context.Context) scheduler.Outcome { return scheduler.Unavailable },
		"unanswered": func(ctx context.Context) scheduler.Outcome {
			recorder.Sleep(ctx, conductor.OrderTimeout)
			return scheduler.Unclear
		},
	}
	for name, stop := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := imitator.NewKeyedLog(4, nil)
				p := imitator.NewPool(1, 20, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 20_000, scheduler.EndDone }, nil)
				p.Register(l)
				var hangs atomic.Bool
				var polls atomic.Int64
				hangs.Store(true)
				f := p.Fleet()
				send := func(ctx context.Context, o scheduler.Order, epoch int64) scheduler.Outcome {
					switch {
					case hangs.Load():
						recorder.Sleep(ctx, conductor.OrderTimeout)
						return scheduler.Unclear
					case o.Kind == scheduler.Stop:
						return stop(ctx)
					default:
						return f.Send(ctx, o, epoch)
					}
				}
				poll := func(ctx context.Context, q conductor.PollRequest, epoch int64) (scheduler.Report, scheduler.Outcome) {
					if hangs.Load() {
						recorder.Sleep(ctx, q.Timeout)
						return scheduler.Report{}, scheduler.Unclear
					}
					polls.Add(1)
					return f.Poll(ctx, q, epoch)
				}
				c, err := conductor.New(t.Context(), conductor.Term{Epoch: 1, PredecessorStopped: true, LastRenewal: clock.System}, l.Client("h"),
					conductor.Fleet{Send: send, Poll: poll}, scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry)
				must.NoError(t, err)
				defer c.Close()
				must.NoError(t, c.Submit(t.Context(), scheduler.Spec{
					ID: "5c0e7a21d94b36f8", Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 3, Slack: 2},
					Steps: []scheduler.Step{{Count: 2, CPU: 1000}},
				}))
				time.Sleep((2 * testLease).Duration())
				hangs.Store(false)
				time.Sleep((5 * clock.Second).Duration())
				must.Between(t, 1, polls.Load(), 50)
			})
		})
	}
}
