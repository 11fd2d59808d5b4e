package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

// TestReservedRoomIsKept guards against runs beside a reservation that neither end before its time nor
// leave its room free, and against more reservations than a tenth of the workers. Load: random tasks of
// all kinds on workers that are often full.
func TestReservedRoomIsKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newBusyFleet(rapid.IntRange(1, 25).Draw(rt, "workers"), func(o Order) clock.Millis {
			if o.Task.Job[0] == 'l' {
				return clock.Hour
			}
			return 100 + clock.Millis(o.Task.Index%7)*300
		})
		for i := range rapid.IntRange(15, 30).Draw(rt, "rounds") {
			for n := range rapid.IntRange(0, 3).Draw(rt, "jobs") {
				step := Step{
					Count: rapid.IntRange(1, 8).Draw(rt, "count"), CPU: rapid.Int64Range(1, 8).Draw(rt, "cpu") * 1000, Memory: rapid.Int64Range(1, 5).Draw(rt, "memory") * 1000,
					Estimate: clock.Millis(rapid.Int64Range(50, 3000).Draw(rt, "estimate")), Filler: rapid.IntRange(0, 5).Draw(rt, "filler") == 0,
				}
				step.Gang = !step.Filler && rapid.IntRange(0, 7).Draw(rt, "gang") == 0
				kind := "s"
				if step.LongRunning = !step.Filler && !step.Gang && rapid.IntRange(0, 7).Draw(rt, "lasting") == 0; step.LongRunning {
					kind = "l"
				}
				f.submit(t, fmt.Sprint(kind, i, "-", n), step)
			}
			f.play(100)
			must.LessEq(rt, max(1, len(f.workers)/10), len(f.packing.reservations))
			for _, r := range f.packing.reservations {
				checkReservation(rt, f.Scheduler, r, f.clock.Now())
			}
		}
	})
}

// checkReservation checks the runs that have started on a reserved worker in the last round, unless a
// long-running task, which goes first, has taken the room in it.
func checkReservation(t *rapid.T, s *Scheduler, r *reservation, now clock.Millis) {
	w, held, late := r.worker, r.task.spec().held(), false
	lateFiller := false
	for _, o := range w.tasks {
		lasts := o.spec().LongRunning
		if lasts && o.placedAt == now {
			return
		}
		if lasts || s.runEnd(o, now) > r.at {
			held = held.plus(o.spec().held())
			started := !lasts && o.placedAt == now
			late, lateFiller = late || started && !o.spec().Filler, lateFiller || started && o.spec().Filler
		}
	}
	if lateFiller && !late {
		// Fillers use no reserved processors.
		held.cpu = 0
	}
	must.True(t, !late && !lateFiller || held.fitsIn(resourceSize{w.info.CPU, w.info.Memory, w.info.GPU}), must.Sprintf("%s: %+v", w.info.ID, held))
}

// TestNoTaskWaitsForever guards against large tasks that starve. Load: small tasks that go first take
// nearly all of the room, and 20 large ones wait on 100 workers, of which ten may be reserved:
// the last has to end after 300 ms and three runs of at most 1.25 s each.
func TestNoTaskWaitsForever(t *testing.T) {
	tests := map[string]Queue{
		"lower priority":     {Name: "low", Priority: 3, Slack: 100},
		"too late to be use": {Name: "late", Slack: 0.1},
	}
	for name, q := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMixFleet(t, 100, 400, 13_000)
			q.Service, q.MaxAttempts = testService, 2
			m.submitMix(t, 3*clock.Second, 270, 0)
			m.submitted["late"] = m.clock.Now()
			must.NoError(t, m.Submit(Spec{ID: "late", Queue: q, Steps: []Step{{Count: 20, CPU: 12_000, Memory: 500, Estimate: clock.Second}}}, func(error) {}))
			m.submitMix(t, 5*clock.Second, 270, 0)
			must.Eq(t, Completed, m.jobs["late"].phase)
		})
	}
}

// reservedHarness returns two workers that small tasks fill, and a large task with a reservation on one
// of them.
func reservedHarness(t *testing.T) (*harness, *reservation, []Record) {
	t.Helper()
	b := newHarness(2)
	var records []Record
	submit := func(id string, count int, cpu int64) {
		b.submit(t, id, Step{Count: count, CPU: cpu, Memory: 100, Estimate: clock.Second})
		b.Place()
		batch := b.TakeBatch()
		records = append(records, batch.Records...)
		for _, o := range b.storeBatch(batch) {
			b.OrderAnswered(o, Done)
		}
	}
	submit("small", 4, 4000)
	submit("large", 1, 6000)
	b.clock.Advance(roomWait)
	b.placeAndStore()
	must.SliceEmpty(t, b.packing.reservations)
	b.placeAndStore()
	must.Len(t, 1, b.packing.reservations)
	return b, b.packing.reservations[0], records
}

