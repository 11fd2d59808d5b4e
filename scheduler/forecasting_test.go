package scheduler

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestForecastIsLearned guards against tasks that are declared too short, and so would start beside a
// reservation and delay it. Load: one worker, a large task that waits, and a small one that fits.
func TestForecastIsLearned(t *testing.T) {
	tests := map[string]struct {
		learned int
		want    []string
	}{
		"too few runs": {learned: 10, want: []string{"small", "large"}},
		"learned":      {learned: 40, want: []string{"large", "small"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var starts []string
			f := newBusyFleet(1, func(o Order) clock.Millis {
				starts = append(starts, o.Task.Job)
				return clock.Second
			})
			f.submit(t, "learned", Step{Count: tt.learned, CPU: 1000, Memory: 100, Estimate: 100})
			f.play(8 * clock.Second)
			f.submit(t, "base", Step{Count: 2, CPU: 3000, Memory: 100, Estimate: 100})
			f.play(100)
			starts = nil
			f.submit(t, "large", Step{Count: 1, CPU: 7000, Memory: 100, Estimate: 100})
			f.play(400)
			f.submit(t, "small", Step{Count: 1, CPU: 2000, Memory: 100, Estimate: 100})
			f.play(2 * clock.Second)
			must.Eq(t, tt.want, slices.Compact(starts))
		})
	}
}
