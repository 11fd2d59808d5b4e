package conductor_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/depositor"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/scheduler"
)

// TestCancelBeforeDepositIsRead guards against a job that starts although it was cancelled, and its caller
// was told that there is no such job, because the leader did not know its deposit yet.
func TestCancelBeforeDepositIsRead(t *testing.T) {
	tests := map[string]struct {
		// silent is how long the leader's reads of the deposits have no answer, late whether the
		// deposit is without an answer and stored 2 s later.
		silent time.Duration
		late   bool
		// takeover is whether another leader follows before the deposit is read.
		takeover bool
		// resubmitted is whether the caller's attempt also reaches the leader after all.
		resubmitted bool
	}{
		"deposit is read late":              {silent: 1200 * time.Millisecond},
		"deposit is stored late":            {late: true},
		"stored late, next leader":          {late: true, takeover: true},
		"submission arrives after all":      {resubmitted: true, silent: 1200 * time.Millisecond},
		"arrives after all at the next one": {resubmitted: true, late: true, takeover: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var silent, late atomic.Bool
				l := imitator.NewKeyedLog(4, func(client, call, topic string) imitator.StoreFault {
					switch {
					case client == "a" && call == "read" && topic == depositor.Topic && silent.Load():
						return imitator.StoreSilent
					case client == "entry" && call == "append" && late.Load():
						return imitator.StoreLate
					}
					return imitator.StoreFine
				})
				p := imitator.NewPool(2, 8, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 300, scheduler.EndDone }, nil)
				p.Register(l)
				a := startDaemon("a", l, p, nil)
				defer a.elector.Close()
				leader := awaitLeader(a)
				time.Sleep(2050 * time.Millisecond)
				silent.Store(tc.silent > 0)
				// The read that is under way ends within its wait.
				time.Sleep(650 * time.Millisecond)
				late.Store(tc.late)
				spec := testJob(1, 2)
				err := depositor.New(l.Client("entry"), clock.System, clock.System).Deposit(t.Context(), spec)
				must.Eq(t, tc.late, err != nil)
				late.Store(false)
				must.ErrorIs(t, leader.Cancel(t.Context(), spec.ID, ""), scheduler.ErrUnknown)
				_, err = leader.Phase(spec.ID, "q", "")
				must.ErrorIs(t, err, scheduler.ErrUnknown)
				if tc.takeover {
					b := startDaemon("b", l, p, nil)
					defer b.elector.Close()
					a.elector.Close()
					leader = awaitLeader(b)
				}
				time.Sleep(tc.silent)
				silent.Store(false)
				if tc.resubmitted {
					must.NoError(t, leader.Submit(t.Context(), spec))
				}
				time.Sleep(5 * time.Second)
				must.Zero(t, p.Starts(), must.Sprint("a job that was cancelled has started"))
				phase, err := leader.Phase(spec.ID, "q", "")
				must.NoError(t, err)
				must.Eq(t, scheduler.Cancelled, phase)
				time.Sleep(150 * time.Second)
				_, err = leader.Phase(spec.ID, "q", "")
				must.ErrorIs(t, err, scheduler.ErrUnknown)
				for _, topic := range []string{depositor.Topic, "jobs"} {
					page, err := l.Client("entry").ReadNewest(t.Context(), topic, "")
					must.NoError(t, err)
					for _, i := range page.Items {
						must.NotEq(t, spec.ID, i.Key)
						must.NotEq(t, "job/"+spec.ID, i.Key)
					}
				}
			})
		})
	}
}
