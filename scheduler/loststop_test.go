package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestLostStopIsRepeated guards against a run that stays on a draining worker because the order to stop
// it was lost.
func TestLostStopIsRepeated(t *testing.T) {
	b := newHarness(2)
	b.submit(t, "job", Step{Count: 1, CPU: 100, LongRunning: true})
	o := b.placeAndStore()
	must.Len(t, 1, o)
	b.OrderAnswered(o[0], Done)
	b.report(o[0].Worker, activeRuns(o...))
	i := b.workers[o[0].Worker].info
	i.Draining, i.Remaining = true, 20*clock.Second
	b.UpdateWorker(i)
	b.Sweep()
	stops := b.TakeImmediateOrders()
	must.Len(t, 1, stops)
	must.Eq(t, Stop, stops[0].Kind)
	b.OrderAnswered(stops[0], Unclear)
	for range 50 {
		b.clock.Advance(200)
		b.report(o[0].Worker, activeRuns(o...))
		b.Sweep()
		if again := b.TakeImmediateOrders(); len(again) > 0 {
			must.Eq(t, Stop, again[0].Kind)
			return
		}
	}
	t.Error("the stop was not sent again within 10 s")
}
