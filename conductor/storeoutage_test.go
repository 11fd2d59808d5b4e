package conductor_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestRunsOutlastStoreOutage guards against runs that lapse in an outage of the store that is shorter
// than the lease and the time for which a leader extends leases without it.
func TestRunsOutlastStoreOutage(t *testing.T) {
	for _, length := range []clock.Millis{4500, 4800, 5000, 5200, 5500, 6000, 6600} {
		lapsed := 0
		for seed := range uint64(lastingSeeds) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, seed)
				for _, p := range s.processes {
					p.cutOff.Store(true)
				}
				time.Sleep(length.Duration())
				for _, p := range s.processes {
					p.cutOff.Store(false)
				}
				time.Sleep(settleTime)
				must.SliceEmpty(t, s.pool.Violations())
				lapsed += len(s.pool.Gaps(lastingJob))
			})
		}
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			t.Logf("%d of %d runs have lapsed", lapsed, lastingSeeds*siteTasks)
			must.Zero(t, lapsed)
		})
	}
}
