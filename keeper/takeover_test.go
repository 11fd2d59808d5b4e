package keeper

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/sizer"
)

// TestTakeoverWaitsForEarlierOwner takes over a shard while the worker that runs a task
// is silent. An earlier owner that may still have authority may have extended the
// lease: the task must start again only after that authority and the longest lease
// granted under it have expired.
func TestTakeoverWaitsForEarlierOwner(t *testing.T) {
	tests := map[string]struct {
		clearAfter clock.Millis
		starts     int
	}{
		"earlier authority expired":     {starts: 2},
		"earlier authority may be held": {clearAfter: 5 * clock.Minute, starts: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newCluster(2, sizer.New(4000, 4<<30, 0))
			w.declareDefaults(t)
			a, b := w.addNode("a"), w.addNode("b")
			must.NoError(t, a.claim(20*clock.Second))
			must.NoError(t, w.submit("k", "roster", nil))
			w.run(8*clock.Second, clock.Second/10)
			must.Eq(t, 1, w.startCount("k"))
			for _, worker := range w.workers {
				if running, _ := worker.Running(); len(running) > 0 {
					worker.SetFaults(imitator.WorkerFaults{Down: true})
				}
			}
			must.NoError(t, b.claim(20*clock.Second))
			clearAt := w.clock.Now() + tc.clearAfter
			stepFor := func(d clock.Millis) {
				for end := w.clock.Now() + d; w.clock.Now() < end; w.clock.Advance(clock.Second / 10) {
					b.authority = NewAuthority(b.authority.Epoch(), w.clock.Now()+20*clock.Second, true).WithEarlierExpiry(clearAt)
					b.step()
				}
			}
			stepFor(4 * clock.Minute)
			must.Eq(t, tc.starts, w.startCount("k"))
			stepFor(2 * clock.Minute)
			must.Eq(t, 2, w.startCount("k"))
		})
	}
}
