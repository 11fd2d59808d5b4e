package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// maxLastingGap is the longest time that a task which lasts may be without a run, by the rules of the
// platform: six seconds of a lease and three more.
const maxLastingGap = 9 * clock.Second

// answerOrders answers the orders to the workers, all of which are reachable: a start is withheld where
// nothing may start.
func (b *harness) answerOrders(t *testing.T, os []Order) {
	t.Helper()
	for _, o := range os {
		out := Done
		if o.Kind == Start && !b.MayStart(o) {
			out = Withheld
		}
		b.OrderAnswered(o, out)
	}
}

// TestUnansweredStartIsTakenBackWhereNothingMayStart guards against a task that waits for a run that
// can be neither started nor given up.
func TestUnansweredStartIsTakenBackWhereNothingMayStart(t *testing.T) {
	tests := map[string]func(b *harness, w WorkerInfo){
		"still possible": func(*harness, WorkerInfo) {},
		"worker drains": func(b *harness, w WorkerInfo) {
			w.Draining, w.Remaining = true, clock.Minute
			b.UpdateWorker(w)
		},
		"data centre is evacuated": func(b *harness, w WorkerInfo) { b.SetEvacuated([]string{w.DataCentre}) },
	}
	for name, during := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			other := testWorker(1)
			other.DataCentre = "b"
			b.submit(t, "job", Step{Count: 1, CPU: 100, LongRunning: true})
			o := b.placeAndStore()[0]
			b.OrderAnswered(o, Unclear)
			b.UpdateWorker(other)
			during(b, testWorker(0))
			started := false
			for range maxLastingGap / 100 {
				b.clock.Advance(100)
				b.report("w0", nil)
				os := append(b.TakeImmediateOrders(), b.placeAndStore()...)
				for _, o := range os {
					started = started || o.Kind == Start && b.MayStart(o)
				}
				b.answerOrders(t, os)
				b.Sweep()
			}
			must.True(t, started, must.Sprint("the task has no run"))
		})
	}
}

// TestLostStopIsSentAgain guards against a run that is to move and stays for good.
func TestLostStopIsSentAgain(t *testing.T) {
	for name, out := range map[string]Outcome{"no answer": Unclear, "not sent": NotSent, "worker unavailable": Unavailable, "leader delayed": Unheard} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(2)
			b.submit(t, "job", Step{Count: 1, CPU: 100, LongRunning: true})
			o := b.placeAndStore()[0]
			b.OrderAnswered(o, Done)
			w := testWorker(0)
			if o.Worker == "w1" {
				w = testWorker(1)
			}
			w.Draining, w.Remaining = true, clock.Minute
			b.UpdateWorker(w)
			b.Sweep()
			stops := b.TakeImmediateOrders()
			must.Len(t, 1, stops)
			b.OrderAnswered(stops[0], out)
			for range 20 {
				b.clock.Advance(100)
				b.report(o.Worker, activeRuns(o))
				b.Sweep()
			}
			stops = b.TakeImmediateOrders()
			must.SliceNotEmpty(t, stops, must.Sprint("the stop was not sent again"))
			must.Eq(t, Stop, stops[0].Kind)
		})
	}
}
