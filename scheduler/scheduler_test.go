package scheduler

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// harness is a scheduler with a manual clock. The test itself passes in the answers of
// the store and of the workers.
type harness struct {
	*Scheduler
	clock *clock.Manual
}

const testService = "pool"

func newHarness(workers int) *harness {
	c := clock.NewManual(1_000_000)
	b := &harness{Scheduler: New(WithClocks(c.Now, c.Now)), clock: c}
	for i := range workers {
		b.UpdateWorker(testWorker(i))
	}
	return b
}

func testWorker(i int) WorkerInfo {
	return WorkerInfo{
		ID: fmt.Sprintf("w%d", i), Address: "127.0.0.1:1", Service: testService, DataCentre: "a",
		Labels: []string{"a", fmt.Sprintf("r%d", i/2)}, CPU: 8000, Memory: 16000, Born: 1,
	}
}

// submit submits a job. The result becomes true once its acceptance is stored.
func (b *harness) submit(t *testing.T, id string, steps ...Step) *bool {
	t.Helper()
	stored := new(bool)
	must.NoError(t, b.Submit(Spec{ID: id, Queue: Queue{Name: "q", Service: testService, MaxAttempts: 2, Slack: 2}, Steps: steps}, func(error) { *stored = true }))
	return stored
}

// placeAndStore runs a round of placing, stores the batch and returns its orders.
func (b *harness) placeAndStore() []Order {
	b.Place()
	return b.storeBatch(b.TakeBatch())
}

func (b *harness) storeBatch(t *Batch) []Order {
	if t == nil {
		return nil
	}
	b.Stored(t)
	return t.Orders
}

// report passes a report of a worker's first process to the scheduler, requested and
// answered now.
func (b *harness) report(worker string, active []ActiveRun, ended ...EndedRun) {
	b.Report(Report{Worker: worker, Born: 1, Clock: b.clock.Now(), Sent: b.clock.Now(), Active: active, Ended: ended})
}

func activeRuns(orders ...Order) []ActiveRun {
	var as []ActiveRun
	for _, o := range orders {
		as = append(as, ActiveRun{Task: o.Task.String(), Attempt: o.Attempt, Percent: 10})
	}
	return as
}

func endedRun(number int64, o Order, how Ending) EndedRun {
	return EndedRun{Number: number, Task: o.Task.String(), Attempt: o.Attempt, How: how}
}

// TestOrderSentAndResentAfterRecord guards against a double start: an order that is sent
// before its record is stored could be forgotten by the next leader. Reports without the
// run cause the order to be sent again, but only after the record is stored.
func TestOrderSentAndResentAfterRecord(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	b.Place()
	batch := b.TakeBatch()
	must.Len(t, 1, batch.Orders)
	// The store is slow; meanwhile the worker reports no runs.
	b.clock.Advance(clock.Second)
	b.report("w0", nil)
	must.SliceEmpty(t, b.TakeImmediateOrders())
	orders := b.storeBatch(batch)
	must.Len(t, 1, orders)
	// Once the record is stored, an order whose run the worker does not report is sent
	// again, but not a third time while both are in flight.
	for _, want := range []int{1, 0, 0} {
		b.clock.Advance(clock.Second)
		b.report("w0", nil)
		must.Len(t, want, b.TakeImmediateOrders())
	}
	b.OrderAnswered(orders[0], Unclear)
	b.report("w0", nil)
	must.Len(t, 1, b.TakeImmediateOrders())
}

func TestStepDependencies(t *testing.T) {
	b := newHarness(2)
	stored := b.submit(t, "job", Step{Count: 2, CPU: 100}, Step{Count: 1, CPU: 100, After: []int{0}})
	must.False(t, *stored)
	first := b.placeAndStore()
	must.True(t, *stored)
	must.Len(t, 2, first)
	b.OrderAnswered(first[0], Done)
	b.OrderAnswered(first[1], Done)
	b.report(first[0].Worker, nil, endedRun(1, first[0], EndDone))
	must.SliceEmpty(t, b.placeAndStore())
	must.NotEq(t, first[0].Worker, first[1].Worker)
	b.report(first[1].Worker, nil, endedRun(1, first[1], EndDone))
	second := b.placeAndStore()
	must.Len(t, 1, second)
	must.Eq(t, 1, second[0].Task.Step)
	b.report(second[0].Worker, nil, endedRun(2, second[0], EndDone))
	p, err := b.Phase("job", "q", "")
	must.NoError(t, err)
	must.Eq(t, Running, p)
	b.placeAndStore()
	p, err = b.Phase("job", "q", "")
	must.NoError(t, err)
	must.Eq(t, Completed, p)
}

