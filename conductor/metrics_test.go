package conductor_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/scheduler"
)

// TestTenantsReportedEverySecond guards against states of tenants that are never reported, or computed
// at each sweep.
func TestTenantsReportedEverySecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := imitator.NewKeyedLog(4, nil)
		p := imitator.NewPool(1, 1, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 500, scheduler.EndDone }, nil)
		p.Register(log)
		var reports atomic.Int64
		m := conductor.Metrics{
			Order: func(clock.Millis, bool) {}, Poll: func(clock.Millis) {}, Append: func(clock.Millis) {}, Delay: func(clock.Millis) {},
			Totals:  func(int, int, int, int) {},
			Tenants: func([]scheduler.TenantState) { reports.Add(1) },
		}
		c, err := conductor.New(t.Context(), conductor.Term{Epoch: 1, PredecessorStopped: true, LastRenewal: clock.System},
			log.Client("a"), p.Fleet(), scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry, conductor.WithMetrics(m))
		must.NoError(t, err)
		defer c.Close()
		time.Sleep(time.Minute)
		must.Between(t, 54, reports.Load(), 61)
	})
}
