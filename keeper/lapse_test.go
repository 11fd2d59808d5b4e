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

// TestLapse cuts a worker off while it runs a task, after it took an extension
// of the lease whose answer was lost. The task goes on elsewhere
// when its lease has lapsed for certain, and never before it has, as long as
// the rates of the clocks are within the margin. Far over it, the rule fires.
func TestLapse(t *testing.T) {
	tests := map[string]struct {
		permille int64
		fires    bool
	}{
		"slow by the margin":   {permille: -provider.RateMarginPermille},
		"slow by some":         {permille: -provider.RateMarginPermille / 2},
		"alike":                {permille: 0},
		"fast by the margin":   {permille: provider.RateMarginPermille},
		"slow by far too much": {permille: -20 * provider.RateMarginPermille, fires: true},
		"slow by ten times it": {permille: -10 * provider.RateMarginPermille, fires: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(0, sizer.Size{})
			w.addWorkers(testCentre, 2, sizer.New(1000, sizer.GiB, 0), func(int) func() clock.Millis { return skew(w.clock, tc.permille) })
			w.declareUsual(t)
			c := checker.New()
			c.Add(checker.WorkDeclared(0, "monday", "", false))
			for name, worker := range w.workers {
				c.Add(checker.WorkerAdded(0, name, testCentre, sizer.New(1000, sizer.GiB, 0)))
				worker.Watch(func(e imitator.WorkerEvent) { c.Add(seenBy(name, e, tc.permille)) })
			}
			n := w.add("d1")
			must.NoError(t, n.claim(clock.Minute))
			must.NoError(t, w.submit("monday", "roster", nil))
			w.run(5*clock.Second, 10)
			cut := w.worker(t, "monday")
			cut.SetFaults(imitator.WorkerFaults{LoseAnswers: 1})
			for cut.Faults().LoseAnswers > 0 {
				w.run(10, 10)
			}
			cut.SetFaults(imitator.WorkerFaults{Down: true})
			w.run(40*clock.Second, 10)
			must.Eq(t, 2, w.starts("monday"))
			for _, worker := range w.workers {
				worker.Running()
			}
			must.Eq(t, tc.fires, len(c.Violations(w.clock.Now())) > 0, must.Sprint(c.Violations(w.clock.Now())))
		})
	}
}

// worker gives the worker that runs a task.
func (w *world) worker(t *testing.T, task string) *imitator.Worker {
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

// seenBy gives an event of a worker whose clock is off in the true time.
func seenBy(name string, e imitator.WorkerEvent, permille int64) checker.Event {
	at := e.At() * 1000 / clock.Millis(1000+permille)
	if e.Phase() == provider.PhaseRunning {
		return checker.RunStarted(at, name, e.Incarnation(), e.Size(), e.Checkpoint())
	}
	return checker.RunEnded(at, name, e.Incarnation(), e.Phase(), e.Checkpoint())
}
