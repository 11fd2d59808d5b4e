package conductor_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/scheduler"
	"galenawharf.example/galenawharf/sizer"
)

// TestCapsHoldOverTakeovers guards against leaders that start more than the cap of a tenant, because they
// don't count what their predecessors, orders without an answer, late orders or cancelled jobs may have
// running.
func TestCapsHoldOverTakeovers(t *testing.T) {
	const workers, terms, maxRunning = 6, 5, 7
	tenants := []scheduler.Tenant{{Name: "a", Weight: 1, Cap: sizer.New(maxRunning*1000, 0, 0)}, {Name: "b", Weight: 1, Cap: sizer.New(0, maxRunning*100*sizer.MiB, 0)}}
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &lockedRand{random: rand.New(rand.NewPCG(seed, 1))}
				l := imitator.NewKeyedLog(4, nil)
				p := imitator.NewPool(workers, 20, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) {
					return clock.Millis(200 + r.intN(1500)), scheduler.EndDone
				}, func(scheduler.Order) imitator.OrderFault {
					return []imitator.OrderFault{imitator.OrderLost, imitator.OrderUnanswered, imitator.OrderLate, imitator.OrderFine}[min(3, r.intN(40))]
				})
				p.Register(l)
				owner, peak := map[string]string{}, map[string]int{}
				for term := range terms {
					s := scheduler.New(scheduler.WithLease(testLease))
					s.SetTenants(tenants)
					c, err := conductor.New(t.Context(), conductor.Term{Epoch: int64(term + 1), PredecessorStopped: true, LastRenewal: clock.System}, l.Client("h"), p.Fleet(), s, testLease, imitator.DecodeEntry)
					must.NoError(t, err)
					for i := range 8 {
						spec := testJob(10*term+i, 12)
						spec.Steps[0].Memory, spec.Tenant = 100, tenants[i%2].Name
						owner[spec.ID] = spec.Tenant
						must.NoError(t, c.Submit(t.Context(), spec))
					}
					for i := range 1500 + r.intN(2000) {
						if i == 400 {
							_ = c.Cancel(t.Context(), testJob(10*term+r.intN(8), 1).ID, "")
						}
						for _, n := range tenants {
							running := p.Running(func(task scheduler.TaskName) bool { return owner[task.Job] == n.Name })
							must.LessEq(t, maxRunning, running, must.Sprint("tenant "+n.Name))
							peak[n.Name] = max(peak[n.Name], running)
						}
						time.Sleep(time.Millisecond)
					}
					c.Close()
				}
				must.SliceEmpty(t, p.Violations(), must.Sprint(strings.Join(p.Violations(), "\n")))
				must.Eq(t, map[string]int{"a": maxRunning, "b": maxRunning}, peak, must.Sprint("the caps were not reached"))
			})
		})
	}
}
