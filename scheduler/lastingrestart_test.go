package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestRestartFitsBesideReservations guards against a long-running task that has lost its run and waits
// although workers have room for it now, because they are kept for tasks with a longer wait that do not
// fit there until long runs have ended.
func TestRestartFitsBesideReservations(t *testing.T) {
	const finiteRun = clock.Minute
	f := newBusyFleet(4, func(o Order) clock.Millis {
		if o.Task.Job == "finite" {
			return finiteRun
		}
		return clock.Hour
	})
	f.submit(t, "finite", Step{Count: 3, CPU: 4000, Memory: 100, Estimate: finiteRun, PerWorker: 1})
	f.play(100)
	f.submit(t, "lost", Step{Count: 1, CPU: 2000, Memory: 100, LongRunning: true})
	f.play(100)
	w := f.lasting[TaskName{Job: "lost"}]
	must.NotEq(t, "", w)
	must.SliceLen(t, 1, f.workers[w].tasks)
	// The new tasks need more than the free half of the other workers.
	for i := range 3 {
		f.submit(t, fmt.Sprint("new", i), Step{Count: 4, CPU: 7000, Memory: 100, LongRunning: true})
	}
	f.play(5 * clock.Second)
	must.MapLen(t, 1, f.lasting)
	f.ends[w] = nil
	f.RemoveWorker(w)
	f.CallFailed(w, 1, true)
	f.dropWorker(f.workers[w], "lost")
	f.lasting = map[TaskName]string{}
	f.play(9 * clock.Second)
	must.MapContainsKey(t, f.lasting, TaskName{Job: "lost"})
}

// TestRestartGoesBeforeLongerWaitsForFirstRuns guards against a task that has lost its run and waits for a
// backlog of first runs, though only it has to run again within nine seconds.
func TestRestartGoesBeforeLongerWaitsForFirstRuns(t *testing.T) {
	f := newBusyFleet(1, func(Order) clock.Millis { return clock.Hour })
	f.submit(t, "lost", Step{Count: 1, CPU: 8000, Memory: 100, LongRunning: true})
	f.play(100)
	must.MapLen(t, 1, f.lasting)
	f.submit(t, "new", Step{Count: 30, CPU: 8000, Memory: 100, LongRunning: true})
	f.play(5 * clock.Second)
	f.ends["w0"] = nil
	f.RemoveWorker("w0")
	f.CallFailed("w0", 1, true)
	f.dropWorker(f.workers["w0"], "lost")
	f.lasting = map[TaskName]string{}
	for i := range 9 {
		f.UpdateWorker(testWorker(2*i + 1))
		f.UpdateWorker(testWorker(2*i + 2))
		f.play(clock.Second)
	}
	must.MapContainsKey(t, f.lasting, TaskName{Job: "lost"})
}
