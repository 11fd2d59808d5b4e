package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestLeaseOfIdleWorkerWithSlowClock guards against a start elsewhere before the lease is over.
func TestLeaseOfIdleWorkerWithSlowClock(t *testing.T) {
	tests := map[string]struct {
		idle clock.Millis
		// reported is whether the worker was polled before it was idle; otherwise its
		// clock is known from the registry.
		reported bool
		// heartbeat is the period of the worker's registry entries while it is idle, 0 if
		// the store is unavailable.
		heartbeat clock.Millis
	}{
		"just reported":                {reported: true},
		"idle":                         {idle: clock.Minute, reported: true},
		"idle, registry refreshed":     {idle: clock.Minute, reported: true, heartbeat: clock.Second},
		"idle for long":                {idle: 10 * clock.Minute, reported: true, heartbeat: clock.Second},
		"never polled":                 {idle: clock.Minute},
		"never polled, but registered": {idle: clock.Minute, heartbeat: clock.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(2)
			start := b.clock.Now()
			workerClock := func() clock.Millis {
				return clock.Millis(float64(b.clock.Now()-start) * (1 - maxClockDrift))
			}
			for i := range 2 {
				if tc.reported {
					b.Report(Report{Worker: testWorker(i).ID, Born: 1, Clock: workerClock(), Sent: b.clock.Now()})
				}
			}
			for b.clock.Now() < start+tc.idle {
				b.clock.Advance(clock.Second)
				for i := range 2 {
					if w := testWorker(i); tc.heartbeat > 0 {
						w.Clock = workerClock()
						b.UpdateWorker(w)
					}
				}
			}
			b.submit(t, "job", Step{Count: 1, CPU: 100})
			o := b.placeAndStore()[0]
			deadline, ok := b.Lease(o.Worker, o.Born)
			must.True(t, ok)
			must.Greater(t, workerClock()+defaultLease/2, deadline, must.Sprint("the lease is too short for a run to start"))
			b.OrderAnswered(o, Done)
			b.CallFailed(o.Worker, 1, false)
			for range 100 {
				b.clock.Advance(100)
				b.Sweep()
				if len(b.placeAndStore()) == 0 {
					continue
				}
				must.LessEq(t, workerClock(), deadline, must.Sprint("the task started elsewhere before the lease expired"))
				return
			}
			must.Unreachable(t, must.Sprint("the task did not start elsewhere"))
		})
	}
}

// TestLeaseOfRestartedWorkerUsesItsOwnClock guards against a deadline on the former clock.
func TestLeaseOfRestartedWorkerUsesItsOwnClock(t *testing.T) {
	b := newHarness(0)
	w := testWorker(0)
	w.Clock = clock.Hour
	b.UpdateWorker(w)
	b.WorkerReplaced("w0", testWorker(0).Address, 1, 2)
	deadline, ok := b.Lease("w0", 2)
	must.True(t, ok)
	must.LessEq(t, defaultLease, deadline)
	b.Report(Report{Worker: "w0", Born: 2, Clock: clock.Second, Sent: b.clock.Now()})
	deadline, ok = b.Lease("w0", 2)
	must.True(t, ok)
	must.Eq(t, clock.Second+defaultLease, deadline)
}

// TestLeaseOfFormerProcess guards against a deadline on the clock of the next process.
func TestLeaseOfFormerProcess(t *testing.T) {
	b := newHarness(1)
	w := testWorker(0)
	w.Born = 2
	b.UpdateWorker(w)
	_, ok := b.Lease("w0", 1)
	must.False(t, ok)
	_, ok = b.Lease("w0", 2)
	must.True(t, ok)
}

// TestEndMissingFromFullList guards against a start after an end that a full list left out.
func TestEndMissingFromFullList(t *testing.T) {
	const listed = 500 // the platform's figure, not maxListedEnds
	for name, confirmed := range map[string]bool{"confirmed": true, "not confirmed": false} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(2)
			b.submit(t, "job", Step{Count: 1, CPU: 100})
			o := b.placeAndStore()[0]
			if confirmed {
				b.OrderAnswered(o, Done)
			} else {
				b.OrderAnswered(o, Obsolete)
			}
			b.clock.Advance(1)
			var others []EndedRun
			for i := range listed {
				others = append(others, EndedRun{Number: int64(i + 1), Task: fmt.Sprintf("other.0.0.%d", i), Attempt: 1, How: EndDone})
			}
			b.report(o.Worker, nil, others...)
			must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task was started again"))
			s, _ := b.Session(o.Worker, 1)
			must.Eq(t, listed, s.Acked)
			b.clock.Advance(1)
			b.report(o.Worker, nil, endedRun(listed+1, o, EndDone))
			must.SliceEmpty(t, b.placeAndStore())
			p, err := b.Phase("job", "q", "")
			must.NoError(t, err)
			must.Eq(t, Completed, p)
		})
	}
}

