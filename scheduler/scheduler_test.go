package scheduler

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// bench is a scheduler with a clock that stands still and workers that are told
// what to answer.
type bench struct {
	*Scheduler
	clock *clock.Manual
}

const benchService = "pool"

func newBench(workers int) *bench {
	c := clock.NewManual(1_000_000)
	b := &bench{Scheduler: New(WithClocks(c.Now, c.Now)), clock: c}
	for i := range workers {
		b.UpdateWorker(benchWorker(i))
	}
	return b
}

func benchWorker(i int) WorkerInfo {
	return WorkerInfo{
		ID: fmt.Sprintf("w%d", i), Address: "127.0.0.1:1", Service: benchService, DataCentre: "a",
		Labels: []string{"a", fmt.Sprintf("r%d", i/2)}, CPU: 8000, Memory: 16000, Born: 1,
	}
}

// submit accepts a job and returns whether the acceptance was stored so far.
func (b *bench) submit(t *testing.T, id string, steps ...Step) *bool {
	t.Helper()
	stored := new(bool)
	must.NoError(t, b.Submit(Spec{ID: id, Queue: Queue{Name: "q", Service: benchService, MaxAttempts: 2, Slack: 2}, Steps: steps}, func(error) { *stored = true }))
	return stored
}

// store places, stores the batch and returns its orders.
func (b *bench) store() []Order {
	b.Place()
	return b.commit(b.Take())
}

func (b *bench) commit(t *Batch) []Order {
	if t == nil {
		return nil
	}
	b.Stored(t)
	return t.Orders
}

// list reports the runs of a worker.
func (b *bench) list(worker string, active []ActiveRun, ended ...EndedRun) {
	b.Report(Report{Worker: worker, Born: 1, Clock: b.clock.Now(), Sent: b.clock.Now(), Active: active, Ended: ended})
}

func activeOf(orders ...Order) []ActiveRun {
	var as []ActiveRun
	for _, o := range orders {
		as = append(as, ActiveRun{Task: o.Task.String(), Attempt: o.Attempt, Percent: 10})
	}
	return as
}

func endOf(number int64, o Order, how Ending) EndedRun {
	return EndedRun{Number: number, Task: o.Task.String(), Attempt: o.Attempt, How: how}
}

func TestOrderWaitsForItsRecord(t *testing.T) {
	b := newBench(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	b.Place()
	batch := b.Take()
	must.Len(t, 1, batch.Orders)
	// The store takes long; meanwhile the worker reports that it has nothing.
	b.clock.Advance(clock.Second)
	b.list("w0", nil)
	must.SliceEmpty(t, b.Immediate())
	orders := b.commit(batch)
	must.Len(t, 1, orders)
	// Once stored, an order that the worker does not have is sent again, but not a third
	// time while both are on their way.
	for _, want := range []int{1, 0, 0} {
		b.clock.Advance(clock.Second)
		b.list("w0", nil)
		must.Len(t, want, b.Immediate())
	}
	b.Answered(orders[0], Unclear)
	b.list("w0", nil)
	must.Len(t, 1, b.Immediate())
}

func TestJobRunsItsSteps(t *testing.T) {
	b := newBench(2)
	stored := b.submit(t, "job", Step{Count: 2, CPU: 100}, Step{Count: 1, CPU: 100, After: []int{0}})
	must.False(t, *stored)
	first := b.store()
	must.True(t, *stored)
	must.Len(t, 2, first)
	b.Answered(first[0], Done)
	b.Answered(first[1], Done)
	b.list(first[0].Worker, nil, endOf(1, first[0], EndDone))
	must.SliceEmpty(t, b.store())
	must.NotEq(t, first[0].Worker, first[1].Worker)
	b.list(first[1].Worker, nil, endOf(1, first[1], EndDone))
	second := b.store()
	must.Len(t, 1, second)
	must.Eq(t, 1, second[0].Task.Step)
	b.list(second[0].Worker, nil, endOf(2, second[0], EndDone))
	p, err := b.Phase("job", "q")
	must.NoError(t, err)
	must.Eq(t, Running, p)
	b.store()
	p, err = b.Phase("job", "q")
	must.NoError(t, err)
	must.Eq(t, Completed, p)
}

func TestLostWorkers(t *testing.T) {
	tests := map[string]struct {
		draining, listed, absent bool
		// after is when the task starts elsewhere.
		restarts bool
	}{
		"left after draining":       {draining: true, absent: true, restarts: true},
		"draining, entry not gone":  {draining: true, listed: true, absent: true},
		"draining, but cut off":     {draining: true},
		"crashed, may be cut off":   {absent: true},
		"cut off, entry still held": {listed: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(1)
			b.submit(t, "job", Step{Count: 1, CPU: 100})
			o := b.store()[0]
			b.Answered(o, Done)
			w := benchWorker(0)
			w.Draining = tc.draining
			b.UpdateWorker(w)
			b.UpdateWorker(benchWorker(1))
			if !tc.listed {
				b.RemoveWorker("w0")
			}
			b.Unanswered("w0", 1, tc.absent)
			b.Sweep()
			must.Eq(t, tc.restarts, len(b.store()) == 1)
			// Whatever is the case, the lease is over at last.
			b.clock.Advance(defaultLease + defaultLease/10)
			b.Sweep()
			must.Eq(t, !tc.restarts, len(b.store()) == 1)
		})
	}
}

