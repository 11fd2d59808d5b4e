package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestSuspectsAreTriedAlone guards against a suspect that takes other tasks with it or brings them under
// suspicion, and against suspects that stay alone once they are cleared.
func TestSuspectsAreTriedAlone(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 3, CPU: 100})
	first := b.start()
	must.Len(t, 3, first)
	for i := 1; i <= 4; i++ {
		b.UpdateWorker(testWorker(i))
	}
	b.otherWorker("w0")
	b.submit(t, "other", Step{Count: 8, CPU: 100})
	perWorker := map[string][]Order{}
	for range 24 {
		for _, o := range b.start() {
			perWorker[o.Worker] = append(perWorker[o.Worker], o)
		}
		for id, w := range b.workers {
			must.False(t, w.isOnTrial() && w.unsettledRuns() > 1, must.Sprint("a suspect shares "+id))
		}
		b.clock.Advance(proofTime)
		for w, os := range perWorker {
			b.report(w, activeRuns(os...))
		}
	}
	must.MapLen(t, 4, perWorker, must.Sprint("workers stay reserved for trials"))
	for _, o := range first {
		task := b.findTask(o.Task.String())
		must.Eq(t, running, task.state, must.Sprint("a suspect waits although it could be tried"))
		must.Eq(t, 0, task.suspicion, must.Sprint("a suspect that has settled is not cleared"))
	}
}

// unsettledRuns returns the number of runs that have not settled.
func (w *worker) unsettledRuns() int {
	n := 0
	for _, t := range w.tasks {
		if !t.settled {
			n++
		}
	}
	return n
}

// TestTrialInFullFleet guards against a suspect that waits for an empty worker where there will be none,
// or for the trials of others.
func TestTrialInFullFleet(t *testing.T) {
	// Three workers try nine suspects, one at a time each, with a report each 50 ms.
	const manyLongest = maxTrialWait + 3*(proofTime+50)
	tests := map[string]struct {
		step Step
		// longest bounds the wait of all suspects together.
		longest clock.Millis
	}{
		"one that ends":  {step: Step{Count: 1, CPU: 600}, longest: emptyingTime},
		"one that lasts": {step: Step{Count: 1, CPU: 600, LongRunning: true}, longest: emptyingTime},
		"many that end":  {step: Step{Count: 9, CPU: 600}, longest: manyLongest},
		"many that last": {step: Step{Count: 9, CPU: 600, LongRunning: true}, longest: manyLongest},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(3)
			b.submit(t, "full", Step{Count: 9, CPU: 2000, LongRunning: true})
			active := map[string][]Order{}
			for _, o := range b.start() {
				active[o.Worker] = append(active[o.Worker], o)
			}
			b.UpdateWorker(testWorker(3))
			b.submit(t, "job", tc.step)
			for _, o := range b.start() {
				must.Eq(t, "w3", o.Worker)
			}
			b.otherWorker("w3")
			waited, placed := clock.Millis(0), 0
			for ; placed < tc.step.Count; waited += 50 {
				must.LessEq(t, tc.longest, waited, must.Sprint("a suspect waits for too long"))
				for w, os := range active {
					b.report(w, activeRuns(os...))
				}
				for _, o := range b.start() {
					active[o.Worker] = append(active[o.Worker], o)
					placed++
				}
				b.clock.Advance(50)
			}
			must.GreaterEq(t, min(tc.longest, maxTrialWait), waited, must.Sprint("the test does not reach the bound"))
		})
	}
}

// TestSuspectsAreTriedUnderOverload guards against suspects that wait behind all jobs which may still
// meet their objective, once they have waited for a trial in vain.
func TestSuspectsAreTriedUnderOverload(t *testing.T) {
	const suspects = 8
	b := newHarness(1)
	b.submit(t, "suspected", Step{Count: suspects, CPU: 600, Estimate: 100})
	must.Len(t, suspects, b.start())
	for i := 1; i <= 3; i++ {
		b.UpdateWorker(testWorker(i))
	}
	b.otherWorker("w0")
	active := map[string][]Order{}
	placed := 0
	for waited := clock.Millis(0); placed < suspects; waited += 50 {
		must.LessEq(t, 2*maxTrialWait, waited, must.Sprint("a suspect waits for too long"))
		// The other jobs are far more than the workers can do, and not late.
		b.submit(t, fmt.Sprintf("load%d", waited), Step{Count: 12, CPU: 2000, Estimate: 10_000})
		for _, o := range b.start() {
			active[o.Worker] = append(active[o.Worker], o)
			if o.Task.Job == "suspected" {
				placed++
			}
		}
		b.clock.Advance(50)
		for w, os := range active {
			if waited%500 != 0 || len(os) == 0 {
				b.report(w, activeRuns(os...))
				continue
			}
			active[w] = os[1:]
			b.report(w, activeRuns(os[1:]...), endedRun(b.workers[w].lastEnd+1, os[0], EndDone))
		}
	}
}

// TestTrialLeavesRoomKeptForLastingTask guards against suspects that take, one after the other, the room
// that a worker is kept for so that a task that lasts can start there.
func TestTrialLeavesRoomKeptForLastingTask(t *testing.T) {
	const suspects = 6
	b := newHarness(1)
	b.submit(t, "suspected", Step{Count: suspects, CPU: 1000})
	must.Len(t, suspects, b.start())
	b.UpdateWorker(testWorker(1))
	b.RemoveWorker("w0")
	b.submit(t, "load", Step{Count: 4, CPU: 2000, Estimate: 100})
	active := map[string][]Order{}
	for _, o := range b.start() {
		active[o.Worker] = append(active[o.Worker], o)
	}
	b.submit(t, "lasting", Step{Count: 1, CPU: 7000, LongRunning: true})
	must.SliceEmpty(t, b.start())
	b.otherWorker("w0")
	for waited := clock.Millis(0); ; waited += 100 {
		must.LessEq(t, clock.Second, waited, must.Sprint("the room of the task that lasts is taken"))
		for _, o := range b.start() {
			active[o.Worker] = append(active[o.Worker], o)
			if o.Task.Job == "lasting" {
				return
			}
		}
		b.clock.Advance(100)
		for w, os := range active {
			if len(os) > 0 && os[0].Task.Job == "load" {
				active[w] = os[1:]
				b.report(w, activeRuns(os[1:]...), endedRun(b.workers[w].lastEnd+1, os[0], EndDone))
				continue
			}
			b.report(w, activeRuns(os...))
		}
	}
}

// TestTrialAvoidsWorkerThatHasJustCrashed guards against a trial on the one empty worker, of which a
// crash would say nothing, if another has little to lose.
func TestTrialAvoidsWorkerThatHasJustCrashed(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 2, CPU: 100})
	must.Len(t, 2, b.start())
	other := testWorker(1)
	other.Address = "127.0.0.1:2"
	b.UpdateWorker(other)
	b.RemoveWorker("w0")
	b.submit(t, "other", Step{Count: 3, CPU: 2000})
	others := b.start()
	must.Len(t, 3, others)
	for _, o := range others {
		must.Eq(t, "w1", o.Worker)
	}
	b.settleRuns("w1", others...)
	next := testWorker(0)
	next.ID = "w0-next"
	b.UpdateWorker(next)
	b.otherWorker("w0")
	b.clock.Advance(100)
	for _, o := range b.start() {
		must.Eq(t, "w1", o.Worker)
	}
	must.True(t, b.workers["w1"].isOnTrial())
}
