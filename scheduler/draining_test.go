package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestIncompleteMachineListKeepsWorker guards against a double start after one incomplete list.
func TestIncompleteMachineListKeepsWorker(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.placeAndStore()[0]
	b.OrderAnswered(o, Done)
	w := testWorker(0)
	w.Draining = true
	b.UpdateWorker(w)
	b.UpdateWorker(testWorker(1))
	b.RemoveWorker("w0")
	b.CallFailed("w0", 1, true)
	b.RemoveDeparted([]Machine{{ID: "m0", Worker: "w0", Up: true}, {ID: "m1", Worker: "w1", Up: true}})
	b.clock.Advance(100)
	b.RemoveDeparted([]Machine{{ID: "m1", Worker: "w1", Up: true}})
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task was started elsewhere before the lease expired"))
}

// TestDrainEndByAgeOfEntry guards against a drain that seems to begin when its entry is read, seconds late or again.
func TestDrainEndByAgeOfEntry(t *testing.T) {
	const remaining = 3 * clock.Second
	tests := map[string]struct {
		// runTime is how long the run takes altogether.
		runTime clock.Millis
		moved   bool
	}{
		"run ends before the worker leaves": {runTime: remaining - 500},
		"run outlasts the worker":           {runTime: remaining + 500, moved: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(2)
			b.submit(t, "job", Step{Count: 1, CPU: 100, Checkpointing: true})
			o := b.placeAndStore()[0]
			b.OrderAnswered(o, Done)
			begin, draining := b.clock.Now(), testWorker(0)
			for w, i := o.Worker, 0; draining.ID != w; i++ {
				draining = testWorker(i)
			}
			draining.Draining, draining.Remaining, draining.Clock = true, remaining, begin
			for i := range 20 {
				b.clock.Advance(100)
				percent := int((b.clock.Now() - begin) * 100 / tc.runTime)
				b.report(o.Worker, []ActiveRun{{Task: o.Task.String(), Attempt: 1, Percent: percent}})
				if i >= 15 {
					// The store has returned, and still has the entry of the start of the drain.
					b.UpdateWorker(draining)
				}
				b.Sweep()
			}
			must.Eq(t, tc.moved, len(b.TakeImmediateOrders()) > 0)
		})
	}
}
