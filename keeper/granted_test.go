package keeper

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/sizer"
)

// TestGrantsTheDecidedSize lets the placer choose a size other than the declared one. The
// order to the worker and the record in the log must both have the chosen size.
func TestGrantsTheDecidedSize(t *testing.T) {
	size := sizer.New(1500, 3*sizer.GiB, 0)
	w := newCluster(1, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareDefaults(t)
	n := w.addNode("d1")
	n.keeper.place = func(now clock.Millis, waiting []placer.Task, workers []placer.Worker) []placer.Decision {
		var out []placer.Decision
		for _, d := range placer.FirstFit(now, waiting, workers) {
			out = append(out, d.WithSize(size))
		}
		return out
	}
	must.NoError(t, n.claim(clock.Minute))
	must.NoError(t, w.submit("july", "invoice", nil))
	w.run(5*clock.Second, 100)
	names, sum := w.workers["south-w0000"].Running()
	must.Len(t, 1, names)
	must.Eq(t, size, sum)
	must.Eq(t, size, n.keeper.tasks["july"].reserved)
}
