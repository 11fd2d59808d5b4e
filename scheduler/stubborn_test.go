package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestRejectedTaskDoesNotBlockWorkers guards against a task that each worker rejects as malformed, and
// that keeps one worker after the other from other tasks.
func TestRejectedTaskDoesNotBlockWorkers(t *testing.T) {
	b := newHarness(2)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	starts := 0
	for range 100 {
		for _, o := range b.placeAndStore() {
			starts++
			b.OrderAnswered(o, Rejected)
		}
		for _, w := range b.workers {
			must.Eq(t, notExcluded, b.unavailability(w, b.clock.Now()), must.Sprint("a worker gets no runs because it has rejected a task"))
		}
		b.clock.Advance(100)
	}
	must.LessEq(t, 8, starts, must.Sprint("the task is tried again without a growing delay"))
	must.GreaterEq(t, 3, starts)
}
