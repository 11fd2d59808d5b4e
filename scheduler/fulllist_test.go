package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

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
			p, err := b.Phase("job", "q")
			must.NoError(t, err)
			must.Eq(t, Completed, p)
		})
	}
}