func TestEndOfAnEarlierCopyCounts(t *testing.T) {
	b := newBench(2)
	b.submit(t, "job", Step{Count: 1, CPU: 100, Speculative: true})
	first := b.store()[0]
	b.Answered(first, Done)
	b.Unanswered(first.Worker, 1, false)
	b.clock.Advance(2 * defaultLease)
	b.Sweep()
	second := b.store()
	must.Len(t, 1, second)
	must.NotEq(t, first.Worker, second[0].Worker)
	b.Answered(second[0], Done)
	// The first worker answers again; its run had ended.
	b.list(first.Worker, nil, endOf(1, first, EndDone))
	b.store()
	p, err := b.Phase("job", "q")
	must.NoError(t, err)
	must.Eq(t, Completed, p)
	stops := b.Immediate()
	must.Len(t, 1, stops)
	must.Eq(t, Stop, stops[0].Kind)
}

func TestStandstillMoves(t *testing.T) {
	b := newBench(2)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.store()[0]
	b.Answered(o, Done)
	run := []ActiveRun{{Task: o.Task.String(), Attempt: 1, Percent: 30}}
	b.list(o.Worker, run)
	b.clock.Advance(stallAfter / 2)
	b.list(o.Worker, run)
	b.Sweep()
	must.SliceEmpty(t, b.Immediate())
	b.clock.Advance(stallAfter)
	b.list(o.Worker, run)
	b.Sweep()
	stops := b.Immediate()
	must.Len(t, 1, stops)
	must.Eq(t, Stop, stops[0].Kind)
	b.list(o.Worker, nil, endOf(1, o, EndStopped))
	again := b.store()
	must.Len(t, 1, again)
	must.NotEq(t, o.Worker, again[0].Worker)
}

func TestRefuse(t *testing.T) {
	b := newBench(1)
	var sent, unsent error
	untouched := errors.New("not told")
	sent, unsent = untouched, untouched
	must.NoError(t, b.Submit(Spec{ID: "sent", Queue: Queue{Name: "q", Service: benchService, MaxAttempts: 1}, Steps: []Step{{Count: 1}}}, func(err error) { sent = err }))
	b.Place()
	first := b.Take()
	must.NoError(t, b.Submit(Spec{ID: "unsent", Queue: Queue{Name: "q", Service: benchService, MaxAttempts: 1}, Steps: []Step{{Count: 1}}}, func(err error) { unsent = err }))
	b.Place()
	away := errors.New("away")
	b.Refuse(away)
	must.ErrorIs(t, unsent, away)
	must.ErrorIs(t, sent, untouched)
	must.False(t, b.Knows("unsent"))
	// What was refused is neither stored nor started later.
	must.Len(t, 1, b.commit(first))
	must.NoError(t, sent)
	must.SliceEmpty(t, b.store())
}

