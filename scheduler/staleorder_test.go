package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

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
	must.NoError(t, b.Cancel("job", func(error) {}))
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
	must.NoError(t, b.Cancel("job", func(error) {}))
	must.False(t, b.IsCurrent(o))
}
