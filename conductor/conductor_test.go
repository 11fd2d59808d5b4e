package conductor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/adviser"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/elector"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/scheduler"
)

// daemon takes part in the election and conducts while it leads.
type daemon struct {
	elector *elector.Elector
	leading chan *conductor.Conductor
}

// dice are rolled by several goroutines.
type dice struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (d *dice) roll(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

const testLease = 6 * clock.Second

func startDaemon(name string, l *imitator.KeyedLog, p *imitator.Pool, y *imitator.Policy) *daemon {
	d := &daemon{leading: make(chan *conductor.Conductor, 8)}
	s := l.Client(name)
	d.elector = elector.New(s, name, name, name+"-life", func(ctx context.Context, t elector.Term) {
		c, err := conductor.New(ctx, conductor.Term{Epoch: t.Epoch, FormerIsOver: t.FormerIsOver, Confirmed: t.Confirmed},
			s, p.Fleet(), scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry)
		if err != nil {
			return
		}
		d.leading <- c
		if y != nil {
			a := adviser.New(adviser.Funcs{Enabled: func() bool { return true }, Ask: y.Ask, Next: next(c)})
			defer a.Close()
		}
		c.Wait()
	})
	return d
}

// next exchanges verdicts for consultations with a conductor.
func next(c *conductor.Conductor) func(context.Context, *scheduler.Verdict) (*scheduler.Consultation, error) {
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

// leader returns the conductor of whichever daemon leads next.
func leader(ds ...*daemon) *conductor.Conductor {
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

func submit(t *testing.T, c *conductor.Conductor, jobs int, advice *scheduler.Advice, ds ...*daemon) *conductor.Conductor {
	t.Helper()
	for i := range jobs {
		spec := scheduler.Spec{
			ID: fmt.Sprintf("%016x", i), Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 3, Slack: 2, Advice: advice},
			Steps: []scheduler.Step{{Count: 3, CPU: 1000}, {Count: 2, CPU: 1000, After: []int{0}}},
		}
		for c.Submit(t.Context(), spec) != nil {
			// Callers send the same id again when they don't know its fate.
			c = leader(ds...)
		}
	}
	return c
}

// finished reports whether all jobs are completed.
func finished(c *conductor.Conductor, jobs int) bool {
	for i := range jobs {
		if p, err := c.Phase(fmt.Sprintf("%016x", i), "q"); err != nil || p != scheduler.Completed {
			return false
		}
	}
	return true
}

// TestJobsUnderTrouble plays trouble against two daemons, a store and workers, and
// checks what must always hold: every accepted job is completed, no task runs twice.
func TestJobsUnderTrouble(t *testing.T) {
	const jobs = 12
	advice := &scheduler.Advice{Base: 60, PerWorker: 2, Validity: 3 * clock.Second}
	tests := map[string]struct {
		store func(r *dice) func(client, call, topic string) imitator.StoreFault
		order func(r *dice) func(scheduler.Order) imitator.OrderFault
		// advice is set where the queue has a policy.
		advice *scheduler.Advice
		// during is played once jobs are accepted; it returns who leads after.
		during func(p *imitator.Pool, l *imitator.KeyedLog, a, b *daemon, c *conductor.Conductor) *conductor.Conductor
	}{
		"calm": {},
		"answers of the store are lost": {store: func(r *dice) func(string, string, string) imitator.StoreFault {
			return func(_, call, _ string) imitator.StoreFault {
				if call == "append" && r.roll(5) == 0 {
					return imitator.StoreLosesAnswer
				}
				return imitator.StoreFine
			}
		}},
		"appends are done late": {store: func(r *dice) func(string, string, string) imitator.StoreFault {
			return func(_, call, topic string) imitator.StoreFault {
				if call == "append" && topic == "jobs" && r.roll(8) == 0 {
					return imitator.StoreLate
				}
				return imitator.StoreFine
			}
		}},
		"orders are not answered": {order: func(r *dice) func(scheduler.Order) imitator.OrderFault {
			return func(scheduler.Order) imitator.OrderFault { return imitator.OrderFault(r.roll(3)) }
		}},
		"orders are carried out late": {order: func(r *dice) func(scheduler.Order) imitator.OrderFault {
			return func(scheduler.Order) imitator.OrderFault {
				if r.roll(2) == 0 {
					return imitator.OrderLate
				}
				return imitator.OrderFine
			}
		}},
		"the leader ends": {during: func(_ *imitator.Pool, _ *imitator.KeyedLog, a, b *daemon, c *conductor.Conductor) *conductor.Conductor {
			d := b
			if _, here := a.elector.Leader(); !here {
				d = a
			}
			c.Close()
			return leader(d, a, b)
		}},
		"a policy says which workers": {advice: advice},
		"a policy, and orders are not answered": {advice: advice, order: func(r *dice) func(scheduler.Order) imitator.OrderFault {
			return func(scheduler.Order) imitator.OrderFault { return imitator.OrderFault(r.roll(3)) }
		}},
		"a worker restarts": {during: func(p *imitator.Pool, l *imitator.KeyedLog, _, _ *daemon, c *conductor.Conductor) *conductor.Conductor {
			time.Sleep(300 * time.Millisecond)
			p.Restart("w1")
			time.Sleep(200 * time.Millisecond)
			p.Register(l)
			return c
		}},
		"a worker is cut off and works on": {during: func(p *imitator.Pool, _ *imitator.KeyedLog, _, _ *daemon, c *conductor.Conductor) *conductor.Conductor {
			p.Cut("w1", true)
			time.Sleep(9 * time.Second)
			p.Cut("w1", false)
			return c
		}},
	}
	for name, tc := range tests {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := &dice{random: rand.New(rand.NewPCG(seed, 1))}
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
					c := leader(a, b)
					c = submit(t, c, jobs, tc.advice, a, b)
					if tc.during != nil {
						c = tc.during(p, l, a, b, c)
					}
					for range 1200 {
						time.Sleep(100 * time.Millisecond)
						if finished(c, jobs) {
							break
						}
						// Trouble may have let the other daemon take over.
						select {
						case c = <-a.leading:
						case c = <-b.leading:
						default:
						}
					}
					must.True(t, finished(c, jobs), must.Sprint("jobs are left"))
					must.SliceEmpty(t, p.Faults())
				})
			})
		}
	}
}
