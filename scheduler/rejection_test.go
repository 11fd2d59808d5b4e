package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// untilStarted passes time until a start of a task is confirmed, with the outcome that outcome returns for
// each start, and reports of all workers. It returns the order, how long that took, and the number of
// starts, or fails after limit.
func (b *harness) untilStarted(t *testing.T, limit clock.Millis, outcome func(Order) Outcome) (started Order, waited clock.Millis, starts int) {
	t.Helper()
	for since := b.clock.Now(); b.clock.Now()-since <= limit; b.clock.Advance(100) {
		for _, w := range b.sortedWorkers() {
			b.report(w.info.ID, runsOf(w))
			b.Lease(w.info.ID, w.info.Born)
		}
		for _, o := range append(b.TakeImmediateOrders(), b.placeAndStore()...) {
			out := Done
			if o.Kind == Start {
				out = outcome(o)
				starts++
			}
			b.OrderAnswered(o, out)
			if o.Kind == Start && out == Done {
				return o, b.clock.Now() - since, starts
			}
		}
		b.Sweep()
	}
	must.Unreachable(t, must.Sprintf("no run after %d starts in %d ms", starts, limit))
	return Order{}, 0, 0
}

// runsOf returns the confirmed runs of a worker as its report lists them.
func runsOf(w *worker) []ActiveRun {
	var as []ActiveRun
	for _, t := range w.tasks {
		if t.state == running && !t.stopping {
			as = append(as, ActiveRun{Task: t.name().String(), Attempt: t.attempt, Percent: 100})
		}
	}
	return as
}

// TestFormerRejectionsDoNotDelayTask guards against a task that waits for half a minute with room
// everywhere because workers have rejected it hours ago, before runs that others have confirmed.
func TestFormerRejectionsDoNotDelayTask(t *testing.T) {
	tests := map[string]struct {
		step Step
		// confirm makes the run of an order that was sent known to the scheduler.
		confirm func(b *harness, o Order)
	}{
		"lasts": {
			step:    Step{Count: 1, CPU: 100, LongRunning: true},
			confirm: func(b *harness, o Order) { b.OrderAnswered(o, Done) },
		},
		"ends by itself": {
			step:    Step{Count: 1, CPU: 100},
			confirm: func(b *harness, o Order) { b.OrderAnswered(o, Done) },
		},
		"confirmed by a report": {
			step: Step{Count: 1, CPU: 100, LongRunning: true},
			confirm: func(b *harness, o Order) {
				b.OrderAnswered(o, Unclear)
				b.report(o.Worker, activeRuns(o))
			},
		},
		"confirmed by its end": {
			step: Step{Count: 1, CPU: 100, LongRunning: true},
			confirm: func(b *harness, o Order) {
				b.OrderAnswered(o, Unclear)
				b.report(o.Worker, nil, endedRun(int64(o.Attempt), o, EndFailed))
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(4)
			b.submit(t, "job", tc.step)
			for range 12 {
				endedAt, rejected := b.clock.Now(), false
				for {
					os := b.placeAndStore()
					if len(os) == 1 && rejected {
						tc.confirm(b, os[0])
						must.LessEq(t, maxLastingGap, b.clock.Now()-endedAt, must.Sprint("rejections before the last run delay the task"))
						break
					}
					if len(os) == 1 {
						b.OrderAnswered(os[0], Rejected)
						rejected = true
					}
					b.clock.Advance(100)
				}
				// The run works for ten minutes and is lost.
				b.clock.Advance(10 * clock.Minute)
				for _, w := range b.sortedWorkers() {
					b.report(w.info.ID, nil)
				}
			}
		})
	}
}

// TestRejectedResendDoesNotDelayNextRun guards against a rejected repetition of an order whose run has
// begun, and that delays the next run.
func TestRejectedResendDoesNotDelayNextRun(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100, LongRunning: true})
	o := b.placeAndStore()[0]
	b.OrderAnswered(o, Unclear)
	b.report("w0", activeRuns(o))
	for range 10 {
		b.OrderAnswered(o, Rejected)
	}
	b.clock.Advance(100)
	b.report("w0", nil, endedRun(1, o, EndDone))
	b.clock.Advance(100)
	must.SliceLen(t, 1, b.placeAndStore(), must.Sprint("the task waits for a delay after a rejected repetition"))
}

