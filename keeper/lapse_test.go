package keeper

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/checker"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

// TestLapse disconnects a worker that runs a task, after the worker has carried out a
// lease extension whose answer was lost. The task must not start elsewhere before the
// lease has expired by the worker's clock. The keeper ensures this if the rate of that
// clock is within the margin; far outside of it the checker must report a violation.
func TestLapse(t *testing.T) {
	tests := map[string]struct {
		permille int64
		violates bool
	}{
		"slow by the margin":              {permille: -provider.RateMarginPermille},
		"slow within the margin":          {permille: -provider.RateMarginPermille / 2},
		"same rate":                       {permille: 0},
		"fast by the margin":              {permille: provider.RateMarginPermille},
		"slow by twenty times the margin": {permille: -20 * provider.RateMarginPermille, violates: true},
		"slow by ten times the margin":    {permille: -10 * provider.RateMarginPermille, violates: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newCluster(0, sizer.Size{})
			w.addWorkers(testCentre, 2, sizer.New(1000, sizer.GiB, 0), func(int) func() clock.Millis { return skew(w.clock, tc.permille) })
			w.declareDefaults(t)
			c := checker.New()
			c.Add(checker.WorkDeclared(0, "monday", "", false))
			for name, worker := range w.workers {
				c.Add(checker.WorkerAdded(0, name, testCentre, sizer.New(1000, sizer.GiB, 0)))
				worker.Watch(func(e imitator.WorkerEvent) { c.Add(eventInTrueTime(name, e, tc.permille)) })
			}
			n := w.addNode("d1")
			must.NoError(t, n.claim(clock.Minute))
			must.NoError(t, w.submit("monday", "roster", nil))
			w.run(5*clock.Second, 10)
			cut := w.workerOf(t, "monday")
			cut.SetFaults(imitator.WorkerFaults{LoseAnswers: 1})
			for cut.Faults().LoseAnswers > 0 {
				w.run(10, 10)
			}
			cut.SetFaults(imitator.WorkerFaults{Down: true})
			w.run(40*clock.Second, 10)
			must.Eq(t, 2, w.startCount("monday"))
			for _, worker := range w.workers {
				worker.Running()
			}
			must.Eq(t, tc.violates, len(c.Violations(w.clock.Now())) > 0, must.Sprint(c.Violations(w.clock.Now())))
		})
	}
}

// workerOf returns the worker that runs a task.
func (w *cluster) workerOf(t *testing.T, task string) *imitator.Worker {
	for _, worker := range w.workers {
		running, _ := worker.Running()
		for _, i := range running {
			if i.Task == task {
				return worker
			}
		}
	}
	t.Fatalf("%s does not run", task)
	return nil
}

// eventInTrueTime converts an event of a worker with a skewed clock to true time.
func eventInTrueTime(name string, e imitator.WorkerEvent, permille int64) checker.Event {
	at := e.At() * 1000 / clock.Millis(1000+permille)
	if e.Phase() == provider.PhaseRunning {
		return checker.RunStarted(at, name, e.Incarnation(), e.Size(), e.Checkpoint())
	}
	return checker.RunEnded(at, name, e.Incarnation(), e.Phase(), e.Checkpoint())
}
