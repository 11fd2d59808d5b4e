package conductor_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/depositor"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

// stalledLeader is a leader whose process can be stalled: its scheduler gets no turn, and answers of
// workers that arrive meanwhile are lost to time-outs.
type stalledLeader struct {
	*conductor.Conductor
	pool *imitator.Pool
	log  *imitator.KeyedLog
	// until is the end of the stall, in ms.
	until atomic.Int64
}

func newStalledLeader(t *testing.T, workers int, runTime clock.Millis, f func(conductor.Fleet) conductor.Fleet, opts ...conductor.Option) *stalledLeader {
	t.Helper()
	l := &stalledLeader{
		pool: imitator.NewPool(workers, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return runTime, scheduler.EndDone }, nil),
		log:  imitator.NewKeyedLog(4, nil),
	}
	l.pool.Register(l.log)
	fleet := l.pool.Fleet()
	poll, send := fleet.Poll, fleet.Send
	fleet.Poll = func(ctx context.Context, q conductor.PollRequest, epoch int64) (scheduler.Report, scheduler.Outcome) {
		began := clock.System()
		r, out := poll(ctx, q, epoch)
		if l.await(began, q.Timeout) {
			return scheduler.Report{}, scheduler.Unclear
		}
		return r, out
	}
	fleet.Send = func(ctx context.Context, o scheduler.Order, epoch int64) scheduler.Outcome {
		began := clock.System()
		out := send(ctx, o, epoch)
		if l.await(began, conductor.OrderTimeout) {
			return scheduler.Unclear
		}
		return out
	}
	m := conductor.Metrics{
		Order: func(clock.Millis, bool) {}, Poll: func(clock.Millis) {}, Append: func(clock.Millis) {},
		Totals: func(int, int, int, int) { l.await(0, 0) }, Delay: func(clock.Millis) {},
	}
	c, err := conductor.New(t.Context(), conductor.Term{Epoch: 1, PredecessorStopped: true, LastRenewal: clock.System},
		l.log.Client("a"), f(fleet), scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry,
		append([]conductor.Option{conductor.WithMetrics(m)}, opts...)...)
	must.NoError(t, err)
	l.Conductor = c
	t.Cleanup(c.Close)
	return l
}

// stall stalls the process for d.
func (l *stalledLeader) stall(d clock.Millis) { l.until.Store(int64(clock.System() + d)) }

// await waits for the end of the stall. It reports whether a call that began at a time was still
// unanswered after its timeout because of it.
func (l *stalledLeader) await(began, timeout clock.Millis) bool {
	left := clock.Millis(l.until.Load()) - clock.System()
	if left <= 0 {
		return false
	}
	time.Sleep(left.Duration())
	return clock.System()-began > timeout
}

func testJob(n, tasks int) scheduler.Spec {
	return scheduler.Spec{
		ID: fmt.Sprintf("%016x", n), Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 3, Slack: 2},
		Steps: []scheduler.Step{{Count: tasks, CPU: 1000}},
	}
}

// TestDelayedLeaderKeepsRuns guards against taking the leader's own delay for the silence of its
// workers: their runs have ended and their ends are listed, but the leader has not read that.
func TestDelayedLeaderKeepsRuns(t *testing.T) {
	for name, length := range map[string]clock.Millis{"less than the lease": 4000, "more than the lease": 9000, "twice the lease": 13_000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const tasks = 4
				l := newStalledLeader(t, 8, 1500, func(f conductor.Fleet) conductor.Fleet { return f })
				must.NoError(t, l.Submit(t.Context(), testJob(1, tasks)))
				time.Sleep(500 * time.Millisecond)
				l.stall(length)
				time.Sleep((length + 3*clock.Second).Duration())
				must.Eq(t, tasks, l.pool.Starts(), must.Sprint("tasks that were done were started again"))
				must.SliceEmpty(t, l.pool.Violations())
				phase, err := l.Phase(testJob(1, tasks).ID, "q", "")
				must.NoError(t, err)
				must.Eq(t, scheduler.Completed, phase)
			})
		})
	}
}

