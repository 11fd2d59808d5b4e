package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/sizer"
)

// newCapHarness returns a harness in which tenant a has a cap on processors, in cores, and b has none.
func newCapHarness(workers int, cores int64) *harness {
	b := newHarness(workers)
	b.capCores(cores)
	return b
}

func (b *harness) capCores(cores int64) {
	b.SetTenants([]Tenant{{Name: "a", Weight: 1, Cap: sizer.New(1000*cores, 0, 0)}, {Name: "b", Weight: 1}})
}

func specOf(tenant, id string, steps ...Step) Spec {
	return Spec{ID: id, Tenant: tenant, Queue: Queue{Name: "q", Service: testService, MaxAttempts: 2, Slack: 2}, Steps: steps}
}

func (b *harness) submitOf(t *testing.T, tenant, id string, steps ...Step) {
	t.Helper()
	must.NoError(t, b.Submit(specOf(tenant, id, steps...), func(error) {}))
}

// heldCores returns what a tenant holds, in cores.
func (b *harness) heldCores(tenant string) int64 { return b.sharer.Held(tenant).Millicores() / 1000 }

// TestWideStepRunsInWaves guards against a cap that only holds for a round, and against a tenant at its cap
// that keeps tasks with the same requirements of others from being placed.
func TestWideStepRunsInWaves(t *testing.T) {
	for name, filler := range map[string]bool{"plain": false, "fillers": true} {
		t.Run(name, func(t *testing.T) {
			b := newCapHarness(4, 3)
			b.submitOf(t, "a", "wide", Step{Count: 7, CPU: 1000, Filler: filler})
			for i, want := range []int{3, 3, 1} {
				b.submitOf(t, "b", fmt.Sprint("other", i), Step{Count: 2, CPU: 1000, Filler: filler})
				orders := b.start()
				must.Len(t, want+2, orders)
				must.Eq(t, int64(want), b.heldCores("a"))
				must.SliceEmpty(t, b.start())
				for _, o := range orders {
					w := b.workers[o.Worker]
					var active []ActiveRun
					for _, r := range w.tasks {
						if r.name() != o.Task {
							active = append(active, ActiveRun{Task: r.name().String(), Attempt: r.attempt, Percent: 10})
						}
					}
					b.report(o.Worker, active, endedRun(w.lastEnd+1, o, EndDone))
				}
				b.clock.Advance(1)
			}
			must.Eq(t, 0, b.heldCores("a"))
		})
	}
}

// TestGangStartsWholeWithinCap guards against a gang of which only a part fits into the cap.
func TestGangStartsWholeWithinCap(t *testing.T) {
	b := newCapHarness(2, 4)
	b.submitOf(t, "a", "first", Step{Count: 1, CPU: 1000})
	first := b.start()[0]
	b.submitOf(t, "a", "gang", Step{Count: 4, CPU: 1000, Gang: true})
	must.SliceEmpty(t, b.start())
	must.Eq(t, 1, b.heldCores("a"))
	b.report(first.Worker, nil, endedRun(1, first, EndDone))
	must.Len(t, 4, b.start())
}

// TestWaitForCapTakesNoWorker guards against workers that are reserved, or kept for trials, for tasks that
// can't start before their tenant has room, and against finite tasks that take the cap from a lasting one
// which waits for its worker.
func TestWaitForCapTakesNoWorker(t *testing.T) {
	b := newCapHarness(1, 8)
	b.submitOf(t, "b", "load", Step{Count: 7, CPU: 1000})
	must.Len(t, 7, b.start())
	b.submitOf(t, "a", "lasting", Step{Count: 3, CPU: 6000, LongRunning: true})
	b.submitOf(t, "b", "finite", Step{Count: 1, CPU: 1000})
	b.submitOf(t, "a", "small", Step{Count: 1, CPU: 3000})
	must.SliceEmpty(t, b.start(), must.Sprint("no worker is reserved for a task that fits into the cap"))
	narrow := testWorker(1)
	narrow.CPU = 5000
	b.UpdateWorker(narrow)
	started := b.start()
	must.Len(t, 1, started)
	must.Eq(t, "finite", started[0].Task.Job, must.Sprint("a finite task has taken the cap of one that lasts"))
	b.capCores(1)
	b.RemoveWorker("w1")
	b.submitOf(t, "b", "more", Step{Count: 2, CPU: 1000})
	must.Len(t, 1, b.start(), must.Sprint("a worker is reserved for a task that waits for its cap"))

	b = newCapHarness(1, 2)
	b.submitOf(t, "a", "suspects", Step{Count: 2, CPU: 1000})
	must.Len(t, 2, b.start())
	b.capCores(1)
	b.UpdateWorker(testWorker(1))
	b.UpdateWorker(testWorker(2))
	b.otherWorker("w0")
	must.Len(t, 1, b.start())
	must.Eq(t, 1, b.countTrials(), must.Sprint("a suspect that waits for its cap keeps a worker"))
	must.Eq(t, 1, b.heldCores("a"))
}

