package conductor_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/scheduler"
)

// TestLateWorkersDoNotHoldUpStarts plays a load of wide jobs on workers of which a share leaves orders
// unanswered for a while, and checks that callers get the jobs that the other workers have room for:
// what is unanswered there must not count as this leader's own slowness.
func TestLateWorkersDoNotHoldUpStarts(t *testing.T) {
	const workers, slots, jobs, tasks = 60, 8, 40, 20
	for name, late := range map[string]int{"none is late": 0, "a tenth is late": 6, "a third is late": 20, "two thirds are late": 40} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				isLate := map[string]bool{}
				for i := range late {
					isLate[fmt.Sprintf("w%d", i)] = true
				}
				log := imitator.NewKeyedLog(4, nil)
				p := imitator.NewPool(workers, slots, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 400, scheduler.EndDone }, func(o scheduler.Order) imitator.OrderFault {
					if isLate[o.Worker] {
						return imitator.OrderLate
					}
					return imitator.OrderFine
				})
				p.Register(log)
				c, err := conductor.New(t.Context(), conductor.Term{Epoch: 1, PredecessorStopped: true, LastRenewal: clock.System},
					log.Client("a"), p.Fleet(), scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry)
				must.NoError(t, err)
				defer c.Close()
				for i := range jobs {
					must.NoError(t, c.Submit(t.Context(), testJob(i, tasks)))
					time.Sleep(100 * time.Millisecond)
				}
				// The workers in time could start each task within a fifth of this time.
				time.Sleep(4 * time.Second)
				must.SliceEmpty(t, p.Violations())
				must.GreaterEq(t, jobs*tasks*2/3, p.Starts())
			})
		})
	}
}
