package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"
)

// paceOrders returns the paces that were ordered since the last call.
func (b *bench) paceOrders() []int {
	var paces []int
	for _, o := range b.Immediate() {
		if o.Kind == Pace {
			paces = append(paces, o.Percent)
		}
	}
	return paces
}

// TestPaceOfFillers checks that a filler does not stay slow once nothing asks for it.
func TestPaceOfFillers(t *testing.T) {
	serving := Step{Count: 1, CPU: 1000, LongRunning: true, Objective: 18, Image: "s"}
	filler := Step{Count: 1, CPU: 1000, Filler: true, Image: "f"}
	tests := map[string]struct {
		// during is played with the bench on which the filler was slowed; it returns the
		// one that leads after.
		during func(t *testing.T, b *bench, records []Record, lasting, filling Order) *bench
	}{
		"its neighbour ends": {during: func(t *testing.T, b *bench, _ []Record, lasting, filling Order) *bench {
			must.NoError(t, b.Cancel("s", func(error) {}))
			b.commit(b.Take())
			b.list(filling.Worker, activeOf(filling), endOf(1, lasting, EndStopped))
			return b
		}},
		"another leader takes over": {during: func(t *testing.T, b *bench, records []Record, lasting, filling Order) *bench {
			n := newBench(1)
			for _, r := range records {
				must.NoError(t, n.Load(r.Key, r.Value, b.clock.Now()+10_000))
			}
			a := activeOf(lasting, filling)
			a[0].Percent, a[0].Gauge = 100, 5
			n.list(filling.Worker, a)
			return n
		}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(1)
			b.submit(t, "s", serving)
			b.submit(t, "f", filler)
			b.Place()
			batch := b.Take()
			orders := b.commit(batch)
			must.SliceLen(t, 2, orders)
			lasting, filling := orders[0], orders[1]
			if lasting.Task.Job != "s" {
				lasting, filling = filling, lasting
			}
			for _, o := range orders {
				b.Answered(o, Done)
			}
			// The tail is far over the objective for so long that the filler stands still.
			for range 8 {
				a := activeOf(lasting, filling)
				a[0].Percent, a[0].Gauge = 100, 200
				b.list(filling.Worker, a)
				b.clock.Advance(500)
				b.Sweep()
			}
			paces := b.paceOrders()
			must.SliceNotEmpty(t, paces)
			must.Eq(t, 0, paces[len(paces)-1])

			b = c.during(t, b, batch.Records, lasting, filling)
			paces = nil
			for range 8 {
				b.clock.Advance(500)
				b.Sweep()
				paces = append(paces, b.paceOrders()...)
			}
			must.SliceNotEmpty(t, paces, must.Sprint("nothing told the worker to let the filler go on"))
			must.Eq(t, 100, paces[len(paces)-1])
		})
	}
}
