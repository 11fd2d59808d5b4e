package recorder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/recorder"
)

// TestLastSuccessBeforeRival guards against a deposed leader that goes on granting leases.
func TestLastSuccessBeforeRival(t *testing.T) {
	tests := map[string]struct {
		// faults are the faults of the writer's calls to the store, in order.
		faults []imitator.StoreFault
		// rivalAt is when another writer appends, after the start.
		rivalAt time.Duration
	}{
		"answer lost":                  {faults: []imitator.StoreFault{imitator.StoreLosesAnswer}, rivalAt: 200 * time.Millisecond},
		"answer lost, store cut off":   {faults: []imitator.StoreFault{imitator.StoreLosesAnswer, imitator.StoreSilent, imitator.StoreSilent, imitator.StoreSilent}, rivalAt: time.Second},
		"answer lost, store refuses":   {faults: []imitator.StoreFault{imitator.StoreLosesAnswer, imitator.StoreRefuses, imitator.StoreRefuses}, rivalAt: 410 * time.Millisecond},
		"answer lost, read unanswered": {faults: []imitator.StoreFault{imitator.StoreLosesAnswer, imitator.StoreFine, imitator.StoreSilent}, rivalAt: time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				faults := tc.faults
				l := imitator.NewKeyedLog(4, func(string, string, string) imitator.StoreFault {
					if len(faults) == 0 {
						return imitator.StoreFine
					}
					f := faults[0]
					faults = faults[1:]
					return f
				})
				w := recorder.NewWriter(l.Client("c"), "t", 0, func(i recorder.Item) bool { return i.Key == "mine" })
				rivalAt := clock.System() + clock.FromDuration(tc.rivalAt)
				go func() {
					time.Sleep(tc.rivalAt)
					l.Put("t", recorder.Item{Key: "rival", Value: []byte("2")})
				}()
				must.NoError(t, w.Append(t.Context(), []recorder.Item{{Key: "mine", Value: []byte("1")}}))
				must.Less(t, rivalAt, w.LastSuccess(), must.Sprint("success after another writer has taken over"))
			})
		})
	}
}
