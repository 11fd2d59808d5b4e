package conductor_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/depositor"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/scheduler"
)

// TestDepositedJobsRun deposits jobs while nobody leads and while somebody does, twice
// each, and submits one of them as well.
func TestDepositedJobsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 6
		l := imitator.NewKeyedLog(4, nil)
		p := imitator.NewPool(2, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 300, scheduler.EndDone }, nil)
		p.Register(l)
		store := l.Client("entry")
		d := depositor.New(store, clock.System, clock.System)
		spec := func(i int) scheduler.Spec {
			return scheduler.Spec{
				ID: fmt.Sprintf("%016x", i), Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 3, Slack: 2},
				Steps: []scheduler.Step{{Count: 2, CPU: 1000}},
			}
		}
		for i := range jobs / 2 {
			must.NoError(t, d.Deposit(t.Context(), spec(i)))
			must.NoError(t, d.Deposit(t.Context(), spec(i)))
		}
		a := startDaemon("a", l, p, nil)
		defer a.elector.Close()
		c := leader(a)
		// Whoever cancels right after the takeover is not told that there is no such job.
		must.NoError(t, c.Cancel(t.Context(), spec(0).ID))
		for i := jobs / 2; i < jobs; i++ {
			must.NoError(t, d.Deposit(t.Context(), spec(i)))
		}
		must.NoError(t, c.Submit(t.Context(), spec(jobs-1)))
		time.Sleep(20 * time.Second)
		for i := range jobs {
			phase, err := c.Phase(spec(i).ID, "q")
			must.NoError(t, err)
			want := scheduler.Completed
			if i == 0 {
				want = scheduler.Cancelled
			}
			must.Eq(t, want, phase)
		}
		must.SliceEmpty(t, p.Faults())
		page, err := store.Newest(t.Context(), depositor.Topic, "")
		must.NoError(t, err)
		must.SliceEmpty(t, page.Items, must.Sprint("deposits are left"))
	})
}
