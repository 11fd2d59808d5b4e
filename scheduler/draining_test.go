package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"
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