func TestWorkerLoss(t *testing.T) {
	tests := map[string]struct {
		// registered is whether the worker is still in the registry, connRefused whether
		// its address refused the connection.
		draining, registered, connRefused bool
		// listed is whether the platform's machines are listed, machines what is listed.
		listed   bool
		machines []Machine
		// restarts is whether the task starts elsewhere before the lease expires.
		restarts bool
	}{
		"left after draining, machine removed":  {draining: true, connRefused: true, listed: true, restarts: true},
		"left after draining, machine is down":  {draining: true, connRefused: true, listed: true, machines: []Machine{{ID: "m0", Worker: "w0"}}, restarts: true},
		"left after draining, next worker":      {draining: true, connRefused: true, listed: true, machines: []Machine{{ID: "m0", Worker: "w9", Up: true}}, restarts: true},
		"draining, cut off with resets":         {draining: true, connRefused: true, listed: true, machines: []Machine{{ID: "m0", Worker: "w0", Up: true}}},
		"draining, cut off, machines unknown":   {draining: true, connRefused: true},
		"draining, still registered":            {draining: true, registered: true, connRefused: true, listed: true},
		"draining, but partitioned":             {draining: true, listed: true},
		"crashed or partitioned":                {connRefused: true},
		"crashed or partitioned, machines list": {connRefused: true, listed: true},
		"partitioned, still registered":         {registered: true, listed: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			b.submit(t, "job", Step{Count: 1, CPU: 100})
			o := b.placeAndStore()[0]
			b.OrderAnswered(o, Done)
			w := testWorker(0)
			w.Draining = tc.draining
			b.UpdateWorker(w)
			b.UpdateWorker(testWorker(1))
			if !tc.registered {
				b.RemoveWorker("w0")
			}
			b.CallFailed("w0", 1, tc.connRefused)
			if tc.listed {
				// Lists always have the machine of w1.
				ms := append([]Machine{{ID: "m1", Worker: "w1", Up: true}}, tc.machines...)
				b.RemoveDeparted(ms)
				b.RemoveDeparted(ms)
			}
			b.Sweep()
			must.Eq(t, tc.restarts, len(b.placeAndStore()) == 1)
			// In every other case the task restarts when the lease has expired.
			b.clock.Advance(defaultLease + defaultLease/10)
			b.Sweep()
			must.Eq(t, !tc.restarts, len(b.placeAndStore()) == 1)
		})
	}
}

// TestAbandonedSpeculativeRunCompletesTask checks that a speculative task is done when its
// abandoned first run completes although a second run has started elsewhere, and that the
// second run is stopped.
func TestAbandonedSpeculativeRunCompletesTask(t *testing.T) {
	b := newHarness(2)
	b.submit(t, "job", Step{Count: 1, CPU: 100, Speculative: true})
	first := b.placeAndStore()[0]
	b.OrderAnswered(first, Done)
	b.CallFailed(first.Worker, 1, false)
	b.clock.Advance(2 * defaultLease)
	b.Sweep()
	second := b.placeAndStore()
	must.Len(t, 1, second)
	must.NotEq(t, first.Worker, second[0].Worker)
	b.OrderAnswered(second[0], Done)
	// The first worker answers again; its run has ended.
	b.report(first.Worker, nil, endedRun(1, first, EndDone))
	b.placeAndStore()
	p, err := b.Phase("job", "q", "")
	must.NoError(t, err)
	must.Eq(t, Completed, p)
	stops := b.TakeImmediateOrders()
	must.Len(t, 1, stops)
	must.Eq(t, Stop, stops[0].Kind)
}

func TestStalledRunMoves(t *testing.T) {
	b := newHarness(2)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.placeAndStore()[0]
	b.OrderAnswered(o, Done)
	run := []ActiveRun{{Task: o.Task.String(), Attempt: 1, Percent: 30}}
	b.report(o.Worker, run)
	b.clock.Advance(stallTimeout / 2)
	b.report(o.Worker, run)
	b.Sweep()
	must.SliceEmpty(t, b.TakeImmediateOrders())
	b.clock.Advance(stallTimeout)
	b.report(o.Worker, run)
	b.Sweep()
	stops := b.TakeImmediateOrders()
	must.Len(t, 1, stops)
	must.Eq(t, Stop, stops[0].Kind)
	b.report(o.Worker, nil, endedRun(1, o, EndStopped))
	again := b.placeAndStore()
	must.Len(t, 1, again)
	must.NotEq(t, o.Worker, again[0].Worker)
}