func TestRoomIsKeptForLastingTasks(t *testing.T) {
	b := newBench(1)
	// Four short tasks fill the worker; a lasting one needs half of it.
	b.submit(t, "short", Step{Count: 4, CPU: 2000})
	running := b.store()
	must.Len(t, 4, running)
	for _, o := range running {
		b.Answered(o, Done)
	}
	b.submit(t, "lasting", Step{Count: 1, CPU: 4000, LongRunning: true})
	b.submit(t, "later", Step{Count: 4, CPU: 2000})
	must.SliceEmpty(t, b.store())
	for i, o := range running[:2] {
		b.list("w0", activeOf(running[i+1:]...), endOf(int64(i+1), o, EndDone))
		b.clock.Advance(retryPause)
		placed := b.store()
		if i == 0 {
			must.SliceEmpty(t, placed, must.Sprint("a short task took the room"))
			continue
		}
		must.Len(t, 1, placed)
		must.Eq(t, "lasting", placed[0].Task.Job)
	}
}

func TestQuarantineEndsByOneRun(t *testing.T) {
	b := newBench(1)
	b.submit(t, "lasting", Step{Count: 1, CPU: 100, LongRunning: true})
	b.Answered(b.store()[0], Done)
	lasting := []ActiveRun{{Task: "lasting.0.0.0", Attempt: 1, Percent: 100}}
	number := int64(0)
	for i := range 2 {
		b.submit(t, fmt.Sprint("bad", i), Step{Count: 1, CPU: 100})
		o := b.store()
		must.Len(t, 1, o)
		b.Answered(o[0], Done)
		number++
		b.list("w0", lasting, endOf(number, o[0], EndFailed))
		must.NoError(t, b.Cancel(fmt.Sprint("bad", i), func(error) {}))
	}
	b.submit(t, "next", Step{Count: 3, CPU: 100})
	must.SliceEmpty(t, b.store(), must.Sprint("a quarantined worker got a run"))
	b.clock.Advance(failureForget)
	probe := b.store()
	must.Len(t, 1, probe)
	b.Answered(probe[0], Done)
	b.list("w0", lasting, endOf(number+1, probe[0], EndDone))
	must.Len(t, 2, b.store(), must.Sprint("the worker is well again"))
}

func TestLeavingWorkerIsEmptied(t *testing.T) {
	b := newBench(2)
	b.submit(t, "lasting", Step{Count: 1, CPU: 100, LongRunning: true, MaxUnavailable: 1})
	o := b.store()[0]
	b.Answered(o, Done)
	w := benchWorker(0)
	if o.Worker == "w1" {
		w = benchWorker(1)
	}
	w.Draining, w.Remaining = true, 2*clock.Second
	b.UpdateWorker(w)
	b.Sweep()
	stops := b.Immediate()
	must.Len(t, 1, stops)
	must.Eq(t, Stop, stops[0].Kind)
	b.list(o.Worker, nil, endOf(1, o, EndStopped))
	again := b.store()
	must.Len(t, 1, again)
	must.NotEq(t, o.Worker, again[0].Worker)
}

// TestEndOfAGivenUpRun gives a run up and lets its worker answer again before the task
// has another one.
func TestEndOfAGivenUpRun(t *testing.T) {
	for name, speculative := range map[string]bool{"plain": false, "speculative": true} {
		t.Run(name, func(t *testing.T) {
			b := newBench(1)
			b.submit(t, "job", Step{Count: 1, CPU: 100, Speculative: speculative})
			o := b.store()[0]
			b.Answered(o, Done)
			b.Unanswered("w0", 1, false)
			b.clock.Advance(2 * defaultLease)
			b.Sweep()
			must.SliceEmpty(t, b.store(), must.Sprint("the only worker does not answer"))
			b.list("w0", nil, endOf(1, o, EndDone))
			must.SliceEmpty(t, b.store(), must.Sprint("the task runs again"))
			p, err := b.Phase("job", "q")
			must.NoError(t, err)
			must.Eq(t, Completed, p)
		})
	}
}

