package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

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
