package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestTakeoversKeepWaitOfFiller guards against a filler that never tolerates enough interference to
// start because each new leader begins its wait anew.
func TestTakeoversKeepWaitOfFiller(t *testing.T) {
	const wait, gap = 40 * clock.Second, 2 * clock.Second
	filler := Step{Count: 1, CPU: 100, Filler: true, Image: "i"}
	after := Step{Count: 1, CPU: 100, Memory: 99000, Filler: true, Image: "i", After: []int{0}}
	tests := map[string]struct {
		steps []Step
		// first is how the first run of the job ends; it has none if empty.
		first Ending
		step  int
	}{
		"no run yet":         {steps: []Step{{Count: 1, CPU: 100, Memory: 99000, Filler: true, Image: "i"}}},
		"after another step": {steps: []Step{filler, after}, first: EndDone, step: 1},
		"after a failed run": {steps: []Step{filler}, first: EndFailed},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b, stored := newHarness(1), map[string][]byte{}
			b.SetRelay(clock.NewRelay(b.clock.Now, 5000, b.clock.Now()))
			b.submit(t, "job", tc.steps...)
			b.Place()
			orders := b.storeInto(stored)
			b.clock.Advance(wait)
			if tc.first != "" {
				must.SliceLen(t, 1, orders)
				b.OrderAnswered(orders[0], Done)
				b.report("w0", activeRuns(orders...))
				b.report("w0", nil, endedRun(1, orders[0], tc.first))
				w := testWorker(0)
				w.Draining = true
				b.UpdateWorker(w)
				b.storeInto(stored)
			}
			b.clock.Advance(retryDelay)
			b.Place()
			b.clock.Advance(wait)
			b.storeInto(stored)
			waiting := func(h *harness) *task { return h.jobs["job"].occurrences[0].steps[tc.step][0] }
			former := b.tolerance(waiting(b))
			for range 3 {
				b = successor(t, b, stored, gap)
				b.Place()
				must.GreaterEq(t, former, b.tolerance(waiting(b)))
				former = b.tolerance(waiting(b))
				b.storeInto(stored)
			}
			longest := wait + retryDelay + 3*gap
			if tc.first == "" {
				longest += wait
			}
			must.LessEq(t, interferenceLimit*(1+float64(longest)/float64(toleranceStepTime)), former)
		})
	}
}

// TestRecordsWithoutReadings checks that the waits of records of a program without readings begin
// when they are loaded.
func TestRecordsWithoutReadings(t *testing.T) {
	b, stored := newHarness(0), map[string][]byte{}
	b.submit(t, "job", Step{Count: 1, CPU: 100, Filler: true, Image: "i"})
	b.Place()
	b.storeInto(stored)
	b.SetRelay(clock.NewRelay(b.clock.Now, 5000, b.clock.Now()))
	b.clock.Advance(clock.Minute)
	n := successor(t, b, stored, clock.Second)
	n.Place()
	must.Eq(t, interferenceLimit, n.tolerance(n.jobs["job"].occurrences[0].steps[0][0]))
}
