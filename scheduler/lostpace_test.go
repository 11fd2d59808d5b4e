package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestLostPaceIsSentAgain guards against a filler that works on at full speed as the order to pause it was lost or refused.
func TestLostPaceIsSentAgain(t *testing.T) {
	for name, out := range map[string]Outcome{"lost": Unclear, "refused": Unavailable, "not sent": NotSent} {
		t.Run(name, func(t *testing.T) {
			const losses = 3
			b := newHarness(1)
			b.submit(t, "s", Step{Count: 1, CPU: 1000, LongRunning: true, Objective: 18, Image: "s"})
			b.submit(t, "f", Step{Count: 1, CPU: 1000, Filler: true, Image: "f"})
			orders := b.placeAndStore()
			must.SliceLen(t, 2, orders)
			for _, o := range orders {
				b.OrderAnswered(o, Done)
			}
			pauses := 0
			for range 40 {
				a := activeRuns(orders...)
				for i := range a {
					if orders[i].Task.Job == "s" {
						a[i].Percent, a[i].Measurement = 100, 200
					} else {
						a[i].Percent += pauses
					}
				}
				b.report(orders[0].Worker, a)
				b.clock.Advance(paceInterval)
				b.Sweep()
				for _, o := range b.TakeImmediateOrders() {
					if o.Kind != Pace || o.Percent != 0 {
						b.OrderAnswered(o, Done)
						continue
					}
					if pauses++; pauses <= losses {
						b.OrderAnswered(o, out)
						continue
					}
					b.OrderAnswered(o, Done)
				}
			}
			must.Eq(t, losses+1, pauses)
		})
	}
}
