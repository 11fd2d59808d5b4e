package scheduler

import (
	"fmt"
	"math"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/sharer"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// resource is one of the resources that a cap limits.
	resource struct {
		name   string
		amount func(sizer.Size) int64
	}

	// capRound is the state of the caps in one round of placing.
	capRound struct {
		// waiting are the tenants with tasks that wait for their cap.
		waiting []*tenant
		// occurrence and step are those of the last demand that waits for a cap.
		occurrence *occurrence
		step       int
		// reserved is, by tenant, what the long-running tasks need for which workers are reserved:
		// tasks that are placed later leave it free.
		reserved map[string]sizer.Size
	}
)

// capWaitInterval is the least time between two lines about the waits of one tenant;
// docs/design/tenants.md, Observability.
const capWaitInterval = 5 * clock.Second

var (
	// ErrOverCap is returned for a job that could never start: one of its tasks, or a gang as a
	// whole, is larger than the cap of its tenant.
	ErrOverCap = errors.New("the job exceeds the cap of its tenant")

	// resources have the names and units of the operator's configuration.
	resources = []resource{
		{name: "cpu", amount: sizer.Size.Millicores},
		{name: "mem_mb", amount: func(s sizer.Size) int64 { return s.MemoryBytes() / sizer.MiB }},
		{name: "gpu", amount: sizer.Size.Accelerators},
	}
)

// newSharer returns the accounts of the tenants.
func newSharer() *sharer.Sharer {
	s, err := sharer.New()
	if err != nil {
		// Only options can be invalid, so this is a programming error.
		panic(errors.Wrap(err, "scheduler.newSharer"))
	}
	return s
}

// Size returns what a task of the step holds. The CPU of a filler counts, although it is not reserved
// on the worker.
func (s *Step) Size() sizer.Size {
	return sizer.New(s.CPU, 0, s.GPU).Add(sizer.New(0, sizer.MiB, 0).Times(s.Memory))
}

// startSize returns what has to fit into the cap for a task of the step to start: of a gang, all tasks.
func (s *Step) startSize() sizer.Size {
	if s.Gang {
		return s.Size().Times(int64(s.Count))
	}
	return s.Size()
}

// quotaOf returns a cap as a quota, in which no resource is exempt.
func quotaOf(limit sizer.Size) sizer.Size {
	orMax := func(n int64) int64 {
		if n == 0 {
			return math.MaxInt64
		}
		return n
	}
	return sizer.New(orMax(limit.Millicores()), orMax(limit.MemoryBytes()), orMax(limit.Accelerators()))
}

// lackingResource returns the first resource in which a size exceeds a quota, or nil if there is none.
func lackingResource(size, quota sizer.Size) *resource {
	for i, exceeds := range []bool{size.Millicores() > quota.Millicores(), size.MemoryBytes() > quota.MemoryBytes(), size.Accelerators() > quota.Accelerators()} {
		if exceeds {
			return &resources[i]
		}
	}
	return nil
}

// amountsOf returns a size as text, in the names and units of the configuration.
func amountsOf(s sizer.Size) string {
	var b strings.Builder
	for i, r := range resources {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%d", r.name, r.amount(s))
	}
	return b.String()
}

// limits returns the weight and the cap of a tenant as text.
func (t Tenant) limits() string { return fmt.Sprintf("weight=%g %s", t.Weight, amountsOf(t.Cap)) }

// checkCap returns an error if a job could never start within the cap of its tenant.
func (s *Scheduler) checkCap(spec *Spec) error {
	t := s.tenants[spec.Tenant]
	if t == nil || spec.Tenant == "" {
		return nil
	}
	for i := range spec.Steps {
		size := spec.Steps[i].startSize()
		if r := lackingResource(size, quotaOf(t.Cap)); r != nil {
			what := "a task"
			if spec.Steps[i].Gang {
				what = "the gang"
			}
			return errors.Wrapf(ErrOverCap, "step %d: %s needs %s %d, the cap is %d", i, what, r.name, r.amount(size), r.amount(t.Cap))
		}
	}
	return nil
}

// admitsStart reports whether a tenant stays within its cap if it starts tasks of a size.
func (s *Scheduler) admitsStart(tenant string, size sizer.Size) bool {
	if tenant == "" {
		return true
	}
	if len(s.capRound.reserved) > 0 {
		size = size.Add(s.capRound.reserved[tenant])
	}
	return s.sharer.Admits(tenant, size)
}

// isOverCap reports whether the tenant of a task holds more than its cap.
func (s *Scheduler) isOverCap(t *task) bool {
	tenant := t.job().spec.Tenant
	return tenant != "" && s.sharer.OverQuota(tenant)
}

// waitsForCap reports whether the next of the pending tasks of a demand have to wait for the cap of
// their tenant, and notes it.
func (s *Scheduler) waitsForCap(d demand, ts []*task) bool {
	j := d.occurrence.job
	step := &j.spec.Steps[d.step]
	if len(ts) == 0 || step.Gang && len(ts) < step.Count || s.admitsStart(j.spec.Tenant, step.startSize()) {
		return false
	}
	c := &s.capRound
	c.occurrence, c.step = d.occurrence, d.step
	// Only tenants with a cap are refused.
	t := s.tenants[j.spec.Tenant]
	if t.waiting == 0 {
		c.waiting = append(c.waiting, t)
		t.resource = lackingResource(s.sharer.Held(t.Name).Add(c.reserved[t.Name]).Add(step.startSize()), quotaOf(t.Cap))
	}
	t.waiting += len(ts)
	return true
}

// isWaiting reports whether the last demand that waits for a cap is d.
func (c *capRound) isWaiting(d demand) bool { return c.occurrence == d.occurrence && c.step == d.step }

// withinCap returns the first of the pending tasks of a step that could start within the cap of their
// tenant.
func (s *Scheduler) withinCap(ts []*task) []*task {
	tenant, size := ts[0].job().spec.Tenant, ts[0].spec().Size()
	return ts[:sort.Search(len(ts), func(n int) bool { return !s.admitsStart(tenant, size.Times(int64(n+1))) })]
}

// reserveCap keeps room in the cap of a tenant for n tasks of a step until the round ends.
func (s *Scheduler) reserveCap(t *task, n int) {
	tenant := t.job().spec.Tenant
	if tenant == "" {
		return
	}
	if s.capRound.reserved == nil {
		s.capRound.reserved = map[string]sizer.Size{}
	}
	s.capRound.reserved[tenant] = s.capRound.reserved[tenant].Add(t.spec().Size().Times(int64(n)))
}

// endCapRound logs which tenants have waited for their caps in a round of placing.
func (s *Scheduler) endCapRound(now clock.Millis) {
	for _, t := range s.capRound.waiting {
		if now >= t.nextWaitLine {
			t.nextWaitLine = now + capWaitInterval
			s.emit(logger.TenantWaits, logger.String("tenant", t.Name), logger.String("resource", t.resource.name),
				logger.Int("held", t.resource.amount(s.sharer.Held(t.Name))), logger.Int("cap", t.resource.amount(t.Cap)), logger.Int("waiting", int64(t.waiting)))
		}
		t.waiting = 0
	}
	s.capRound = capRound{waiting: s.capRound.waiting[:0]}
}
