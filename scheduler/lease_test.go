package scheduler

import (
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