// TestTaskRejectedByAllStartsOnceAccepted guards against a task that lasts and waits on although workers
// have begun to accept it, and against one that is tried at full speed until they do.
func TestTaskRejectedByAllStartsOnceAccepted(t *testing.T) {
	tests := map[string]clock.Millis{
		"after seconds":   5 * clock.Second,
		"after doublings": 20 * clock.Second,
		"at the limit":    2 * clock.Minute,
		"after minutes":   10*clock.Minute + 700,
	}
	for name, rejecting := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(4)
			b.submit(t, "job", Step{Count: 1, CPU: 100, LongRunning: true})
			acceptedFrom := b.clock.Now() + rejecting
			_, waited, starts := b.untilStarted(t, rejecting+clock.Minute, func(Order) Outcome {
				if b.clock.Now() < acceptedFrom {
					return Rejected
				}
				return Done
			})
			must.LessEq(t, maxTimeWithoutRun, waited-rejecting, must.Sprint("the task waits although workers accept it"))
			must.LessEq(t, 5+int(rejecting/(1500*clock.Millis(1))), starts, must.Sprint("a task that all workers reject is tried too often"))
		})
	}
}

// TestWideRejectedStepIsTriedAtBoundedRate guards against a malformed job with many tasks that last, whose
// tries take the leader's time.
func TestWideRejectedStepIsTriedAtBoundedRate(t *testing.T) {
	// The delay grows for seven tries of each task.
	const tasks, minutes, growing = 800, 5, 7
	b := newHarness(4)
	b.submit(t, "job", Step{Count: tasks, CPU: 10, LongRunning: true})
	starts := 0
	for range minutes * clock.Minute / 100 {
		for _, o := range b.placeAndStore() {
			starts++
			b.OrderAnswered(o, Rejected)
		}
		b.clock.Advance(100)
	}
	must.Between(t, tasks*10, starts, int(minutes*clock.Minute/rejectionInterval)+growing*tasks)
}

// TestRejectingWorkersAreAvoided guards against a task that is sent again and again to workers which
// reject it, as these stay empty and look best, while others have room.
func TestRejectingWorkersAreAvoided(t *testing.T) {
	tests := map[string]struct {
		step    Step
		suspect bool
	}{
		"lasts":          {step: Step{Count: 1, CPU: 100, LongRunning: true}},
		"ends by itself": {step: Step{Count: 1, CPU: 100}},
		"suspect":        {step: Step{Count: 1, CPU: 100, LongRunning: true}, suspect: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(6)
			// The others are half full.
			b.submit(t, "others", Step{Count: 3, CPU: 4000, PerWorker: 1, LongRunning: true})
			rejecting := map[string]bool{}
			for i := range 6 {
				rejecting[fmt.Sprintf("w%d", i)] = true
			}
			for _, o := range b.start() {
				delete(rejecting, o.Worker)
			}
			must.MapLen(t, 3, rejecting)
			b.submit(t, "job", tc.step)
			if tc.suspect {
				b.findTask("job.0.0.0").suspicion = isolationSuspicion
			}
			_, waited, starts := b.untilStarted(t, clock.Minute, func(o Order) Outcome {
				if rejecting[o.Worker] {
					return Rejected
				}
				return Done
			})
			must.LessEq(t, maxLastingGap, waited)
			must.LessEq(t, 4, starts, must.Sprint("a worker that has rejected the task is tried again before others"))
		})
	}
}

// TestRejectingWorkersAreTriedInTurn guards against a task that is sent to the one best worker of those
// which have rejected it, although another would accept it by now.
func TestRejectingWorkersAreTriedInTurn(t *testing.T) {
	b := newHarness(3)
	b.submit(t, "other", Step{Count: 1, CPU: 4000, LongRunning: true})
	busy := b.start()[0].Worker
	b.submit(t, "job", Step{Count: 1, CPU: 100, LongRunning: true})
	acceptedFrom := b.clock.Now() + clock.Minute
	_, waited, _ := b.untilStarted(t, 2*clock.Minute, func(o Order) Outcome {
		if o.Worker != busy || b.clock.Now() < acceptedFrom {
			return Rejected
		}
		return Done
	})
	must.LessEq(t, maxLastingGap, waited-clock.Minute)
}
