package keeper

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/sizer"
)

// TestThrottleIsRetriedUntilConfirmed loses two answers of the worker after a throttle was
// requested. The keeper must send the order again until the worker has confirmed it.
func TestThrottleIsRetriedUntilConfirmed(t *testing.T) {
	w := newCluster(1, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareDefaults(t)
	n := w.addNode("d1")
	must.NoError(t, n.claim(clock.Minute))
	must.NoError(t, w.submit("monday", "roster", nil))
	w.run(3*clock.Second, 100)
	n.keeper.Throttle("unknown", 500)
	n.keeper.Throttle("monday", 0)
	must.Eq(t, 0, n.keeper.tasks["monday"].lease.targetShare)
	n.keeper.Throttle("monday", 500)
	w.workers["south-w0000"].SetFaults(imitator.WorkerFaults{LoseAnswers: 2})
	w.run(10*clock.Second, 100)
	must.Eq(t, 500, n.keeper.tasks["monday"].lease.confirmedShare)
	must.Eq(t, 1, w.startCount("monday"))
}

// TestParkEndsWaitingTasks parks a job. Its waiting task must end; its running task and the
// waiting task of another job must not.
func TestParkEndsWaitingTasks(t *testing.T) {
	w := newCluster(1, sizer.New(1000, sizer.GiB, 0))
	w.declareDefaults(t)
	n := w.addNode("d1")
	must.NoError(t, n.claim(clock.Minute))
	must.NoError(t, w.submit("monday", "roster", nil))
	w.run(3*clock.Second, 100)
	must.NoError(t, w.submit("tuesday", "roster", nil))
	must.NoError(t, w.submit("july", "invoice", nil))
	w.run(clock.Second, 100)
	n.keeper.Park("roster")
	w.run(clock.Second, 100)
	must.Eq(t, coder.Parked, n.keeper.Outcome("tuesday").Code())
	must.Eq(t, coder.Pending, n.keeper.Outcome("monday").Code())
	must.Eq(t, coder.Pending, n.keeper.Outcome("july").Code())
	must.Eq(t, 0, w.startCount("tuesday"))
}

// TestEvictedWorkResumes evicts a task that may run again, which must start a second time,
// and one that must not run twice, which must be left running.
func TestEvictedWorkResumes(t *testing.T) {
	w := newCluster(1, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareDefaults(t)
	n := w.addNode("d1")
	must.NoError(t, n.claim(clock.Minute))
	must.NoError(t, w.submit("monday", "roster", nil))
	must.NoError(t, w.submit("july", "invoice", nil))
	w.run(3*clock.Second, 100)
	n.keeper.Evict("monday")
	n.keeper.Evict("july")
	n.keeper.Evict("unknown")
	w.run(3*clock.Second, 100)
	must.Eq(t, 2, w.startCount("monday"))
	must.Eq(t, 1, w.startCount("july"))
}