// TestUnsentJobIsDropped checks that during an outage of the store only jobs that were
// never part of a batch are dropped: a job whose record was sent may be stored.
func TestUnsentJobIsDropped(t *testing.T) {
	b := newHarness(1)
	var sent, unsent error
	notCalled := errors.New("not called")
	sent, unsent = notCalled, notCalled
	must.NoError(t, b.Submit(Spec{ID: "sent", Queue: Queue{Name: "q", Service: testService, MaxAttempts: 1}, Steps: []Step{{Count: 1}}}, func(err error) { sent = err }))
	b.Place()
	first := b.TakeBatch()
	must.NoError(t, b.Submit(Spec{ID: "unsent", Queue: Queue{Name: "q", Service: testService, MaxAttempts: 1}, Steps: []Step{{Count: 1}}}, func(err error) { unsent = err }))
	b.Place()
	storeErr := errors.New("store unavailable")
	b.DropUnsent(storeErr)
	must.ErrorIs(t, unsent, storeErr)
	must.ErrorIs(t, sent, notCalled)
	must.False(t, b.HasJob("unsent"))
	// The dropped job is neither stored nor started later.
	must.Len(t, 1, b.storeBatch(first))
	must.NoError(t, sent)
	must.SliceEmpty(t, b.placeAndStore())
}

// TestRoomReservedForLongRunning guards against starvation of a long-running task by
// shorter ones, which would take any room that is freed before there is enough for it.
func TestRoomReservedForLongRunning(t *testing.T) {
	b := newHarness(1)
	// Four short tasks fill the worker; a long-running one needs half of it.
	b.submit(t, "short", Step{Count: 4, CPU: 2000})
	running := b.placeAndStore()
	must.Len(t, 4, running)
	for _, o := range running {
		b.OrderAnswered(o, Done)
	}
	b.submit(t, "lasting", Step{Count: 1, CPU: 4000, LongRunning: true})
	b.submit(t, "later", Step{Count: 4, CPU: 2000})
	must.SliceEmpty(t, b.placeAndStore())
	for i, o := range running[:2] {
		b.report("w0", activeRuns(running[i+1:]...), endedRun(int64(i+1), o, EndDone))
		b.clock.Advance(retryDelay)
		placed := b.placeAndStore()
		if i == 0 {
			must.SliceEmpty(t, placed, must.Sprint("a short task was placed on the reserved worker"))
			continue
		}
		must.Len(t, 1, placed)
		must.Eq(t, "lasting", placed[0].Task.Job)
	}
}

// TestQuarantineProbe checks that a worker with two consecutive failed runs gets no new
// run until quarantineTime has passed, then a single one, and more after its success.
func TestQuarantineProbe(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "lasting", Step{Count: 1, CPU: 100, LongRunning: true})
	b.OrderAnswered(b.placeAndStore()[0], Done)
	lasting := []ActiveRun{{Task: "lasting.0.0.0", Attempt: 1, Percent: 100}}
	number := int64(0)
	for i := range 2 {
		b.submit(t, fmt.Sprint("bad", i), Step{Count: 1, CPU: 100})
		o := b.placeAndStore()
		must.Len(t, 1, o)
		b.OrderAnswered(o[0], Done)
		number++
		b.report("w0", lasting, endedRun(number, o[0], EndFailed))
		must.NoError(t, b.Cancel(fmt.Sprint("bad", i), "", func(error) {}))
	}
	b.submit(t, "next", Step{Count: 3, CPU: 100})
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("a quarantined worker got a run"))
	b.clock.Advance(quarantineTime)
	probe := b.placeAndStore()
	must.Len(t, 1, probe)
	b.OrderAnswered(probe[0], Done)
	b.report("w0", lasting, endedRun(number+1, probe[0], EndDone))
	must.Len(t, 2, b.placeAndStore(), must.Sprint("the quarantine did not end"))
}

func TestDrainingWorkerIsEmptied(t *testing.T) {
	b := newHarness(2)
	b.submit(t, "lasting", Step{Count: 1, CPU: 100, LongRunning: true, MaxUnavailable: 1})
	o := b.placeAndStore()[0]
	b.OrderAnswered(o, Done)
	w := testWorker(0)
	if o.Worker == "w1" {
		w = testWorker(1)
	}
	w.Draining, w.Remaining = true, 2*clock.Second
	b.UpdateWorker(w)
	b.Sweep()
	stops := b.TakeImmediateOrders()
	must.Len(t, 1, stops)
	must.Eq(t, Stop, stops[0].Kind)
	b.report(o.Worker, nil, endedRun(1, o, EndStopped))
	again := b.placeAndStore()
	must.Len(t, 1, again)
	must.NotEq(t, o.Worker, again[0].Worker)
}