// TestDelayedLeaderGivesUpLostWorker checks that the runs of a worker that is lost while the leader is
// delayed start elsewhere, once a call after the delay has failed.
func TestDelayedLeaderGivesUpLostWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newStalledLeader(t, 2, 20_000, func(f conductor.Fleet) conductor.Fleet { return f })
		must.NoError(t, l.Submit(t.Context(), testJob(1, 1)))
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, 1, l.pool.Starts())
		l.stall(3000)
		l.pool.Kill(l.pool.Busy()[0])
		time.Sleep(12 * time.Second)
		must.Eq(t, 2, l.pool.Starts())
		must.SliceEmpty(t, l.pool.Violations())
	})
}

// TestStaleKnowledgeStartsNothing guards against starting tasks by what was known of draining workers
// and evacuations before the process was delayed.
func TestStaleKnowledgeStartsNothing(t *testing.T) {
	tests := map[string]struct {
		// registry and operator are whether these can be read.
		registry, operator bool
		want               int
	}{
		"all can be read":                  {registry: true, operator: true, want: 1},
		"registry can't be read":           {operator: true},
		"operator's records can't be read": {registry: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var failing atomic.Bool
				log := imitator.NewKeyedLog(4, func(_, call, topic string) imitator.StoreFault {
					if failing.Load() && !tt.registry && call == "read" && topic == "servers" {
						return imitator.StoreRefuses
					}
					return imitator.StoreFine
				})
				p := imitator.NewPool(2, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 1000, scheduler.EndDone }, nil)
				p.Register(log)
				operatorRead := func() clock.Millis {
					if failing.Load() && !tt.operator {
						return clock.System() - 4*clock.Second
					}
					return clock.System()
				}
				c, err := conductor.New(t.Context(), conductor.Term{Epoch: 1, PredecessorStopped: true, LastRenewal: clock.System},
					log.Client("a"), p.Fleet(), scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry, conductor.WithOperatorRead(operatorRead))
				must.NoError(t, err)
				defer c.Close()
				time.Sleep(time.Second)
				failing.Store(true)
				time.Sleep(2 * time.Second)
				must.NoError(t, c.Submit(t.Context(), testJob(1, 1)))
				time.Sleep(time.Second)
				must.Eq(t, tt.want, p.Starts())
				failing.Store(false)
				time.Sleep(time.Second)
				must.Eq(t, 1, p.Starts())
			})
		})
	}
}

// TestQueuedStartOnDrainingWorker guards against sending a start that has waited in the leader to a
// worker that has begun to drain meanwhile.
func TestQueuedStartOnDrainingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var held atomic.Bool
		held.Store(true)
		var started atomic.Int64
		l := newStalledLeader(t, 1, 1000, func(f conductor.Fleet) conductor.Fleet {
			send := f.Send
			f.Send = func(ctx context.Context, o scheduler.Order, epoch int64) scheduler.Outcome {
				if held.Load() {
					recorder.Sleep(ctx, 600)
				} else if o.Kind == scheduler.Start {
					started.Add(1)
				}
				return send(ctx, o, epoch)
			}
			return f
		})
		// Two orders occupy the worker, the third waits.
		must.NoError(t, l.Submit(t.Context(), testJob(1, 3)))
		time.Sleep(100 * time.Millisecond)
		held.Store(false)
		info, _ := l.pool.Info("w0")
		info.Draining = true
		l.log.Put("servers", imitator.EncodeEntry(info))
		time.Sleep(2 * time.Second)
		must.Eq(t, 0, started.Load())
	})
}

// TestDelayedReadOfDepositsIsStale guards against reporting a deposited job as unknown, or counting the
// jobs that wait without it, by a read of the deposits that the process has taken up seconds after it
// was answered.
func TestDelayedReadOfDepositsIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var delayed atomic.Bool
		log := imitator.NewKeyedLog(4, nil)
		p := imitator.NewPool(1, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 1000, scheduler.EndDone }, nil)
		p.Register(log)
		store := log.Client("a")
		read := store.Read
		store.Read = func(ctx context.Context, topic string, from int64, wait clock.Millis) ([]recorder.Item, int64, error) {
			items, end, err := read(ctx, topic, from, wait)
			if topic == depositor.Topic && delayed.Load() {
				time.Sleep(3 * time.Second)
			}
			return items, end, err
		}
		c, err := conductor.New(t.Context(), conductor.Term{Epoch: 1, PredecessorStopped: true, LastRenewal: clock.System},
			store, p.Fleet(), scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry)
		must.NoError(t, err)
		defer c.Close()
		time.Sleep(time.Second)
		delayed.Store(true)
		time.Sleep(1500 * time.Millisecond)
		must.NoError(t, depositor.New(log.Client("entry"), clock.System, clock.System).Deposit(t.Context(), testJob(7, 1)))
		for range 140 {
			time.Sleep(50 * time.Millisecond)
			if _, err := c.Phase(testJob(7, 1).ID, "q", ""); err != nil {
				must.ErrorIs(t, err, conductor.ErrDepositsStale)
				_, err = c.Pending("q")
				must.ErrorIs(t, err, conductor.ErrDepositsStale, must.Sprint("a job that may wait was not counted"))
			}
		}
		_, err = c.Phase(testJob(7, 1).ID, "q", "")
		must.NoError(t, err)
	})
}

