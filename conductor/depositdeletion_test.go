package conductor_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/depositor"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

// TestDepositOutlivesNoRecord guards against a job that runs again because the record of its end was
// dropped while a deposit of it was left in the store.
func TestDepositOutlivesNoRecord(t *testing.T) {
	const deletion, read = "append", "read"
	tests := map[string]struct {
		// fault is that of the leader's calls on the topic of the deposits until the takeover, n the
		// number of such calls before, of the deletions or of the others.
		fault func(call string, n int) imitator.StoreFault
		// reread is whether the history of the topic is dropped half a minute before the takeover, so
		// that the same leader loads the deposits again.
		reread bool
	}{
		"one deletion without an answer": {fault: func(call string, n int) imitator.StoreFault {
			if call == deletion && n == 0 {
				return imitator.StoreSilent
			}
			return imitator.StoreFine
		}},
		"no deletion answered": {fault: func(call string, _ int) imitator.StoreFault {
			if call == deletion {
				return imitator.StoreSilent
			}
			return imitator.StoreFine
		}},
		"all deletions refused": {fault: func(call string, _ int) imitator.StoreFault {
			if call == deletion {
				return imitator.StoreRefuses
			}
			return imitator.StoreFine
		}},
		"all deletions refused, topic loaded again": {reread: true, fault: func(call string, _ int) imitator.StoreFault {
			if call == deletion {
				return imitator.StoreRefuses
			}
			return imitator.StoreFine
		}},
		"deposits can't be read": {fault: func(call string, _ int) imitator.StoreFault {
			if call == read {
				return imitator.StoreRefuses
			}
			return imitator.StoreFine
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const jobs = 4
				var faulty, trimmed atomic.Bool
				var deletions, others atomic.Int64
				l := imitator.NewKeyedLog(4, func(client, call, topic string) imitator.StoreFault {
					if client != "a" || topic != depositor.Topic || !faulty.Load() {
						return imitator.StoreFine
					}
					calls := &others
					if call == deletion {
						calls = &deletions
					}
					return tc.fault(call, int(calls.Add(1))-1)
				})
				store := l.Client("a")
				storeRead := store.Read
				store.Read = func(ctx context.Context, topic string, from int64, wait clock.Millis) ([]recorder.Item, int64, error) {
					if topic == depositor.Topic && trimmed.CompareAndSwap(true, false) {
						return nil, 0, recorder.ErrTrimmed
					}
					return storeRead(ctx, topic, from, wait)
				}
				p := imitator.NewPool(2, 8, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 300, scheduler.EndDone }, nil)
				p.Register(l)
				a := startProcess("a", "a-life", clock.System, store, p.Fleet(), nil)
				defer a.elector.Close()
				leader := awaitLeader(a)
				time.Sleep(time.Second)
				faulty.Store(true)
				d := depositor.New(l.Client("entry"), clock.System, clock.System)
				for i := range jobs {
					spec := testJob(i, 1)
					must.NoError(t, d.Deposit(t.Context(), spec))
					// The caller sends the job again, now to the leader.
					must.NoError(t, leader.Submit(t.Context(), spec))
				}
				time.Sleep(150 * time.Second)
				must.Eq(t, jobs, p.Starts())
				trimmed.Store(tc.reread)
				time.Sleep(30 * time.Second)
				faulty.Store(false)
				b := startDaemon("b", l, p, nil)
				defer b.elector.Close()
				a.elector.Close()
				awaitLeader(b)
				time.Sleep(5 * time.Second)
				must.Eq(t, jobs, p.Starts(), must.Sprint("jobs that were done run again"))
				must.SliceEmpty(t, p.Violations())
				time.Sleep(150 * time.Second)
				page, err := l.Client("entry").ReadNewest(t.Context(), depositor.Topic, "")
				must.NoError(t, err)
				must.SliceEmpty(t, page.Items, must.Sprint("deposits were not deleted"))
				page, err = l.Client("entry").ReadNewest(t.Context(), "jobs", "job/")
				must.NoError(t, err)
				for _, i := range page.Items {
					for n := range jobs {
						must.NotEq(t, fmt.Sprintf("job/%016x", n), i.Key, must.Sprint("the record was not dropped"))
					}
				}
			})
		})
	}
}
