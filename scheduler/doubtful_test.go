package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestUnansweredStartBlocksLeaseAfterExpiry guards against a late start under a new lease.
func TestUnansweredStartBlocksLeaseAfterExpiry(t *testing.T) {
	tests := map[string]struct {
		start, stop Outcome
		// wantStop is whether the run has to be stopped, wantLease whether the worker
		// gets a lease after the outcome of the stop.
		wantStop, wantLease bool
	}{
		"start unanswered, stop confirmed":  {start: Unclear, stop: Done, wantStop: true, wantLease: true},
		"start unanswered, stop unanswered": {start: Unclear, stop: Unclear, wantStop: true},
		"start unanswered, stop not sent":   {start: Unclear, stop: NotSent, wantStop: true},
		"start confirmed":                   {start: Done, wantLease: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			b.submit(t, "job", Step{Count: 1, CPU: 100})
			o := b.placeAndStore()[0]
			b.OrderAnswered(o, tt.start)
			b.CallFailed("w0", 1, false)
			b.clock.Advance(2 * defaultLease)
			b.Sweep()
			b.UpdateWorker(testWorker(1))
			again := b.placeAndStore()
			must.Len(t, 1, again)
			must.Eq(t, "w1", again[0].Worker)
			b.report("w0", nil)
			stops := b.TakeImmediateOrders()
			must.Eq(t, tt.wantStop, len(stops) == 1)
			if tt.wantStop {
				must.Eq(t, Stop, stops[0].Kind)
				must.Eq(t, 1, stops[0].Attempt)
				_, ok := b.Lease("w0", 1)
				must.False(t, ok, must.Sprint("the worker gets a lease while the former start may be carried out"))
				b.OrderAnswered(stops[0], tt.stop)
				b.report("w0", nil)
			}
			_, ok := b.Lease("w0", 1)
			must.Eq(t, tt.wantLease, ok)
			must.Eq(t, tt.wantStop && !tt.wantLease, len(b.TakeImmediateOrders()) == 1, must.Sprint("the stop is sent again"))
		})
	}
}

// TestRestartKeepsUnansweredStarts guards against a restart that forgets an unconfirmed stop.
func TestRestartKeepsUnansweredStarts(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	b.OrderAnswered(b.placeAndStore()[0], Unclear)
	b.CallFailed("w0", 1, false)
	b.clock.Advance(2 * defaultLease)
	b.Sweep()
	b.report("w0", nil)
	must.SliceLen(t, 1, b.TakeImmediateOrders())
	w := testWorker(0)
	w.Born = 2
	b.UpdateWorker(w)
	b.Report(Report{Worker: "w0", Born: 2, Clock: b.clock.Now(), Sent: b.clock.Now()})
	stops := b.TakeImmediateOrders()
	must.SliceLen(t, 1, stops)
	must.Eq(t, 2, stops[0].Born)
	b.OrderAnswered(stops[0], Done)
	_, ok := b.Lease("w0", 2)
	must.True(t, ok)
}

// TestUnregisteredWorkerKeepsUnansweredStarts guards against a late start after a partition.
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
	_, ok := b.Lease("w0", 1)
	must.False(t, ok, must.Sprint("the worker gets a lease while the former start may be carried out"))
}

// TestListedEndNeedsNoStop guards against a worker that is out of use until it has confirmed stops of
// runs that have ended.
func TestListedEndNeedsNoStop(t *testing.T) {
	tests := map[string]struct {
		attempt int
		// wantStop is whether the abandoned run has to be stopped.
		wantStop bool
	}{
		"end of the abandoned run": {attempt: 1},
		"end of an earlier run":    {attempt: 0, wantStop: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, o := recordOfRun(t, "job", 1)
			b, until := takeOver(t, registryOf(1), r)
			b.CallFailed("w0", 1, false)
			b.clock.Advance(until - b.clock.Now())
			b.Sweep()
			again := b.placeAndStore()
			must.Len(t, 1, again)
			o.Attempt = tt.attempt
			b.report("w0", nil, endedRun(1, o, EndLapsed))
			must.Eq(t, tt.wantStop, len(b.TakeImmediateOrders()) == 1)
			_, ok := b.Lease("w0", 1)
			must.Eq(t, tt.wantStop, !ok)
		})
	}
}