// TestTooSlowAppendRefusesJobsForAWhile guards against accepting jobs that would not be stored while
// their callers wait, and against refusing them for longer than the refusal has told.
func TestTooSlowAppendRefusesJobsForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := imitator.NewKeyedLog(4, nil)
		p := imitator.NewPool(1, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 30_000, scheduler.EndDone }, nil)
		p.Register(log)
		store := log.Client("a")
		appendRecord := store.Append
		var delay atomic.Int64
		store.Append = func(ctx context.Context, topic string, at int64, items []recorder.Item) (int64, error) {
			time.Sleep(clock.Millis(delay.Load()).Duration())
			return appendRecord(context.WithoutCancel(ctx), topic, at, items)
		}
		c, err := conductor.New(t.Context(), conductor.Term{Epoch: 1, PredecessorStopped: true, LastRenewal: clock.System},
			store, p.Fleet(), scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry)
		must.NoError(t, err)
		defer c.Close()
		must.NoError(t, c.Submit(t.Context(), testJob(1, 1)))
		time.Sleep(time.Second)
		delay.Store(1400)
		go func() { must.NoError(t, c.Submit(t.Context(), testJob(2, 1))) }()
		time.Sleep(1200 * time.Millisecond)
		delay.Store(0)
		var overload conductor.OverloadError
		must.True(t, errors.As(c.Submit(t.Context(), testJob(3, 1)), &overload))
		must.Positive(t, overload.RetryAfter())
		must.NoError(t, c.Submit(t.Context(), testJob(2, 1)), must.Sprint("a job that is known was refused"))
		time.Sleep(overload.RetryAfter().Duration())
		must.NoError(t, c.Submit(t.Context(), testJob(3, 1)))
	})
}

// TestUnconfirmedLeaderDoesNotCount guards against counting the jobs that wait by what a leader knows
// that has not renewed its claim: another may have accepted jobs since.
func TestUnconfirmedLeaderDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := imitator.NewKeyedLog(4, nil)
		p := imitator.NewPool(1, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 1000, scheduler.EndDone }, nil)
		p.Register(log)
		renewed := clock.System()
		c, err := conductor.New(t.Context(), conductor.Term{Epoch: 1, PredecessorStopped: true, LastRenewal: func() clock.Millis { return renewed }},
			log.Client("a"), p.Fleet(), scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry)
		must.NoError(t, err)
		defer c.Close()
		n, err := c.Pending("q")
		must.NoError(t, err)
		must.Eq(t, 0, n)
		time.Sleep(2 * time.Second)
		_, err = c.Pending("q")
		must.ErrorIs(t, err, conductor.ErrUnconfirmed)
	})
}

// TestSubmissionOutlivesNoCaller guards against accepting a job whose caller has gone while the
// submission waited, and may have been told since that it was not accepted.
func TestSubmissionOutlivesNoCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newStalledLeader(t, 1, 1000, func(f conductor.Fleet) conductor.Fleet { return f })
		time.Sleep(time.Second)
		l.stall(3000)
		// The next sweep stalls the scheduler's goroutine.
		time.Sleep(200 * time.Millisecond)
		must.ErrorIs(t, l.Submit(t.Context(), testJob(1, 1)), conductor.ErrUnclear)
		time.Sleep(5 * time.Second)
		must.Eq(t, 0, l.pool.Starts())
		_, err := l.Phase(testJob(1, 1).ID, "q", "")
		must.ErrorIs(t, err, scheduler.ErrUnknown)
	})
}
