package conductor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/adviser"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/elector"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/runner"
	"galenawharf.example/galenawharf/scheduler"
)

// daemon takes part in the election and runs a conductor while it leads.
type daemon struct {
	elector *elector.Elector
	leading chan *conductor.Conductor
}

// lockedRand is a random source for several goroutines.
type lockedRand struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (d *lockedRand) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

func (d *lockedRand) perm(n int) []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Perm(n)
}

const (
	testLease = 6 * clock.Second
	// maxSubmitTries bounds the errors for one job. A leader whose appends are slow refuses jobs
	// for seconds, ten tries each.
	maxSubmitTries = 100
)

func startDaemon(name string, l *imitator.KeyedLog, p *imitator.Pool, y *imitator.Policy) *daemon {
	return startProcess(name, name+"-life", clock.System, l.Client(name), p.Fleet(), y)
}

// startProcess starts a daemon as one process of a host, with a monotonic clock of its own.
func startProcess(host, instance string, now func() clock.Millis, s recorder.Store, f conductor.Fleet, y *imitator.Policy) *daemon {
	d := &daemon{leading: make(chan *conductor.Conductor, 8)}
	d.elector = elector.New(s, host, host, instance, func(ctx context.Context, t elector.Term) {
		c, err := conductor.New(ctx, runner.TermOf(t), s, f, scheduler.New(scheduler.WithLease(testLease), scheduler.WithClocks(now, clock.System)), testLease, imitator.DecodeEntry, conductor.WithClock(now))
		if err != nil {
			return
		}
		d.leading <- c
		if y != nil {
			a := adviser.New(adviser.Funcs{Enabled: func() bool { return true }, Ask: y.Ask, Next: exchangeVerdicts(c)})
			defer a.Close()
		}
		c.Wait()
	}, elector.WithClock(now))
	return d
}

// exchangeVerdicts returns a function that delivers a verdict to the conductor and
// returns the next consultation.
func exchangeVerdicts(c *conductor.Conductor) func(context.Context, *scheduler.Verdict) (*scheduler.Consultation, error) {
	return func(ctx context.Context, v *scheduler.Verdict) (*scheduler.Consultation, error) {
		if v != nil {
			c.Advise(*v)
		}
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		q, ok := c.Consult(ctx)
		if !ok {
			return nil, nil
		}
		return &q, nil
	}
}

