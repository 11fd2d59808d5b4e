package keeper

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/sizer"
)

// TestGrantsTheDecidedSize has the placer decide on another size than is
// declared: the worker is asked for it, and it is what the log has.
func TestGrantsTheDecidedSize(t *testing.T) {
	size := sizer.New(1500, 3*sizer.GiB, 0)
	w := newWorld(1, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareUsual(t)
	n := w.add("d1")
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
