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
	"galenawharf.example/galenawharf/depositor"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/scheduler"
)

// TestDepositedJobsRun deposits jobs before and during a term, each twice, and submits
// one of them as well. No task may run twice, and no deposit may remain in the store.
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
		c := awaitLeader(a)
		// A cancellation right after the takeover must not be answered with ErrUnknown.
		must.NoError(t, c.Cancel(t.Context(), spec(0).ID, ""))
		for i := jobs / 2; i < jobs; i++ {
			must.NoError(t, d.Deposit(t.Context(), spec(i)))
		}
		must.NoError(t, c.Submit(t.Context(), spec(jobs-1)))
		time.Sleep(20 * time.Second)
		for i := range jobs {
			phase, err := c.Phase(spec(i).ID, "q", "")
			must.NoError(t, err)
			want := scheduler.Completed
			if i == 0 {
				want = scheduler.Cancelled
			}
			must.Eq(t, want, phase)
		}
		must.SliceEmpty(t, p.Violations())
		page, err := store.ReadNewest(t.Context(), depositor.Topic, "")
		must.NoError(t, err)
		must.SliceEmpty(t, page.Items, must.Sprint("deposits were not deleted"))
	})
}

// TestPhaseOfDepositedJobDuringStoreFaults checks that a deposited job is never reported
// as unknown while the leader can't store its own records or can't read the deposits.
func TestPhaseOfDepositedJobDuringStoreFaults(t *testing.T) {
	tests := map[string]struct {
		call, topic string
		want        error
	}{
		"appends fail":           {call: "append", topic: "jobs"},
		"deposits can't be read": {call: "read", topic: depositor.Topic, want: conductor.ErrDepositsStale},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var failing atomic.Bool
				l := imitator.NewKeyedLog(4, func(client, call, topic string) imitator.StoreFault {
					if failing.Load() && client == "a" && call == c.call && topic == c.topic {
						return imitator.StoreSilent
					}
					return imitator.StoreFine
				})
				p := imitator.NewPool(1, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 300, scheduler.EndDone }, nil)
				p.Register(l)
				a := startDaemon("a", l, p, nil)
				defer a.elector.Close()
				leader := awaitLeader(a)
				failing.Store(true)
				time.Sleep(2 * time.Second)
				spec := scheduler.Spec{ID: fmt.Sprintf("%016x", 1), Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 3}, Steps: []scheduler.Step{{Count: 1, CPU: 1000}}}
				must.NoError(t, depositor.New(l.Client("entry"), clock.System, clock.System).Deposit(t.Context(), spec))
				for range 30 {
					time.Sleep(100 * time.Millisecond)
					_, err := leader.Phase(spec.ID, "q", "")
					if err != nil {
						must.ErrorIs(t, err, c.want)
					}
					must.NotEq(t, scheduler.ErrUnknown, err)
				}
				failing.Store(false)
				time.Sleep(10 * time.Second)
				phase, err := leader.Phase(spec.ID, "q", "")
				must.NoError(t, err)
				must.Eq(t, scheduler.Completed, phase)
			})
		})
	}
}
