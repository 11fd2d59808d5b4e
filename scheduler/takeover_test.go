package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestTakeoverWithLaggingRegistry loads records of runs while the registry still has the
// entry of the worker's former process, or already that of its next one.
func TestTakeoverWithLaggingRegistry(t *testing.T) {
	tests := map[string]struct {
		registry, record int64
		wantPlaced       bool
	}{
		"same process":            {registry: 2, record: 2},
		"registry lags":           {registry: 1, record: 2},
		"worker restarted since":  {registry: 2, record: 1, wantPlaced: true},
		"worker not in registry":  {record: 2},
		"registry without starts": {registry: 0, record: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			former := newHarness(0)
			w := testWorker(0)
			w.Born = tt.record
			former.UpdateWorker(w)
			former.submit(t, "job", Step{Count: 1, CPU: 100})
			former.Place()
			records := former.TakeBatch().Records
			b := newHarness(0)
			b.UpdateWorker(testWorker(1))
			if tt.registry != 0 || tt.record == 0 {
				w.Born = tt.registry
				b.UpdateWorker(w)
			}
			b.Inherit(b.clock.Now() + defaultLease)
			for _, r := range records {
				must.NoError(t, b.Load(r.Key, r.Value, b.clock.Now()+defaultLease))
			}
			b.Report(Report{Worker: "w1", Born: 1, Sent: b.clock.Now()})
			placed := len(b.placeAndStore()) > 0
			must.Eq(t, tt.wantPlaced, placed, must.Sprint("the task starts again"))
		})
	}
}
