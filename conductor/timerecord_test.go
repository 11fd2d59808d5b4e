package conductor_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/scheduler"
)

// TestSuccessorCountsTimeRecord guards against a wait that is too short: a leader that can't renew its
// claim, but stores jobs, extends leases after its last claim has grown old.
func TestSuccessorCountsTimeRecord(t *testing.T) {
	for seed := range uint64(lastingSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, seed)
				h := s.leader()
				s.split(h, false)
				// The silence of the workers that the leader no longer reaches is stored.
				s.sleep(3000, 3000)
				s.claimless.Store(h)
				until := clock.System() + clock.Millis(1200+s.random.intN(600))
				for n := 1; clock.System() < until; n++ {
					go func() {
						// The result does not matter: the leader may end before it knows it.
						_ = s.conductor.Submit(t.Context(), scheduler.Spec{
							ID: fmt.Sprintf("%016x", n), Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 3, Slack: 2},
							Steps: []scheduler.Step{{Count: 1, CPU: 9000}},
						})
					}()
					s.sleep(50, 50)
				}
				time.Sleep(settleTime)
				must.SliceEmpty(t, s.pool.Violations(), must.Sprint(s.pool.Violations()))
			})
		})
	}
}
