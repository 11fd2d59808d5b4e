package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestRejectedTaskDoesNotBlockWorkers guards against a task that each worker rejects as malformed, and
// that keeps one worker after the other from other tasks.
func TestRejectedTaskDoesNotBlockWorkers(t *testing.T) {
	b := newHarness(2)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	starts := 0
	for range 100 {
		for _, o := range b.placeAndStore() {
			starts++
			b.OrderAnswered(o, Rejected)
		}
		for _, w := range b.workers {
			must.Eq(t, notExcluded, b.unavailability(w, b.clock.Now()), must.Sprint("a worker gets no runs because it has rejected a task"))
		}
		b.clock.Advance(100)
	}
	must.LessEq(t, 8, starts, must.Sprint("the task is tried again without a growing delay"))
	must.GreaterEq(t, 3, starts)
}

// TestTaskThatStallsEverywhereQuarantinesFewWorkers guards against a task that makes no progress on any
// worker, and that has one worker after the other quarantined.
func TestTaskThatStallsEverywhereQuarantinesFewWorkers(t *testing.T) {
	b := newHarness(8)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	var ends int64
	runs := 0
	for range 300 {
		for _, o := range b.placeAndStore() {
			runs++
			b.OrderAnswered(o, Done)
		}
		task := b.findTask("job.0.0.0")
		if task.hasRun() {
			o := Order{Task: task.name(), Attempt: task.attempt}
			b.report(task.worker.info.ID, activeRuns(o))
			b.Sweep()
			if task.stopping {
				ends++
				b.OrderAnswered(b.TakeImmediateOrders()[0], Done)
				b.report(task.worker.info.ID, nil, endedRun(ends, o, EndStopped))
			}
		}
		b.clock.Advance(100)
	}
	quarantined := 0
	for _, w := range b.workers {
		if w.failedAt > 0 {
			quarantined++
		}
	}
	must.LessEq(t, maxWorkerStalls, quarantined, must.Sprint("workers are quarantined because of one task"))
	must.LessEq(t, 6, runs, must.Sprint("the task gets no longer to make progress"))
	must.GreaterEq(t, 3, runs)
}

// TestStallsOfManyTasksQuarantineWorker checks that a worker on which tasks stand still is quarantined.
func TestStallsOfManyTasksQuarantineWorker(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 2, CPU: 100})
	os := b.start()
	b.report("w0", activeRuns(os...))
	b.clock.Advance(stallTimeout + clock.Second)
	b.report("w0", activeRuns(os...))
	b.Sweep()
	must.Eq(t, quarantined, b.unavailability(b.workers["w0"], b.clock.Now()))
}