// TestStartOfReleasedRunIsNotSent guards against starting a run released before it was stored.
func TestStartOfReleasedRunIsNotSent(t *testing.T) {
	restarted := testWorker(0)
	restarted.Born = 2
	tests := map[string]struct {
		// lose takes the worker w0 away from the scheduler, and back brings it back.
		lose, back func(b *harness)
	}{
		"lease expired": {
			lose: func(b *harness) { b.CallFailed("w0", 1, false) },
			back: func(b *harness) { b.report("w0", nil) },
		},
		"left after draining, new process": {
			lose: func(b *harness) {
				w := testWorker(0)
				w.Draining = true
				b.UpdateWorker(w)
				b.RemoveWorker("w0")
				b.CallFailed("w0", 1, true)
			},
			back: func(b *harness) { b.UpdateWorker(restarted) },
		},
		"address taken over, new process": {
			lose: func(b *harness) { b.WorkerReplaced("w0", testWorker(0).Address, 1, 0) },
			back: func(b *harness) { b.UpdateWorker(restarted) },
		},
		"restarted": {
			lose: func(b *harness) { b.WorkerReplaced("w0", testWorker(0).Address, 1, 2) },
			back: func(b *harness) {
				stops := b.TakeImmediateOrders()
				must.Len(t, 1, stops)
				b.OrderAnswered(stops[0], Done)
				b.clock.Advance(1)
				b.Report(Report{Worker: "w0", Born: 2, Sent: b.clock.Now()})
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			b.submit(t, "job", Step{Count: 1, CPU: 100})
			b.Place()
			first := b.TakeBatch()
			must.Len(t, 1, first.Orders)
			tc.lose(b)
			b.clock.Advance(2 * defaultLease)
			b.Sweep()
			tc.back(b)
			b.UpdateWorker(testWorker(1))
			b.Place()
			second := b.TakeBatch()
			must.Len(t, 1, second.Orders)
			must.Eq(t, 2, second.Orders[0].Attempt)
			must.SliceEmpty(t, b.storeBatch(first), must.Sprint("the order of the released run was sent"))
			must.SliceLen(t, 1, b.storeBatch(second))
		})
	}
}

// TestStartOfStoppingRunCountsAsAnswered guards against a stop that is never repeated.
func TestStartOfStoppingRunCountsAsAnswered(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	b.Place()
	batch := b.TakeBatch()
	must.NoError(t, b.Cancel("job", "", func(error) {}))
	stops := b.TakeImmediateOrders()
	must.Len(t, 1, stops)
	must.SliceEmpty(t, b.storeBatch(batch))
	for range 3 {
		b.OrderAnswered(stops[0], Unclear)
		b.clock.Advance(clock.Second)
		b.report("w0", nil)
		stops = b.TakeImmediateOrders()
		must.Len(t, 1, stops)
		must.Eq(t, Stop, stops[0].Kind)
	}
}

// TestStartOfStoppingRunIsNotCurrent guards against a start sent after the stop of its run.
func TestStartOfStoppingRunIsNotCurrent(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.placeAndStore()[0]
	must.True(t, b.IsCurrent(o))
	must.NoError(t, b.Cancel("job", "", func(error) {}))
	must.False(t, b.IsCurrent(o))
}

// TestReportTakenUpLateIsNoStall guards against taking the leader's own delay for a run that stands
// still: the worker answered twice within a few milliseconds, and the leader took up the second report
// a second later.
func TestReportTakenUpLateIsNoStall(t *testing.T) {
	tests := map[string]struct {
		// between is the time between the reports on the worker's clock.
		between clock.Millis
		want    bool
	}{
		"taken up late":        {between: 5},
		"really standing":      {between: 1200, want: true},
		"standing not so long": {between: 800},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			b.submit(t, "job", Step{Count: 1, CPU: 100, Estimate: 10_000})
			o := b.placeAndStore()[0]
			b.OrderAnswered(o, Done)
			b.TakeImmediateOrders()
			report := func(at clock.Millis) {
				b.Report(Report{Worker: "w0", Born: 1, Clock: at, Sent: b.clock.Now(), Active: activeRuns(o)})
			}
			answered := b.clock.Now()
			report(answered)
			b.clock.Advance(1200)
			report(answered + tt.between)
			b.Sweep()
			stopped := len(b.TakeImmediateOrders()) > 0
			must.Eq(t, tt.want, stopped)
		})
	}
}
