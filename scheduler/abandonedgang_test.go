package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestAbandonedRunOfGangCounts guards against a gang that runs again although an abandoned run of it has ended
// done: one such end stands for all members.
func TestAbandonedRunOfGangCounts(t *testing.T) {
	tests := map[string]struct {
		lasts bool
		how   Ending
		want  Phase
	}{
		"done":        {how: EndDone, want: Completed},
		"failed":      {how: EndFailed, want: Running},
		"done, lasts": {how: EndDone, lasts: true, want: Running},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(4)
			b.submit(t, "job", Step{Count: 2, CPU: 6000, Gang: true, LongRunning: tc.lasts})
			first := b.placeAndStore()
			must.SliceLen(t, 2, first)
			b.answerOrders(t, first)
			for _, o := range first {
				b.report(o.Worker, activeRuns(o))
			}
			// The first worker goes silent until its lease is over.
			for range (defaultLease + clock.Second) / 100 {
				b.clock.Advance(100)
				b.CallFailed(first[0].Worker, 1, false)
				b.Lease(first[1].Worker, 1)
				b.report(first[1].Worker, activeRuns(first[1]))
				b.Sweep()
			}
			var again []Order
			for range 20 {
				for _, o := range append(b.placeAndStore(), b.TakeImmediateOrders()...) {
					if o.Kind == Start {
						again = append(again, o)
					}
					b.answerOrders(t, []Order{o})
				}
				b.clock.Advance(100)
				b.report(first[1].Worker, nil)
			}
			must.SliceLen(t, 2, again)
			for _, o := range again {
				b.report(o.Worker, activeRuns(o))
			}
			b.report(first[0].Worker, nil, endedRun(1, first[0], tc.how))
			stops := b.TakeImmediateOrders()
			b.storeBatch(b.TakeBatch())
			phase, err := b.Phase("job", "q", "")
			must.NoError(t, err)
			must.Eq(t, tc.want, phase)
			if tc.want == Completed {
				must.SliceLen(t, 2, stops)
				must.Eq(t, Stop, stops[0].Kind)
			}
			must.SliceEmpty(t, b.placeAndStore())
		})
	}
}
