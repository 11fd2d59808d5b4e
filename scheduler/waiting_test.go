package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestRefusedStartKeepsWaitForRack guards against a task that waits for its rack anew after each refused start.
func TestRefusedStartKeepsWaitForRack(t *testing.T) {
	for name, out := range map[string]Outcome{"no room": NoRoom, "unavailable": Unavailable, "withheld": Withheld, "not sent": NotSent} {
		t.Run(name, func(t *testing.T) {
			const estimate = 4 * clock.Second
			b := newRackHarness()
			b.submit(t, "full", Step{Count: 2, CPU: 8000, Label: "r0", Estimate: clock.Minute})
			running := b.placeAndStore()
			must.Len(t, 2, running)
			for _, o := range running {
				b.OrderAnswered(o, Done)
			}
			b.submit(t, "near", Step{Count: 1, CPU: 1000, Rack: "r0", Estimate: estimate})
			must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task did not wait for its rack"))
			b.clock.Advance(estimate)
			for range 3 {
				placed := b.placeAndStore()
				must.Len(t, 1, placed, must.Sprint("the task waits for its rack again"))
				b.OrderAnswered(placed[0], out)
				b.clock.Advance(2 * refusalBackoff)
				b.report(placed[0].Worker, nil)
			}
		})
	}
}
