package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestUnregisteredWorkerKeepsUnansweredStarts guards against a late start: a worker that was cut off has left the registry too.
func TestUnregisteredWorkerKeepsUnansweredStarts(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	b.OrderAnswered(b.placeAndStore()[0], Unclear)
	b.CallFailed("w0", 1, false)
	b.RemoveWorker("w0")
	b.clock.Advance(2 * defaultLease)
	b.Sweep()
	b.UpdateWorker(testWorker(1))
	must.SliceLen(t, 1, b.placeAndStore())
	b.UpdateWorker(testWorker(0))
	_, ok := b.Lease("w0")
	must.False(t, ok, must.Sprint("the worker gets a lease while the former start may be carried out"))
}

// TestTakeoverDistrustsAddressOfFormerProcess guards against a double start: the registry names the address of an older process, where another worker listens now.
func TestTakeoverDistrustsAddressOfFormerProcess(t *testing.T) {
	r, _ := recordOfRun(t, "job", 2)
	b, _ := takeOver(t, registryOf(1), r)
	b.Sessions(func(q Session) {
		if q.Worker == "w0" && q.Address != "" {
			// A poll of that address is answered by another worker.
			b.WorkerReplaced("w0", q.Born, 0)
		}
	})
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task was started elsewhere before its worker was heard"))
}

// TestRejectedResendKeepsUnansweredStart guards against a double start: the first order may still be carried out.
func TestRejectedResendKeepsUnansweredStart(t *testing.T) {
	b := newHarness(2)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.placeAndStore()[0]
	b.OrderAnswered(o, Unclear)
	b.clock.Advance(resendDelay + 1)
	b.report(o.Worker, nil)
	must.Len(t, 1, b.TakeImmediateOrders())
	b.OrderAnswered(o, Rejected)
	b.clock.Advance(refusalBackoff + 1)
	b.report(o.Worker, nil)
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task was started elsewhere without a confirmed stop"))
}

// TestRestartStopsRunWithUnansweredStart guards against a double start: an order that was sent again may reach the next process.
func TestRestartStopsRunWithUnansweredStart(t *testing.T) {
	b := newHarness(2)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.placeAndStore()[0]
	b.OrderAnswered(o, Unclear)
	b.clock.Advance(resendDelay + 1)
	b.report(o.Worker, nil)
	must.Len(t, 1, b.TakeImmediateOrders())
	b.OrderAnswered(o, Done)
	b.WorkerReplaced(o.Worker, 1, 2)
	stops := b.TakeImmediateOrders()
	must.SliceLen(t, 1, stops)
	must.Eq(t, Stop, stops[0].Kind)
}

// TestStartOfStoppingRunIsNotCurrent guards against a start that is sent after the stop of its run.
func TestStartOfStoppingRunIsNotCurrent(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.placeAndStore()[0]
	must.True(t, b.IsCurrent(o))
	must.NoError(t, b.Cancel("job", func(error) {}))
	must.False(t, b.IsCurrent(o))
}

// TestEarlierAbandonedRunCompletesPendingTask guards against a run after a completed one: a newer attempt was given up meanwhile.
func TestEarlierAbandonedRunCompletesPendingTask(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	first := b.placeAndStore()[0]
	b.OrderAnswered(first, Done)
	b.CallFailed("w0", 1, false)
	b.clock.Advance(2 * defaultLease)
	b.Sweep()
	b.UpdateWorker(testWorker(1))
	second := b.placeAndStore()
	must.SliceLen(t, 1, second)
	b.OrderAnswered(second[0], NotSent)
	b.report("w0", nil, endedRun(1, first, EndDone))
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task was started again"))
}

// TestIncompleteMachineListKeepsWorker guards against a double start: the pages of a list are no snapshot, so a machine that runs can be in none of them.
func TestIncompleteMachineListKeepsWorker(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.placeAndStore()[0]
	b.OrderAnswered(o, Done)
	w := testWorker(0)
	w.Draining = true
	b.UpdateWorker(w)
	b.UpdateWorker(testWorker(1))
	b.RemoveWorker("w0")
	b.CallFailed("w0", 1, true)
	b.ApplyMachineList([]Machine{{ID: "m0", Worker: "w0", Up: true}, {ID: "m1", Worker: "w1", Up: true}}, b.clock.Now())
	b.clock.Advance(100)
	b.ApplyMachineList([]Machine{{ID: "m1", Worker: "w1", Up: true}}, b.clock.Now())
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task was started elsewhere before the lease expired"))
}
