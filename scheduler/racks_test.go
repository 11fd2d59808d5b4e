package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// newRackHarness returns a harness with four workers, two in each of the racks r0 and r1.
func newRackHarness() *harness {
	b := newHarness(0)
	for i := range 4 {
		w := testWorker(i)
		w.Rack = w.Labels[1]
		b.UpdateWorker(w)
	}
	return b
}

func TestRackPreference(t *testing.T) {
	const estimate = 2 * clock.Second
	tests := map[string]struct {
		rack string
		// full is whether the rack has no room.
		full bool
		// lasts is whether the task runs until its job is cancelled.
		lasts bool
		wait  clock.Millis
		// want are the workers where the task may start; empty if it has to wait.
		want []string
	}{
		"room in the rack":                        {rack: "r1", want: []string{"w2", "w3"}},
		"full, waited less than the remote delay": {rack: "r1", full: true, wait: estimate - 1},
		"full, waited for the remote delay":       {rack: "r1", full: true, wait: estimate, want: []string{"w0", "w1"}},
		"no worker has the rack":                  {rack: "r9", want: []string{"w0", "w1", "w2", "w3"}},
		"full, but no rack is preferred":          {full: true, want: []string{"w0", "w1"}},
		"room in the rack, lasts":                 {rack: "r1", lasts: true, want: []string{"w2", "w3"}},
		"full, lasts":                             {rack: "r1", full: true, lasts: true, want: []string{"w0", "w1"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newRackHarness()
			if tc.full {
				b.submit(t, "filling", Step{Count: 2, CPU: 8000, Label: "r1", Estimate: clock.Minute})
				for _, o := range b.placeAndStore() {
					b.OrderAnswered(o, Done)
				}
			}
			b.submit(t, "near", Step{Count: 1, CPU: 1000, Rack: tc.rack, Estimate: estimate, LongRunning: tc.lasts})
			placed := b.placeAndStore()
			if tc.wait > 0 {
				must.SliceEmpty(t, placed, must.Sprint("the task was placed away from its data"))
				b.clock.Advance(tc.wait)
				placed = b.placeAndStore()
			}
			if len(tc.want) == 0 {
				must.SliceEmpty(t, placed)
				return
			}
			must.Len(t, 1, placed)
			must.SliceContains(t, tc.want, placed[0].Worker)
		})
	}
}

func TestGangRackPreference(t *testing.T) {
	const estimate = 2 * clock.Second
	tests := map[string]struct {
		// freed is whether a rack becomes free while the gang waits.
		freed bool
		racks int
	}{
		"a rack becomes free":         {freed: true, racks: 1},
		"waited for the remote delay": {racks: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newRackHarness()
			// Each rack has room for only one of the two tasks.
			b.submit(t, "filling", Step{Count: 1, CPU: 8000, Label: "r0"}, Step{Count: 1, CPU: 8000, Label: "r1"})
			filling := b.placeAndStore()
			must.Len(t, 2, filling)
			b.submit(t, "gang", Step{Count: 2, CPU: 6000, Gang: true, Colocate: true, Estimate: estimate})
			must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the gang was placed across two racks"))
			b.clock.Advance(estimate - 1)
			must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the gang was placed across two racks"))
			if tc.freed {
				b.report(filling[0].Worker, nil, endedRun(1, filling[0], EndDone))
			} else {
				b.clock.Advance(1)
			}
			orders := b.placeAndStore()
			must.Len(t, 2, orders)
			racks := map[string]bool{}
			for _, o := range orders {
				racks[map[string]string{"w0": "r0", "w1": "r0", "w2": "r1", "w3": "r1"}[o.Worker]] = true
			}
			must.MapLen(t, tc.racks, racks)
		})
	}
}

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