// TestUnansweredOrderIsNotWithdrawn sends an order twice: the first time there is no
// answer, so it may be carried out yet, whatever becomes of the second.
func TestUnansweredOrderIsNotWithdrawn(t *testing.T) {
	for name, second := range map[string]Outcome{"absent": Absent, "not sent": NotSent, "no room": NoRoom, "unwell": Unwell} {
		t.Run(name, func(t *testing.T) {
			b := newBench(2)
			b.submit(t, "job", Step{Count: 1, CPU: 100})
			o := b.store()[0]
			b.Answered(o, Unclear)
			b.clock.Advance(resendAfter + 1)
			b.list(o.Worker, nil)
			must.Len(t, 1, b.Immediate())
			b.Answered(o, second)
			must.SliceEmpty(t, b.store(), must.Sprint("the task was started elsewhere"))
			// A stop that is answered rules the first order out.
			stops := b.Immediate()
			must.Len(t, 1, stops)
			must.Eq(t, Stop, stops[0].Kind)
			b.Answered(stops[0], Done)
			b.clock.Advance(refusalPause)
			b.list(o.Worker, nil)
			again := b.store()
			must.Len(t, 1, again)
			must.Eq(t, 2, again[0].Attempt)
		})
	}
}

// TestOvertakingRefusal sends an order again while the first is on its way; the
// refusal of the second comes before any outcome of the first.
func TestOvertakingRefusal(t *testing.T) {
	b := newBench(2)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.store()[0]
	b.clock.Advance(resendAfter + 1)
	b.list(o.Worker, nil)
	must.Len(t, 1, b.Immediate())
	b.Answered(o, NoRoom)
	must.SliceEmpty(t, b.store(), must.Sprint("the task was started elsewhere"))
}

// TestAckOfAFormerLife restarts a worker while its ends are on their way to the store.
func TestAckOfAFormerLife(t *testing.T) {
	b := newBench(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.store()[0]
	b.Answered(o, Done)
	b.list("w0", nil, endOf(7, o, EndDone))
	b.Place()
	batch := b.Take()
	must.MapLen(t, 1, batch.Acks)
	w := benchWorker(0)
	w.Born = 2
	b.UpdateWorker(w)
	b.Stored(batch)
	s, ok := b.Session("w0", 2)
	must.True(t, ok)
	must.Eq(t, 0, s.Acked, must.Sprint("ends of the new life are acknowledged before they were listed"))
}

// TestKeptRoomServesFillers checks that room kept for a long-running task is still used
// by fillers, which do not take it.
func TestKeptRoomServesFillers(t *testing.T) {
	b := newBench(1)
	b.submit(t, "short", Step{Count: 1, CPU: 4000})
	must.SliceLen(t, 1, b.store())
	b.submit(t, "lasting", Step{Count: 1, CPU: 8000, LongRunning: true})
	b.submit(t, "other", Step{Count: 1, CPU: 1000})
	b.submit(t, "filler", Step{Count: 1, CPU: 1000, Filler: true, Image: "f"})
	orders := b.store()
	must.SliceLen(t, 1, orders)
	must.Eq(t, "filler", orders[0].Task.Job)
}

// TestAdoptedJobIsKnown checks that a job that was accepted through the store is shown
// from the start, outlasts an outage of the store, and counts as stored with its own
// record only.
func TestAdoptedJobIsKnown(t *testing.T) {
	b := newBench(1)
	spec := Spec{ID: "job", Queue: Queue{Name: "q", Service: benchService, MaxAttempts: 1}, Steps: []Step{{Count: 1, CPU: 100}}}
	adopted, again, direct := 0, 0, 0
	must.NoError(t, b.Adopt(spec, func(error) { adopted++ }))
	must.NoError(t, b.Adopt(spec, func(error) { again++ }))
	must.NoError(t, b.Submit(spec, func(err error) {
		must.NoError(t, err)
		direct++
	}))
	must.Eq(t, 1, direct)
	b.Refuse(ErrUnknown)
	phase, err := b.Phase("job", "q")
	must.NoError(t, err)
	must.Eq(t, Queued, phase)
	must.Eq(t, 0, adopted+again)
	must.SliceLen(t, 1, b.store())
	must.Eq(t, 2, adopted+again)
	must.ErrorIs(t, b.Adopt(Spec{ID: "job", Queue: Queue{Name: "other"}}, nil), ErrConflict)
}