// TestAbandonedRunCompletesTask guards against running a task twice: the run is abandoned
// when the lease of a silent worker expires. Before the task is placed again, the worker
// reports that the run has completed.
func TestAbandonedRunCompletesTask(t *testing.T) {
	for name, speculative := range map[string]bool{"plain": false, "speculative": true} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			b.submit(t, "job", Step{Count: 1, CPU: 100, Speculative: speculative})
			o := b.placeAndStore()[0]
			b.OrderAnswered(o, Done)
			b.CallFailed("w0", 1, false)
			b.clock.Advance(2 * defaultLease)
			b.Sweep()
			must.SliceEmpty(t, b.placeAndStore(), must.Sprint("a run was placed on a worker that does not answer"))
			b.report("w0", nil, endedRun(1, o, EndDone))
			must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task was started again"))
			p, err := b.Phase("job", "q", "")
			must.NoError(t, err)
			must.Eq(t, Completed, p)
		})
	}
}

// TestEndOfEarlierAbandonedRunCompletesTask guards against a start after an acknowledged end: a newer run was placed meanwhile.
func TestEndOfEarlierAbandonedRunCompletesTask(t *testing.T) {
	tests := map[string]struct {
		second Outcome
		// wantStop is whether the newer run has to be stopped.
		wantStop bool
	}{
		"no room":    {second: NoRoom},
		"not sent":   {second: NotSent},
		"unanswered": {second: Unclear, wantStop: true},
		"started":    {second: Done, wantStop: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			b.submit(t, "job", Step{Count: 1, CPU: 100})
			o := b.placeAndStore()[0]
			b.OrderAnswered(o, Done)
			b.CallFailed("w0", 1, false)
			b.clock.Advance(2 * defaultLease)
			b.Sweep()
			b.UpdateWorker(testWorker(1))
			again := b.placeAndStore()
			must.Len(t, 1, again)
			b.OrderAnswered(again[0], tt.second)
			b.report("w0", nil, endedRun(1, o, EndDone))
			must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task was started again"))
			p, err := b.Phase("job", "q", "")
			must.NoError(t, err)
			must.Eq(t, Completed, p)
			stops := b.TakeImmediateOrders()
			must.Eq(t, tt.wantStop, len(stops) == 1)
			for _, s := range stops {
				must.Eq(t, Stop, s.Kind)
				must.Eq(t, "w1", s.Worker)
			}
		})
	}
}

// TestUnclearOrderIsNotWithdrawn guards against a double start: an order that was not
// answered is sent again. The first order may still be carried out, so the task must not
// start elsewhere, whatever the outcome of the second.
func TestUnclearOrderIsNotWithdrawn(t *testing.T) {
	for name, second := range map[string]Outcome{"absent": ConnectionRefused, "not sent": NotSent, "no room": NoRoom, "unwell": Unavailable} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(2)
			b.submit(t, "job", Step{Count: 1, CPU: 100})
			o := b.placeAndStore()[0]
			b.OrderAnswered(o, Unclear)
			b.clock.Advance(resendDelay + 1)
			b.report(o.Worker, nil)
			must.Len(t, 1, b.TakeImmediateOrders())
			b.OrderAnswered(o, second)
			must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task was started elsewhere"))
			// An answered stop rules out that the first order is still carried out.
			stops := b.TakeImmediateOrders()
			must.Len(t, 1, stops)
			must.Eq(t, Stop, stops[0].Kind)
			b.OrderAnswered(stops[0], Done)
			b.clock.Advance(refusalBackoff)
			b.report(o.Worker, nil)
			again := b.placeAndStore()
			must.Len(t, 1, again)
			must.Eq(t, 2, again[0].Attempt)
		})
	}
}

// TestRefusalOfResentOrder guards against a double start: an order is sent again while
// the first is still in flight, and one of them is refused before the outcome of the
// other is known.
func TestRefusalOfResentOrder(t *testing.T) {
	b := newHarness(2)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.placeAndStore()[0]
	b.clock.Advance(resendDelay + 1)
	b.report(o.Worker, nil)
	must.Len(t, 1, b.TakeImmediateOrders())
	b.OrderAnswered(o, NoRoom)
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task was started elsewhere"))
}

