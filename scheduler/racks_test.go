package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// rackBench has four workers, two in each of the racks r0 and r1.
func rackBench() *bench {
	b := newBench(0)
	for i := range 4 {
		w := benchWorker(i)
		w.Rack = w.Labels[1]
		b.UpdateWorker(w)
	}
	return b
}

func TestTaskWaitsForItsRack(t *testing.T) {
	const estimate = 2 * clock.Second
	tests := map[string]struct {
		rack string
		// full is whether the rack has no room.
		full bool
		wait clock.Millis
		// want is where the task starts, as prefixes of the workers of a rack.
		want []string
	}{
		"room in the rack":                  {rack: "r1", want: []string{"w2", "w3"}},
		"full, and worth the wait":          {rack: "r1", full: true, wait: estimate - 1},
		"full, and waited for a detour":     {rack: "r1", full: true, wait: estimate, want: []string{"w0", "w1"}},
		"no worker has the rack":            {rack: "r9", want: []string{"w0", "w1", "w2", "w3"}},
		"data is anywhere, the rack's full": {full: true, want: []string{"w0", "w1"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := rackBench()
			if tc.full {
				b.submit(t, "filling", Step{Count: 2, CPU: 8000, Label: "r1", Estimate: clock.Minute})
				for _, o := range b.store() {
					b.Answered(o, Done)
				}
			}
			b.submit(t, "near", Step{Count: 1, CPU: 1000, Rack: tc.rack, Estimate: estimate})
			placed := b.store()
			if tc.wait > 0 {
				must.SliceEmpty(t, placed, must.Sprint("a run away from its data"))
				b.clock.Advance(tc.wait)
				placed = b.store()
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

func TestGangKeepsToOneRack(t *testing.T) {
	const estimate = 2 * clock.Second
	tests := map[string]struct {
		// freed is whether a rack becomes free while the gang waits.
		freed bool
		racks int
	}{
		"a rack becomes free":            {freed: true, racks: 1},
		"waited as long as the detour's": {racks: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := rackBench()
			// Each rack has room for one of the two only.
			b.submit(t, "filling", Step{Count: 1, CPU: 8000, Label: "r0"}, Step{Count: 1, CPU: 8000, Label: "r1"})
			filling := b.store()
			must.Len(t, 2, filling)
			b.submit(t, "gang", Step{Count: 2, CPU: 6000, Gang: true, Colocate: true, Estimate: estimate})
			must.SliceEmpty(t, b.store(), must.Sprint("a gang over two racks"))
			b.clock.Advance(estimate - 1)
			must.SliceEmpty(t, b.store(), must.Sprint("a gang over two racks"))
			if tc.freed {
				b.list(filling[0].Worker, nil, endOf(1, filling[0], EndDone))
			} else {
				b.clock.Advance(1)
			}
			seats := b.store()
			must.Len(t, 2, seats)
			racks := map[string]bool{}
			for _, o := range seats {
				racks[map[string]string{"w0": "r0", "w1": "r0", "w2": "r1", "w3": "r1"}[o.Worker]] = true
			}
			must.MapLen(t, tc.racks, racks)
		})
	}
}