// awaitLeader returns the conductor of the next daemon that becomes the leader.
func awaitLeader(ds ...*daemon) *conductor.Conductor {
	for {
		for _, d := range ds {
			select {
			case c := <-d.leading:
				return c
			default:
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func submitJobs(t *testing.T, c *conductor.Conductor, jobs int, advice *scheduler.Advice, ds ...*daemon) *conductor.Conductor {
	t.Helper()
	for i := range jobs {
		spec := scheduler.Spec{
			ID: fmt.Sprintf("%016x", i), Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 3, Slack: 2, Advice: advice},
			Steps: []scheduler.Step{{Count: 3, CPU: 1000}, {Count: 2, CPU: 1000, After: []int{0}}},
		}
		for tries := 0; ; tries++ {
			must.Less(t, maxSubmitTries, tries, must.Sprint("a leader refuses the job again and again"))
			// Callers submit the same job again if they don't know the outcome.
			err := c.Submit(t.Context(), spec)
			if err == nil {
				break
			}
			if errors.Is(err, conductor.ErrTermEnded) {
				c = awaitLeader(ds...)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return c
}

func allCompleted(c *conductor.Conductor, jobs int) bool {
	for i := range jobs {
		if p, err := c.Phase(fmt.Sprintf("%016x", i), "q", ""); err != nil || p != scheduler.Completed {
			return false
		}
	}
	return true
}

// TestJobsCompleteUnderFaults injects faults into two daemons, a store and workers, and
// checks the invariants: every accepted job completes and no task runs twice at the same
// time.
func TestJobsCompleteUnderFaults(t *testing.T) {
	const jobs = 12
	advice := &scheduler.Advice{Base: 60, PerWorker: 2, Validity: 3 * clock.Second}
	tests := map[string]struct {
		store func(r *lockedRand) func(client, call, topic string) imitator.StoreFault
		order func(r *lockedRand) func(scheduler.Order) imitator.OrderFault
		// advice is set if the queue has a policy.
		advice *scheduler.Advice
		// during injects a fault after the jobs are accepted and returns the leader after
		// it.
		during func(p *imitator.Pool, l *imitator.KeyedLog, a, b *daemon, c *conductor.Conductor) *conductor.Conductor
	}{
		"no faults": {},
		"answers of the store are lost": {store: func(r *lockedRand) func(string, string, string) imitator.StoreFault {
			return func(_, call, _ string) imitator.StoreFault {
				if call == "append" && r.intN(5) == 0 {
					return imitator.StoreLosesAnswer
				}
				return imitator.StoreFine
			}
		}},
		"appends take effect late": {store: func(r *lockedRand) func(string, string, string) imitator.StoreFault {
			return func(_, call, topic string) imitator.StoreFault {
				if call == "append" && topic == "jobs" && r.intN(8) == 0 {
					return imitator.StoreLate
				}
				return imitator.StoreFine
			}
		}},
		"orders are not answered": {order: func(r *lockedRand) func(scheduler.Order) imitator.OrderFault {
			// One of: no fault, a lost order, a lost answer.
			return func(scheduler.Order) imitator.OrderFault { return imitator.OrderFault(r.intN(3)) }
		}},
		"orders are carried out late": {order: func(r *lockedRand) func(scheduler.Order) imitator.OrderFault {
			return func(scheduler.Order) imitator.OrderFault {
				if r.intN(2) == 0 {
					return imitator.OrderLate
				}
				return imitator.OrderFine
			}
		}},
		"the leader stops": {during: func(_ *imitator.Pool, _ *imitator.KeyedLog, a, b *daemon, c *conductor.Conductor) *conductor.Conductor {
			d := b
			if _, here := a.elector.Leader(); !here {
				d = a
			}
			c.Close()
			return awaitLeader(d, a, b)
		}},
		"a policy selects the workers": {advice: advice},
		"a policy, and orders are not answered": {advice: advice, order: func(r *lockedRand) func(scheduler.Order) imitator.OrderFault {
			// One of: no fault, a lost order, a lost answer.
			return func(scheduler.Order) imitator.OrderFault { return imitator.OrderFault(r.intN(3)) }
		}},
		"a worker restarts": {during: func(p *imitator.Pool, l *imitator.KeyedLog, _, _ *daemon, c *conductor.Conductor) *conductor.Conductor {
			time.Sleep(300 * time.Millisecond)
			p.Restart("w1")
			time.Sleep(200 * time.Millisecond)
			p.Register(l)
			return c
		}},
		"a partitioned worker goes on running": {during: func(p *imitator.Pool, _ *imitator.KeyedLog, _, _ *daemon, c *conductor.Conductor) *conductor.Conductor {
			p.SetPartitioned("w1", true)
			time.Sleep(9 * time.Second)
			p.SetPartitioned("w1", false)
			return c
		}},
	}
	for name, tc := range tests {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := &lockedRand{random: rand.New(rand.NewPCG(seed, 1))}
					var fault func(string, string, string) imitator.StoreFault
					if tc.store != nil {
						fault = tc.store(r)
					}
					var order func(scheduler.Order) imitator.OrderFault
					if tc.order != nil {
						order = tc.order(r)
					}
					l := imitator.NewKeyedLog(4, fault)
					p := imitator.NewPool(3, 4, func(n scheduler.TaskName, attempt int) (clock.Millis, scheduler.Ending) {
						if (n.Index+attempt)%7 == 0 {
							return 300, scheduler.EndFailed
						}
						return 700, scheduler.EndDone
					}, order)
					var y *imitator.Policy
					if tc.advice != nil {
						y = imitator.NewPolicy(tc.advice.Base, tc.advice.Validity, func(step, worker string) bool { return (len(step)+int(worker[1]))%3 != 0 })
						p.SetPolicy(y)
					}
					p.Register(l)
					a, b := startDaemon("a", l, p, y), startDaemon("b", l, p, y)
					defer a.elector.Close()
					defer b.elector.Close()
					c := awaitLeader(a, b)
					c = submitJobs(t, c, jobs, tc.advice, a, b)
					if tc.during != nil {
						c = tc.during(p, l, a, b, c)
					}
					for range 1200 {
						time.Sleep(100 * time.Millisecond)
						if allCompleted(c, jobs) {
							break
						}
						// The fault may have caused a takeover by the other daemon.
						select {
						case c = <-a.leading:
						case c = <-b.leading:
						default:
						}
					}
					must.True(t, allCompleted(c, jobs), must.Sprint("jobs have not completed"))
					must.SliceEmpty(t, p.Violations())
				})
			})
		}
	}
}