// TestAckAfterWorkerRestart restarts a worker while its ended runs are being stored: the
// acknowledgement must not apply to the numbers of the new process.
func TestAckAfterWorkerRestart(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.placeAndStore()[0]
	b.OrderAnswered(o, Done)
	b.report("w0", nil, endedRun(7, o, EndDone))
	b.Place()
	batch := b.TakeBatch()
	must.MapLen(t, 1, batch.Acks)
	w := testWorker(0)
	w.Born = 2
	b.UpdateWorker(w)
	b.Stored(batch)
	s, ok := b.Session("w0", 2)
	must.True(t, ok)
	must.Eq(t, 0, s.Acked, must.Sprint("ended runs of the new process are acknowledged before they were reported"))
}

// TestFillersUseReservedRoom checks that fillers are placed on a worker that is reserved
// for a long-running task: the CPU of fillers is not reserved there, so they don't delay
// that task.
func TestFillersUseReservedRoom(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "short", Step{Count: 1, CPU: 4000})
	must.SliceLen(t, 1, b.placeAndStore())
	b.submit(t, "lasting", Step{Count: 1, CPU: 8000, LongRunning: true})
	b.submit(t, "other", Step{Count: 1, CPU: 1000})
	b.submit(t, "filler", Step{Count: 1, CPU: 1000, Filler: true, Image: "f"})
	orders := b.placeAndStore()
	must.SliceLen(t, 1, orders)
	must.Eq(t, "filler", orders[0].Task.Job)
}

// TestDepositedJobIsVisible checks a job that was accepted from a deposit in the store.
// Callers see it at once and it is kept during an outage of the store, as the deposit
// keeps it. The callbacks of SubmitDeposited are called only when a record of the job is stored.
func TestDepositedJobIsVisible(t *testing.T) {
	b := newHarness(1)
	spec := Spec{ID: "job", Queue: Queue{Name: "q", Service: testService, MaxAttempts: 1}, Steps: []Step{{Count: 1, CPU: 100}}}
	firstStored, secondStored, submitStored := 0, 0, 0
	must.NoError(t, b.SubmitDeposited(spec, func(error) { firstStored++ }))
	must.NoError(t, b.SubmitDeposited(spec, func(error) { secondStored++ }))
	must.NoError(t, b.Submit(spec, func(err error) {
		must.NoError(t, err)
		submitStored++
	}))
	must.Eq(t, 1, submitStored)
	// Any error will do: DropUnsent is called during an outage of the store.
	b.DropUnsent(ErrUnknown)
	phase, err := b.Phase("job", "q", "")
	must.NoError(t, err)
	must.Eq(t, Queued, phase)
	must.Eq(t, 0, firstStored+secondStored)
	must.SliceLen(t, 1, b.placeAndStore())
	must.Eq(t, 2, firstStored+secondStored)
	must.ErrorIs(t, b.SubmitDeposited(Spec{ID: "job", Queue: Queue{Name: "other"}}, nil), ErrConflict)
}

// TestRejectedResendKeepsUnansweredStart guards against a double start after a refused resend.
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

// TestRestartStopsRunWithUnansweredStart guards against a late start in the next process.
func TestRestartStopsRunWithUnansweredStart(t *testing.T) {
	b := newHarness(2)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.placeAndStore()[0]
	b.OrderAnswered(o, Unclear)
	b.clock.Advance(resendDelay + 1)
	b.report(o.Worker, nil)
	must.Len(t, 1, b.TakeImmediateOrders())
	b.OrderAnswered(o, Done)
	b.WorkerReplaced(o.Worker, o.Address, 1, 2)
	stops := b.TakeImmediateOrders()
	must.SliceLen(t, 1, stops)
	must.Eq(t, Stop, stops[0].Kind)
}

// TestAnswerOfOtherWorkerKeepsUnansweredStart guards against a double start: the first order may still be carried out.
func TestAnswerOfOtherWorkerKeepsUnansweredStart(t *testing.T) {
	b := newHarness(2)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.placeAndStore()[0]
	b.OrderAnswered(o, Unclear)
	b.clock.Advance(resendDelay + 1)
	b.report(o.Worker, nil)
	again := b.TakeImmediateOrders()
	must.Len(t, 1, again)
	again[0].Address = "elsewhere"
	b.OrderAnswered(again[0], WorkerRestarted)
	b.WorkerReplaced(o.Worker, "elsewhere", 1, 0)
	b.clock.Advance(refusalBackoff + 1)
	b.report(o.Worker, nil)
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task was started elsewhere without a confirmed stop"))
}