// TestLoweredCapWithholdsStarts guards against starts that are sent although the cap was lowered since they
// were decided, against such starts that are kept waiting, and against runs that a lower cap stops.
func TestLoweredCapWithholdsStarts(t *testing.T) {
	b := newCapHarness(1, 4)
	b.submitOf(t, "a", "job", Step{Count: 4, CPU: 1000})
	orders := b.placeAndStore()
	must.Len(t, 4, orders)
	b.OrderAnswered(orders[0], Done)
	b.OrderAnswered(orders[1], Unclear)
	b.capCores(1)
	for _, o := range orders[2:] {
		must.False(t, b.MayStart(o))
		b.OrderAnswered(o, Withheld)
	}
	must.Eq(t, 2, b.heldCores("a"))
	must.SliceEmpty(t, b.TakeImmediateOrders(), must.Sprint("a run was stopped"))
	// The unanswered start was not carried out, and is not sent again.
	b.clock.Advance(resendDelay + 1)
	b.report("w0", activeRuns(orders[0]))
	again := b.TakeImmediateOrders()
	must.Len(t, 1, again)
	must.False(t, b.MayStart(again[0]))
	b.OrderAnswered(again[0], Withheld)
	stops := b.TakeImmediateOrders()
	must.Len(t, 1, stops)
	must.Eq(t, Stop, stops[0].Kind)
	b.OrderAnswered(stops[0], Done)
	b.clock.Advance(refusalBackoff)
	b.report("w0", activeRuns(orders[0]))
	must.Eq(t, 1, b.heldCores("a"))
	must.SliceEmpty(t, b.placeAndStore())
	b.SetTenants(nil)
	must.Len(t, 3, b.placeAndStore(), must.Sprint("a removed tenant still has a cap"))
	b.capCores(4)
	must.Eq(t, 4, b.heldCores("a"), must.Sprint("the runs of a tenant that returns are not counted"))
}

// TestEndedJobCountsUntilItsRunsAreOver guards against a new leader that neither counts nor stops the runs of
// a cancelled job, against records that keep them for longer, and against other records for jobs without a
// tenant.
func TestEndedJobCountsUntilItsRunsAreOver(t *testing.T) {
	for _, tenant := range []string{"a", ""} {
		b, store := newCapHarness(1, 1), &recordStore{records: map[string][]byte{}}
		apply := func(b *harness) {
			batch := b.TakeBatch()
			store.apply(batch)
			b.storeBatch(batch)
		}
		b.submitOf(t, tenant, "job", Step{Count: 1, CPU: 1000, LongRunning: true})
		b.Place()
		apply(b)
		b.OrderAnswered(Order{Worker: "w0", Born: 1, Task: TaskName{Job: "job"}, Attempt: 1}, Done)
		must.NoError(t, b.Cancel("job", tenant, func(error) {}))
		apply(b)
		n := &harness{Scheduler: store.load(t, b.clock.Now, 1), clock: b.clock}
		n.capCores(1)
		if tenant == "" {
			must.StrNotContains(t, string(store.records["job/job"]), "steps\":[")
			continue
		}
		must.Eq(t, 1, n.heldCores("a"))
		n.submitOf(t, "a", "next", Step{Count: 1, CPU: 1000})
		n.report("w0", []ActiveRun{{Task: "job.0.0.0", Attempt: 1, Percent: 10}})
		must.Eq(t, Stop, n.TakeImmediateOrders()[0].Kind)
		must.SliceEmpty(t, n.placeAndStore())
		n.clock.Advance(1)
		n.report("w0", nil, EndedRun{Number: 1, Task: "job.0.0.0", Attempt: 1, How: EndStopped})
		must.Len(t, 1, func() []Order { n.Place(); batch := n.TakeBatch(); store.apply(batch); return n.storeBatch(batch) }())
		must.StrNotContains(t, string(store.records["job/job"]), "steps\":[", must.Sprint("the record did not shrink"))
	}
}

// TestStaleRunsCountUntilOver guards against runs that are not the newest of their tasks and are not counted,
// or for ever: those that a worker lists, and those whose stop is under way.
func TestStaleRunsCountUntilOver(t *testing.T) {
	b := newCapHarness(2, 1)
	b.submitOf(t, "a", "job", Step{Count: 1, CPU: 1000})
	o := b.placeAndStore()[0]
	late := ActiveRun{Task: o.Task.String(), Attempt: o.Attempt - 1, Percent: 10}
	other := "w0"
	if o.Worker == other {
		other = "w1"
	}
	b.report(other, []ActiveRun{late})
	must.Eq(t, 2, b.heldCores("a"))
	// The late run completes the task, while the answer to the newest start is open.
	b.clock.Advance(1)
	b.report(other, nil, EndedRun{Number: 1, Task: late.Task, Attempt: late.Attempt, How: EndDone})
	must.Eq(t, 1, b.heldCores("a"))
	b.submitOf(t, "a", "next", Step{Count: 1, CPU: 1000})
	for _, out := range []Outcome{Unclear, Unclear, Done} {
		stops := b.TakeImmediateOrders()
		b.OrderAnswered(stops[len(stops)-1], out)
		must.SliceEmpty(t, b.placeAndStore(), must.Sprint("a run that may still start is not counted"))
		b.clock.Advance(1)
		b.report(o.Worker, nil)
	}
	must.Eq(t, 0, b.heldCores("a"))
	b.clock.Advance(stopBackoff)
	must.Len(t, 1, b.placeAndStore())
}

