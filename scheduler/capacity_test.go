package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// resized returns the entry of a worker that has written it later, with another capacity.
func (b *harness) resized(i int, cpu int64) WorkerInfo {
	w := testWorker(i)
	w.CPU, w.Clock = cpu, b.clock.Now()
	return w
}

// TestStartWithheldFromShrunkWorker guards against a start on a worker whose capacity has shrunk since
// the start was decided.
func TestStartWithheldFromShrunkWorker(t *testing.T) {
	tests := map[string]struct {
		// cpu is what is left of the worker's 8000, may whether the runs may still start.
		cpu  int64
		step Step
		may  bool
	}{
		"what was placed still fits":         {cpu: 6000, step: Step{Count: 2, CPU: 3000}, may: true},
		"one of two does not fit":            {cpu: 4000, step: Step{Count: 2, CPU: 3000}},
		"none fits":                          {cpu: 1000, step: Step{Count: 1, CPU: 3000}},
		"filler needs no reserved processor": {cpu: 1000, step: Step{Count: 1, CPU: 3000, Filler: true}, may: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			b.submit(t, "job", tc.step)
			orders := b.placeAndStore()
			must.Len(t, tc.step.Count, orders)
			b.UpdateWorker(b.resized(0, tc.cpu))
			for _, o := range orders {
				must.Eq(t, tc.may, b.MayStart(o))
			}
		})
	}
}

// TestWithheldStartMovesFromShrunkWorker guards against a run that waits on a worker which lacks the
// room for it.
func TestWithheldStartMovesFromShrunkWorker(t *testing.T) {
	for name, unanswered := range map[string]bool{"never sent": false, "sent without an answer": true} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			b.submit(t, "job", Step{Count: 1, CPU: 3000})
			o := b.placeAndStore()[0]
			if unanswered {
				b.OrderAnswered(o, Unclear)
			}
			b.UpdateWorker(b.resized(0, 1000))
			b.UpdateWorker(testWorker(1))
			b.OrderAnswered(o, Withheld)
			if unanswered {
				must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task started elsewhere although its first start may be carried out"))
				stops := b.TakeImmediateOrders()
				must.Len(t, 1, stops)
				must.Eq(t, Stop, stops[0].Kind)
				b.OrderAnswered(stops[0], Done)
				b.clock.Advance(clock.Second)
				b.report("w0", nil)
			}
			again := b.placeAndStore()
			must.Len(t, 1, again)
			must.Eq(t, "w1", again[0].Worker)
		})
	}
}

// TestGrownWorkerIsFoundAtOnce guards against a failed search that is remembered after a worker has
// got more room.
func TestGrownWorkerIsFoundAtOnce(t *testing.T) {
	b := newHarness(0)
	b.UpdateWorker(b.resized(0, 1000))
	b.submit(t, "job", Step{Count: 1, CPU: 3000})
	must.SliceEmpty(t, b.placeAndStore())
	b.clock.Advance(searchInterval / 4)
	b.UpdateWorker(b.resized(0, 8000))
	must.Len(t, 1, b.placeAndStore())
}

// TestOlderEntryDoesNotRestoreCapacity guards against an entry that the store has taken late, after a
// newer one.
func TestOlderEntryDoesNotRestoreCapacity(t *testing.T) {
	b := newHarness(0)
	older := b.resized(0, 8000)
	b.clock.Advance(clock.Second)
	b.UpdateWorker(b.resized(0, 1000))
	b.UpdateWorker(older)
	b.submit(t, "job", Step{Count: 1, CPU: 3000})
	must.SliceEmpty(t, b.placeAndStore())
	older.Draining, older.Clock = true, b.clock.Now()
	b.UpdateWorker(older)
	older.Draining, older.Clock = false, b.clock.Now()-1
	b.UpdateWorker(older)
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("an older entry has taken back that the worker leaves"))
}

// TestShrunkWorkerGetsNoRunsUntilThereIsRoom checks that what runs and what is being stopped counts
// against the capacity that is left, also for a new leader.
func TestShrunkWorkerGetsNoRunsUntilThereIsRoom(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 2, CPU: 3000})
	b.Place()
	batch := b.TakeBatch()
	orders := b.storeBatch(batch)
	must.Len(t, 2, orders)
	next, _ := takeOver(t, []WorkerInfo{b.resized(0, 5000)}, batch.Records...)
	for name, s := range map[string]*harness{"the same leader": b, "a new leader": next} {
		t.Run(name, func(t *testing.T) {
			s.UpdateWorker(s.resized(0, 5000))
			s.report("w0", activeRuns(orders...))
			must.NoError(t, s.Cancel("job", "", func(error) {}))
			s.submit(t, "second", Step{Count: 1, CPU: 3000})
			must.SliceEmpty(t, s.placeAndStore(), must.Sprint("started beside runs that are being stopped"))
			for _, o := range s.TakeImmediateOrders() {
				s.OrderAnswered(o, Done)
			}
			must.SliceEmpty(t, s.placeAndStore(), must.Sprint("started before the ends of the stopped runs were listed"))
			s.report("w0", activeRuns(orders[1]), endedRun(1, orders[0], EndStopped))
			must.SliceEmpty(t, s.placeAndStore())
			s.report("w0", nil, endedRun(1, orders[0], EndStopped), endedRun(2, orders[1], EndStopped))
			must.Len(t, 1, s.placeAndStore())
		})
	}
}

// TestOrphanedRunCountsUntilStopped guards against using the room of a run that nobody has assigned to
// its worker, and that is still being stopped.
func TestOrphanedRunCountsUntilStopped(t *testing.T) {
	b := newHarness(1)
	orphan := ActiveRun{Task: "gone.0.0.0", Attempt: 1, Percent: 10}
	b.report("w0", []ActiveRun{orphan})
	stops := b.TakeImmediateOrders()
	must.Len(t, 1, stops)
	must.Eq(t, Stop, stops[0].Kind)
	b.submit(t, "job", Step{Count: 1, CPU: 8000})
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("started beside a run that is being stopped"))
	b.OrderAnswered(stops[0], Unclear)
	b.clock.Advance(stopBackoff)
	b.report("w0", []ActiveRun{orphan})
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("started although the stop has not been carried out"))
	b.OrderAnswered(b.TakeImmediateOrders()[0], Done)
	b.clock.Advance(stopBackoff)
	b.report("w0", nil)
	must.Len(t, 1, b.placeAndStore())
}
