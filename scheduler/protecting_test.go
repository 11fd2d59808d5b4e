package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"
)

// paceOrders returns the paces that were ordered since the last call.
func (b *harness) paceOrders() []int {
	var paces []int
	for _, o := range b.TakeImmediateOrders() {
		if o.Kind == Pace {
			paces = append(paces, o.Percent)
		}
	}
	return paces
}

// TestFillerPaceRecovers guards against a filler that stays slow after the reason is
// gone: the serving task on its worker ends, or a new leader takes over, which does not
// know the pace of the filler.
func TestFillerPaceRecovers(t *testing.T) {
	serving := Step{Count: 1, CPU: 1000, LongRunning: true, Objective: 18, Image: "s"}
	filler := Step{Count: 1, CPU: 1000, Filler: true, Image: "f"}
	tests := map[string]struct {
		// removeCause removes the cause of the slow pace. It returns the harness of the
		// scheduler that leads afterwards.
		removeCause func(t *testing.T, b *harness, records []Record, servingOrder, fillerOrder Order) *harness
	}{
		"the serving task ends": {removeCause: func(t *testing.T, b *harness, _ []Record, servingOrder, fillerOrder Order) *harness {
			must.NoError(t, b.Cancel("s", "", func(error) {}))
			b.storeBatch(b.TakeBatch())
			b.report(fillerOrder.Worker, activeRuns(fillerOrder), endedRun(1, servingOrder, EndStopped))
			return b
		}},
		"a new leader takes over": {removeCause: func(t *testing.T, b *harness, records []Record, servingOrder, fillerOrder Order) *harness {
			n := newHarness(1)
			for _, r := range records {
				must.NoError(t, n.Load(r.Key, r.Value, b.clock.Now()+10_000))
			}
			a := activeRuns(servingOrder, fillerOrder)
			a[0].Percent, a[0].Measurement = 100, 5
			n.report(fillerOrder.Worker, a)
			return n
		}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			b.submit(t, "s", serving)
			b.submit(t, "f", filler)
			b.Place()
			batch := b.TakeBatch()
			orders := b.storeBatch(batch)
			must.SliceLen(t, 2, orders)
			servingOrder, fillerOrder := orders[0], orders[1]
			if servingOrder.Task.Job != "s" {
				servingOrder, fillerOrder = fillerOrder, servingOrder
			}
			for _, o := range orders {
				b.OrderAnswered(o, Done)
			}
			// The tail latency violates the objective long enough to pause the filler.
			for range 8 {
				a := activeRuns(servingOrder, fillerOrder)
				a[0].Percent, a[0].Measurement = 100, 200
				b.report(fillerOrder.Worker, a)
				b.clock.Advance(500)
				b.Sweep()
			}
			paces := b.paceOrders()
			must.SliceNotEmpty(t, paces)
			must.Eq(t, 0, paces[len(paces)-1])

			b = c.removeCause(t, b, batch.Records, servingOrder, fillerOrder)
			paces = nil
			for range 8 {
				b.clock.Advance(500)
				b.Sweep()
				paces = append(paces, b.paceOrders()...)
			}
			must.SliceNotEmpty(t, paces, must.Sprint("no order raised the pace of the filler again"))
			must.Eq(t, 100, paces[len(paces)-1])
		})
	}
}
