package keeper

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/sizer"
)

// TestEarlierOwnerMayStillExtend: an owner that can't rule out that an earlier
// one goes on runs work of a worker that doesn't answer again only once that one
// is out of authority and its longest lease is over.
func TestEarlierOwnerMayStillExtend(t *testing.T) {
	tests := map[string]struct {
		clearIn clock.Millis
		earlier int
	}{
		"earlier owners are gone": {earlier: 2},
		"one may go on":           {clearIn: 5 * clock.Minute, earlier: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(2, sizer.New(4000, 4<<30, 0))
			w.declareUsual(t)
			a, b := w.add("a"), w.add("b")
			must.NoError(t, a.claim(20*clock.Second))
			must.NoError(t, w.submit("k", "roster", nil))
			w.run(8*clock.Second, clock.Second/10)
			must.Eq(t, 1, w.starts("k"))
			for _, worker := range w.workers {
				if running, _ := worker.Running(); len(running) > 0 {
					worker.SetFaults(imitator.WorkerFaults{Down: true})
				}
			}
			must.NoError(t, b.claim(20*clock.Second))
			clearAt := w.clock.Now() + tc.clearIn
			until := func(d clock.Millis) {
				for end := w.clock.Now() + d; w.clock.Now() < end; w.clock.Advance(clock.Second / 10) {
					b.authority = NewAuthority(b.authority.Epoch(), w.clock.Now()+20*clock.Second, true).ClearAt(clearAt)
					b.step()
				}
			}
			until(4 * clock.Minute)
			must.Eq(t, tc.earlier, w.starts("k"))
			until(2 * clock.Minute)
			must.Eq(t, 2, w.starts("k"))
		})
	}
}