// TestUnheardWorkerHoldsCap guards against a cap that is freed before a silent worker's lease is over.
func TestUnheardWorkerHoldsCap(t *testing.T) {
	b := newCapHarness(2, 1)
	b.submitOf(t, "a", "job", Step{Count: 1, CPU: 1000})
	o := b.start()[0]
	b.report(o.Worker, []ActiveRun{activeRuns(o)[0], {Task: o.Task.String(), Attempt: 0}})
	b.CallFailed(o.Worker, 1, false)
	b.clock.Advance(b.workers[o.Worker].leaseBound() - b.clock.Now() - 1)
	b.Sweep()
	must.Eq(t, 2, b.heldCores("a"))
	must.SliceEmpty(t, b.placeAndStore())
	b.clock.Advance(1)
	b.Sweep()
	must.Eq(t, 0, b.heldCores("a"))
	must.Len(t, 1, b.placeAndStore())
}

// TestSubmitOverCap guards against jobs that are accepted although they could never start, and against
// refused ones that were accepted before.
func TestSubmitOverCap(t *testing.T) {
	tests := map[string]struct {
		tenant string
		step   Step
		over   bool
	}{
		"task":         {tenant: "a", step: Step{Count: 1, CPU: 5000}, over: true},
		"gang":         {tenant: "a", step: Step{Count: 5, CPU: 1000, Gang: true}, over: true},
		"waves":        {tenant: "a", step: Step{Count: 5, CPU: 1000, Memory: 1 << 40, GPU: 9}},
		"no limit":     {tenant: "b", step: Step{Count: 1, CPU: 5000}},
		"not a tenant": {tenant: "c", step: Step{Count: 1, CPU: 5000}},
		"public":       {step: Step{Count: 1, CPU: 5000}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newCapHarness(1, 4)
			spec := specOf(tc.tenant, "job", tc.step)
			if err := b.Submit(spec, func(error) {}); tc.over {
				must.ErrorIs(t, err, ErrOverCap)
				must.False(t, b.HasJob("job"))
				must.NoError(t, b.SubmitDeposited(spec, func(error) {}))
				must.NoError(t, b.Submit(spec, func(error) {}))
			} else {
				must.NoError(t, err)
			}
		})
	}
}

// TestJobsBelongToTheirTenant guards against callers that learn of, cancel or take over the id of another
// tenant's job.
func TestJobsBelongToTheirTenant(t *testing.T) {
	b := newCapHarness(1, 1)
	b.submitOf(t, "a", "owned", Step{Count: 1})
	b.submitOf(t, "", "public", Step{Count: 1})
	b.placeAndStore()
	_, err := b.Phase("owned", "q", "b")
	must.ErrorIs(t, err, ErrUnknown)
	must.ErrorIs(t, b.Cancel("owned", "b", func(error) {}), ErrUnknown)
	must.ErrorIs(t, b.Submit(specOf("b", "owned", Step{Count: 1}), func(error) {}), ErrConflict)
	for job, tenants := range map[string][]string{"owned": {"a", ""}, "public": {"a", ""}} {
		for _, tenant := range tenants {
			_, err := b.Phase(job, "q", tenant)
			must.NoError(t, err)
			must.NoError(t, b.Submit(specOf(tenant, job, Step{Count: 1}), func(error) {}))
			must.NoError(t, b.Cancel(job, tenant, func(error) {}))
		}
	}
}

// TestTenantEvents guards against a line for each task that waits for a cap, and against changes and states
// that operators can't see.
func TestTenantEvents(t *testing.T) {
	lines := map[logger.Event]int{}
	c := clock.NewManual(1_000_000)
	b := &harness{Scheduler: New(WithClocks(c.Now, c.Now), WithEvents(func(e logger.Event, _ ...logger.Field) { lines[e]++ })), clock: c}
	b.UpdateWorker(testWorker(0))
	b.capCores(2)
	b.submitOf(t, "a", "job", Step{Count: 5, CPU: 1000})
	b.submitOf(t, "a", "more", Step{Count: 1, CPU: 1000})
	for range 101 {
		b.placeAndStore()
		b.clock.Advance(100)
	}
	must.Eq(t, 3, lines[logger.TenantWaits])
	must.Eq(t, []TenantState{{Name: "a", Held: sizer.New(2000, 0, 0), Cap: sizer.New(2000, 0, 0), Share: 0.25, Waiting: 4}, {Name: "b"}}, b.TenantStates())
	must.Eq(t, 0, lines[logger.TenantChanged])
	b.capCores(1)
	b.capCores(1)
	must.Eq(t, 1, lines[logger.TenantChanged])
}
