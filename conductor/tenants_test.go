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
	"galenawharf.example/galenawharf/scheduler"
)

var testTenants = []scheduler.Tenant{{Name: "a", Weight: 2}, {Name: "b", Weight: 2}}

// testLimit is the most jobs in a window of five seconds at a weight of 2.
const testLimit = 2*5*11/10 + 20

func tenantJob(tenant string, i int) scheduler.Spec {
	return scheduler.Spec{
		ID: fmt.Sprintf("%s%015x", tenant, i), Tenant: tenant, Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 1, Slack: 2, Target: clock.Second},
		Steps: []scheduler.Step{{Count: 1, CPU: 100, Estimate: 100}},
	}
}

// submitAll submits jobs of a tenant at once and returns how many were accepted, and the times after
// which the others may return.
func submitAll(t *testing.T, c *conductor.Conductor, tenant string, first, n int) (accepted int, refused map[int]clock.Millis) {
	t.Helper()
	results := make([]chan error, n)
	for i := range n {
		results[i] = make(chan error, 1)
		go func() { results[i] <- c.Submit(t.Context(), tenantJob(tenant, first+i)) }()
	}
	refused = map[int]clock.Millis{}
	for i, r := range results {
		var limit conductor.TenantLimitError
		switch err := <-r; {
		case err == nil:
			accepted++
		case errors.As(err, &limit):
			refused[first+i] = limit.RetryAfter()
		default:
			must.NoError(t, err)
		}
	}
	return accepted, refused
}

// TestTenantRateAcrossTakeover guards against a takeover that gives a tenant its whole window again, and
// against a second refusal of a caller that returns when told. The load: three windows' jobs of one
// tenant, before and after a takeover, beside a job of another.
func TestTenantRateAcrossTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := imitator.NewKeyedLog(4, nil)
		p := imitator.NewPool(4, 16, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 100, scheduler.EndDone }, nil)
		p.Register(l)
		a, b := startDaemon("a", l, p, nil), startDaemon("b", l, p, nil)
		defer a.elector.Close()
		defer b.elector.Close()
		c := awaitLeader(a, b)
		c.SetTenants(testTenants)
		accepted, refused := submitAll(t, c, "a", 0, 3*testLimit)
		must.Eq(t, testLimit, accepted)
		must.Positive(t, len(refused))
		// The jobs are submitted at once, in no order.
		known := 0
		for refused[known] != 0 {
			known++
		}
		begin := time.Now()
		must.NoError(t, c.Submit(t.Context(), tenantJob("b", 0)))
		c.Close()
		c = awaitLeader(a, b)
		must.Less(t, 4*time.Second, time.Since(begin))
		c.SetTenants(testTenants)
		must.NoError(t, c.Submit(t.Context(), tenantJob("a", known)), must.Sprint("a known job counts again"))
		accepted, refused = submitAll(t, c, "a", 1000, 2*testLimit)
		must.Zero(t, accepted)
		must.NoError(t, c.Submit(t.Context(), tenantJob("b", 1)))
		told := 0
		for i, after := range refused {
			if after == 10*clock.Second {
				continue
			}
			told++
			go func() {
				time.Sleep(after.Duration())
				if err := c.Submit(t.Context(), tenantJob("a", i)); err != nil {
					t.Errorf("refused again: %v", err)
				}
			}()
		}
		must.GreaterEq(t, testLimit/2, told)
		time.Sleep(11 * time.Second)
	})
}

// TestDepositsAreNotRefused guards against a deposited job, which its caller counts as accepted, that
// is refused for the rate of its tenant, or that doesn't count.
func TestDepositsAreNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := imitator.NewKeyedLog(4, nil)
		p := imitator.NewPool(4, 16, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 100, scheduler.EndDone }, nil)
		p.Register(l)
		d := startDaemon("a", l, p, nil)
		defer d.elector.Close()
		c := awaitLeader(d)
		c.SetTenants(testTenants)
		deposits := depositor.New(l.Client("entry"), clock.System, clock.System)
		for i := range 2 * testLimit {
			must.NoError(t, deposits.Deposit(t.Context(), tenantJob("a", i)))
		}
		time.Sleep(time.Second)
		for i := range 2 * testLimit {
			_, err := c.Phase(tenantJob("a", i).ID, "q", "a")
			must.NoError(t, err)
		}
		accepted, _ := submitAll(t, c, "a", 1000, 10)
		must.Zero(t, accepted)
	})
}

// TestNothingStartsByOldTenants guards against starts by caps and tenants that were changed since: with
// tenants, nothing starts by operator's records older than WithTenantAge, without them as before.
func TestNothingStartsByOldTenants(t *testing.T) {
	for name, tenants := range map[string][]scheduler.Tenant{"tenants": testTenants, "no tenants": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := imitator.NewKeyedLog(4, nil)
				p := imitator.NewPool(2, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 100, scheduler.EndDone }, nil)
				p.Register(l)
				c, err := conductor.New(t.Context(), conductor.Term{Epoch: 1, PredecessorStopped: true, LastRenewal: clock.System},
					l.Client("a"), p.Fleet(), scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry,
					conductor.WithTenantAge(2500), conductor.WithOperatorRead(func() clock.Millis { return clock.System() - 3*clock.Second }))
				must.NoError(t, err)
				defer c.Close()
				c.SetTenants(tenants)
				must.NoError(t, c.Submit(t.Context(), tenantJob("a", 0)))
				time.Sleep(2 * time.Second)
				want := 1
				if tenants != nil {
					want = 0
				}
				must.Eq(t, want, p.Starts())
			})
		})
	}
}

// TestOverloadRefusesFloodFirst guards against refusals for the backlog of another tenant. The load: a
// leader that gets about 80 starts a second done, of which one tenant asks for 200 jobs of ten tasks a
// second, twenty times its plain rate, and another for 5 jobs of one.
func TestOverloadRefusesFloodFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := imitator.NewKeyedLog(4, nil)
		p := imitator.NewPool(40, 16, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 100, scheduler.EndDone }, nil)
		p.Register(l)
		f := p.Fleet()
		send := f.Send
		f.Send = func(ctx context.Context, o scheduler.Order, epoch int64) scheduler.Outcome {
			time.Sleep(400 * time.Millisecond)
			return send(ctx, o, epoch)
		}
		c, err := conductor.New(t.Context(), conductor.Term{Epoch: 1, PredecessorStopped: true, LastRenewal: clock.System},
			l.Client("a"), f, scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry,
			conductor.WithTenantRates(5*clock.Second, 0.1, 100_000))
		must.NoError(t, err)
		defer c.Close()
		c.SetTenants([]scheduler.Tenant{{Name: "a", Weight: 10}, {Name: "f", Weight: 10}})
		refused := map[string]*atomic.Int64{"a": {}, "f": {}}
		submit := func(tenant string, i int) {
			var overload conductor.OverloadError
			job := tenantJob(tenant, i)
			if tenant == "f" {
				job.Steps[0].Count = 10
			}
			if err := c.Submit(t.Context(), job); errors.As(err, &overload) {
				refused[tenant].Add(1)
			} else if err != nil {
				t.Errorf("%s: %v", tenant, err)
			}
		}
		for i := range 3000 {
			go submit("f", i)
			if i%40 == 0 {
				go submit("a", i)
			}
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		must.Zero(t, refused["a"].Load())
		must.GreaterEq(t, 1000, int(refused["f"].Load()))
		t.Logf("refused %d of 3,000 jobs of the flood", refused["f"].Load())
	})
}
