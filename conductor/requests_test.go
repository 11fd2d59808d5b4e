package conductor_test

import (
	"fmt"
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

// TestSubmitWhileStoreUnavailable checks that callers get an early answer while the store
// does not answer: the first submission, whose record was sent, has an unknown outcome,
// and later ones are rejected at once and never run.
func TestSubmitWhileStoreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var failing atomic.Bool
		l := imitator.NewKeyedLog(4, func(_, call, topic string) imitator.StoreFault {
			if failing.Load() && call == "append" && topic == "jobs" {
				return imitator.StoreSilent
			}
			return imitator.StoreFine
		})
		p := imitator.NewPool(1, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 100, scheduler.EndDone }, nil)
		p.Register(l)
		d := startDaemon("a", l, p, nil)
		defer d.elector.Close()
		c := awaitLeader(d)
		failing.Store(true)
		spec := func(i int) scheduler.Spec {
			return scheduler.Spec{ID: fmt.Sprintf("%016x", i), Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 1}, Steps: []scheduler.Step{{Count: 1}}}
		}
		begin := time.Now()
		must.ErrorIs(t, c.Submit(t.Context(), spec(0)), conductor.ErrUnclear)
		must.LessEq(t, 1100*time.Millisecond, time.Since(begin))
		begin = time.Now()
		must.ErrorIs(t, c.Submit(t.Context(), spec(1)), conductor.ErrStoreUnavailable)
		must.LessEq(t, 100*time.Millisecond, time.Since(begin))
		failing.Store(false)
		time.Sleep(5 * time.Second)
		_, err := c.Phase(fmt.Sprintf("%016x", 1), "q", "")
		must.ErrorIs(t, err, scheduler.ErrUnknown)
		phase, err := c.Phase(fmt.Sprintf("%016x", 0), "q", "")
		must.NoError(t, err)
		must.Eq(t, scheduler.Completed, phase)
	})
}
