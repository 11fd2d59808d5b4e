package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// stopJob cancels a job with one run, whose worker reports its end beside the runs that go on.
func (b *harness) stopJob(t *testing.T, o Order, others ...Order) {
	t.Helper()
	must.NoError(t, b.Cancel(o.Task.Job, "", func(error) {}))
	for _, stop := range append(b.storeBatch(b.TakeBatch()), b.TakeImmediateOrders()...) {
		b.OrderAnswered(stop, Done)
	}
	b.report(o.Worker, activeRuns(others...), endedRun(1, o, EndStopped))
	b.clock.Advance(stopBackoff)
}

// startedJobs places and returns the jobs of the runs that start, which their workers confirm.
func (b *harness) startedJobs() []string {
	var ids []string
	for _, o := range b.placeAndStore() {
		b.OrderAnswered(o, Done)
		ids = append(ids, o.Task.Job)
	}
	return ids
}

// TestLongestWaitOfLastingTaskGoesFirst guards against a long-running task that waits while tasks that
// came later take each room which it could use.
func TestLongestWaitOfLastingTaskGoesFirst(t *testing.T) {
	const wait = 10 * clock.Second
	old := Step{Count: 4, CPU: 4000, Memory: 1000, LongRunning: true}
	tests := map[string]struct {
		old, later Step
		// before is called while the old job waits.
		before func(t *testing.T, b *harness) *harness
	}{
		"job of less work":    {old: old, later: Step{Count: 1, CPU: 4000, Memory: 1000}},
		"smaller tasks":       {old: old, later: Step{Count: 1, CPU: 2000, Memory: 1000}},
		"larger tasks":        {old: Step{Count: 4, CPU: 3900, LongRunning: true}, later: Step{Count: 1, CPU: 4000}},
		"more memory":         {old: Step{Count: 4, CPU: 4000, LongRunning: true}, later: Step{Count: 1, CPU: 4000, Memory: 5000}},
		"a gang of one comes": {old: old, later: Step{Count: 1, CPU: 4000, Gang: true}},
		"start was refused": {old: old, later: Step{Count: 1, CPU: 4000}, before: func(t *testing.T, b *harness) *harness {
			w := b.workers["w0"]
			w.info.CPU = 12000
			os := b.placeAndStore()
			must.Len(t, 1, os)
			w.info.CPU = 8000
			b.OrderAnswered(os[0], NoRoom)
			b.clock.Advance(refusalBackoff)
			return b
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			b.submit(t, "full", Step{Count: 1, CPU: 4000, LongRunning: true})
			b.submit(t, "leaves", Step{Count: 1, CPU: 4000, LongRunning: true})
			os := b.placeAndStore()
			must.Len(t, 2, os)
			for _, o := range os {
				b.OrderAnswered(o, Done)
			}
			b.submit(t, "old", tc.old)
			must.SliceEmpty(t, b.placeAndStore())
			b.clock.Advance(wait)
			if tc.before != nil {
				b = tc.before(t, b)
			}
			tc.later.LongRunning = true
			b.submit(t, "later", tc.later)
			must.SliceEmpty(t, b.placeAndStore())
			leaves := slices.IndexFunc(os, func(o Order) bool { return o.Task.Job == "leaves" })
			b.stopJob(t, os[leaves], os[1-leaves])
			must.Eq(t, []string{"old"}, b.startedJobs())
		})
	}
}

// TestLastingTaskKeepsItsTurnOverTakeover guards against a new leader that starts new tasks before those
// that have waited under the former one.
func TestLastingTaskKeepsItsTurnOverTakeover(t *testing.T) {
	b, stored := newHarness(0), map[string][]byte{}
	b.SetRelay(clock.NewRelay(b.clock.Now, 5000, b.clock.Now()))
	b.submit(t, "old", Step{Count: 4, CPU: 8000, LongRunning: true})
	b.Place()
	b.storeInto(stored)
	b.clock.Advance(10 * clock.Second)
	b.submit(t, "later", Step{Count: 1, CPU: 8000, LongRunning: true})
	b.Place()
	b.storeInto(stored)
	n := successor(t, b, stored, clock.Second, testWorker(0))
	n.clock.Advance(clock.Minute)
	n.report("w0", nil)
	must.Eq(t, []string{"old"}, n.startedJobs())
}

// TestLastingTasksOfOneStepWaitApart guards against a task that has lost its run a moment ago and goes
// before other jobs because another task of its step has waited longer.
func TestLastingTasksOfOneStepWaitApart(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "pair", Step{Count: 2, CPU: 8000, LongRunning: true})
	first := b.placeOne(t)
	b.clock.Advance(5 * clock.Second)
	b.submit(t, "single", Step{Count: 2, CPU: 8000, LongRunning: true})
	must.SliceEmpty(t, b.placeAndStore())
	b.clock.Advance(restartLead + 5*clock.Second)
	// The task of the pair that runs loses its run and waits from now on.
	w := testWorker(0)
	w.Draining = true
	b.UpdateWorker(w)
	b.report("w0", nil, endedRun(1, first, EndStopped))
	must.SliceEmpty(t, b.placeAndStore())
	b.clock.Advance(clock.Second)
	var started []string
	for i := range 4 {
		b.UpdateWorker(testWorker(i + 1))
		started = append(started, b.placeOne(t).Task.Job)
	}
	must.Eq(t, []string{"pair", "single", "single", "pair"}, started)
}

// placeOne runs a round of placing that starts one run, which its worker confirms.
func (b *harness) placeOne(t *testing.T) Order {
	t.Helper()
	os := b.placeAndStore()
	must.Len(t, 1, os)
	b.OrderAnswered(os[0], Done)
	return os[0]
}

// TestFullFleetStartsLongestWaits guards against tasks that have lost their runs and wait for as long as
// new jobs come, in a fleet that is full of tasks which last.
func TestFullFleetStartsLongestWaits(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFullFleet(seed)
			f.play(t, 60*clock.Second)
			f.SetEvacuated([]string{"dc0"})
			f.play(t, 6*clock.Second)
			f.loseWorkers()
			f.play(t, 15*clock.Second)
			f.SetEvacuated(nil)
			f.play(t, 10*clock.Second)
			must.SliceEmpty(t, f.overtakings)
			must.SliceEmpty(t, f.leftOut)
		})
	}
}
