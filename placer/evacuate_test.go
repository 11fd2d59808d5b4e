package placer

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

func TestEvacuate(t *testing.T) {
	const since = clock.Hour
	var residents []Task
	for i := range 100 {
		residents = append(residents, serviceOf("s"+strconv.Itoa(i), sizeGiB(1, 1, 0)))
	}
	residents = append(residents,
		batchOf("long", sizeGiB(1, 1, 0), WithStarted(since-clock.Minute), WithRunTime(clock.Hour)),
		batchOf("short", sizeGiB(1, 1, 0), WithStarted(since-clock.Minute), WithRunTime(5*clock.Minute)),
	)
	workers := []Worker{workerOf("x", "r", sizeGiB(200, 200, 0), residents...)}
	tests := map[string]struct {
		after     clock.Millis
		low, high int
		batch     []string
	}{
		"at the start":  {after: 0, low: 0, high: 5},
		"half the span": {after: serviceStopSpan / 2, low: 30, high: 70},
		"all services":  {after: serviceStopSpan, low: 100, high: 100},
		"long batch":    {after: 2 * serviceStopSpan, low: 100, high: 100, batch: []string{"long"}},
		"all batch":     {after: batchStopDelay, low: 100, high: 100, batch: []string{"long", "short"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			services, batch := 0, []string(nil)
			for _, id := range newPlacer(t).Evacuate(since+tc.after, since, workers) {
				if id[0] == 's' && id != "short" {
					services++
				} else {
					batch = append(batch, id)
				}
			}
			must.Between(t, tc.low, services, tc.high)
			must.Eq(t, tc.batch, batch)
		})
	}
}
