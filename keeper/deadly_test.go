package keeper

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

// TestTaskThatRestartsWorkersIsParked guards against a task that is started again each time that its
// worker has restarted under it.
func TestTaskThatRestartsWorkersIsParked(t *testing.T) {
	const restarts, mostStarts = 12, 5
	w := newCluster(4, sizer.New(4000, 4*sizer.GiB, 0))
	w.declareDefaults(t)
	n := w.addNode("d1")
	must.NoError(t, n.claim(clock.Hour))
	must.NoError(t, w.submit("monday", "roster", nil))
	for range restarts {
		w.run(2*clock.Second, 10)
		for _, worker := range w.workers {
			if running, _ := worker.Running(); len(running) > 0 {
				worker.Restart()
			}
		}
	}
	must.LessEq(t, mostStarts, w.startCount("monday"))
}