// TestReservationIsDropped guards against tasks that wait for workers which they can't get. Load: a
// large task that waits for one of two full workers.
func TestReservationIsDropped(t *testing.T) {
	tests := map[string]struct {
		lose func(b *harness, w *worker)
		// moves is whether the other worker is reserved next.
		moves bool
	}{
		"kept": {lose: func(*harness, *worker) {}},
		"evacuated": {moves: true, lose: func(b *harness, w *worker) {
			w.info.DataCentre = "evacuated"
			b.SetEvacuated([]string{"evacuated"})
		}},
		"draining":                        {moves: true, lose: func(_ *harness, w *worker) { w.info.Draining = true }},
		"silent":                          {moves: true, lose: func(b *harness, w *worker) { b.CallFailed(w.info.ID, 1, false) }},
		"quarantined":                     {moves: true, lose: func(b *harness, w *worker) { w.failures, w.failedAt = quarantineScore, b.clock.Now() }},
		"on trial":                        {moves: true, lose: func(_ *harness, w *worker) { w.trial, w.tasks[0].suspicion = w.tasks[0], isolationSuspicion }},
		"shrunk":                          {moves: true, lose: func(_ *harness, w *worker) { w.info.CPU = 5000 }},
		"late":                            {moves: true, lose: func(b *harness, _ *worker) { b.clock.Advance(clock.Second + reservationGrace) }},
		"cancelled":                       {lose: func(b *harness, _ *worker) { b.finishJob(b.jobs["large"], Cancelled) }},
		"kept while its worker backs off": {lose: func(b *harness, w *worker) { w.blockedUntil = b.clock.Now() + 100 }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b, r, _ := reservedHarness(t)
			tt.lose(b, r.worker)
			b.placeAndStore()
			switch {
			case tt.moves:
				must.Len(t, 1, b.packing.reservations)
				must.NotEq(t, r.worker.info.ID, b.packing.reservations[0].worker.info.ID)
			case name == "cancelled":
				must.SliceEmpty(t, b.packing.reservations)
				must.Nil(t, r.worker.reservation)
			default:
				must.Eq(t, []*reservation{r}, b.packing.reservations)
			}
		})
	}
}

// TestShortTaskStartsBesideReservation guards against short tasks that wait because longer ones of the
// same size, which would delay a reserved start, have found no worker. Load: one worker with some room.
func TestShortTaskStartsBesideReservation(t *testing.T) {
	tests := map[string]struct{ later, cancelled bool }{"in the same round": {}, "in the next round": {later: true}, "when the long one is cancelled": {later: true, cancelled: true}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			b.submit(t, "base", Step{Count: 2, CPU: 3000, Memory: 100, Estimate: clock.Second})
			b.placeAndStore()
			b.submit(t, "large", Step{Count: 1, CPU: 7000, Memory: 100, Estimate: clock.Second})
			b.placeAndStore()
			b.clock.Advance(roomWait)
			b.placeAndStore()
			b.submit(t, "long", Step{Count: 1, CPU: 2000, Memory: 100, Estimate: clock.Minute})
			if tt.later {
				b.placeAndStore()
			}
			if tt.cancelled {
				b.finishJob(b.jobs["long"], Cancelled)
			}
			q := Queue{Name: "short", Service: testService, Priority: 1, MaxAttempts: 2, Slack: 2}
			must.NoError(t, b.Submit(Spec{ID: "short", Queue: q, Steps: []Step{{Count: 1, CPU: 2000, Memory: 100, Estimate: 100}}}, func(error) {}))
			orders := b.placeAndStore()
			must.Len(t, 1, orders)
			must.Eq(t, "short", orders[0].Task.Job)
		})
	}
}

// TestTenantAtItsCapReservesNothing guards against room that is kept for a task which may not start.
// Load: the tenant of the large task uses its cap after the task has waited for room.
func TestTenantAtItsCapReservesNothing(t *testing.T) {
	b, r, _ := reservedHarness(t)
	b.SetTenants([]Tenant{{Name: "a", Weight: 1, Cap: sizer.New(9000, 0, 0)}})
	r.task.job().spec.Tenant = "a"
	b.placeAndStore()
	must.Eq(t, []*reservation{r}, b.packing.reservations)
	b.sharer.Hold("a", sizer.New(4000, 0, 0))
	b.placeAndStore()
	must.SliceEmpty(t, b.packing.reservations)
	b.placeAndStore()
	must.Eq(t, 0, b.RoomState().Waiting)
}

// TestNewLeaderReservesAgain guards against large tasks that lose their turn with the leader, which
// doesn't store reservations. Load: a large task that waits for one of two full workers.
func TestNewLeaderReservesAgain(t *testing.T) {
	b, r, records := reservedHarness(t)
	next := newHarness(2)
	next.clock.Advance(b.clock.Now() - next.clock.Now())
	for _, record := range records {
		must.NoError(t, next.Load(record.Key, record.Value, next.clock.Now()+defaultLease))
	}
	for id, w := range b.workers {
		var runs []ActiveRun
		for _, o := range w.tasks {
			runs = append(runs, ActiveRun{Task: o.name().String(), Attempt: o.attempt, Percent: 40})
		}
		next.report(id, runs)
	}
	next.placeAndStore()
	next.clock.Advance(roomWait)
	next.placeAndStore()
	next.placeAndStore()
	must.Len(t, 1, next.packing.reservations)
	must.Eq(t, r.task.name(), next.packing.reservations[0].task.name())
}

// TestLongRunningTaskIsNotHeldUp guards against reservations that delay a task which has to run again
// within 9 s. Load: a long-running task that fits only in reserved room.
func TestLongRunningTaskIsNotHeldUp(t *testing.T) {
	b, r, _ := reservedHarness(t)
	w := r.worker
	b.clock.Advance(500)
	var runs []EndedRun
	for i, o := range w.tasks {
		runs = append(runs, EndedRun{Number: int64(i + 1), Task: o.name().String(), Attempt: o.attempt, How: EndDone})
	}
	b.report(w.info.ID, nil, runs...)
	b.submit(t, "lasting", Step{Count: 1, CPU: 7000, Memory: 100, LongRunning: true})
	b.placeAndStore()
	must.Eq(t, placed, b.findTask("lasting.0.0.0").state)
	must.Eq(t, pending, r.task.state)
}
