package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Tenant is a team that shares the deployment with others.
	Tenant struct {
		Name string
		// Weight is the tenant's share when all is full, relative to the weights of the others,
		// and the number of jobs that it may submit per second.
		Weight float64
		// Cap is the most that the tenant may have running; 0 in a resource means no limit.
		Cap sizer.Size
	}

	// TenantState is what a tenant holds and waits for.
	TenantState struct {
		Name string
		// Held is what its runs may be using, Cap its limit; 0 in a resource means no limit.
		Held, Cap sizer.Size
		// Share is its dominant share of the available workers as a multiple of its fair share.
		Share float64
		// Waiting is the number of its tasks that are ready and have no run.
		Waiting int
	}

	// tenant is a Tenant with the state of its log lines.
	tenant struct {
		Tenant
		// waiting is the number of its tasks that have waited for its cap in this round of
		// placing, resource the one that they lack.
		waiting  int
		resource *resource
		// nextWaitLine is when their wait is to be logged next.
		nextWaitLine clock.Millis
	}
)

// SetTenants replaces the tenants. Without any, jobs are scheduled regardless of their tenant. What a
// tenant holds is counted whether it is one of them or not, so that one that returns can't exceed its cap.
func (s *Scheduler) SetTenants(ts []Tenant) {
	old := s.tenants
	s.tenants = make(map[string]*tenant, len(ts))
	for _, t := range ts {
		n := &tenant{Tenant: t}
		if o := old[t.Name]; o != nil {
			n.nextWaitLine = o.nextWaitLine
			s.emitTenantChange(o.Tenant, t)
		}
		s.tenants[t.Name] = n
		s.sharer.SetQuota(t.Name, quotaOf(t.Cap))
		s.sharer.SetWeight(t.Name, t.Weight)
	}
	for name := range old {
		if s.tenants[name] == nil {
			s.sharer.ClearQuota(name)
			s.sharer.ClearWeight(name)
		}
	}
}

func (s *Scheduler) emitTenantChange(from, to Tenant) {
	if from != to {
		s.emit(logger.TenantChanged, logger.String("tenant", to.Name), logger.Text("from", from.limits()), logger.Text("to", to.limits()),
			logger.Text("held", amountsOf(s.sharer.Held(to.Name))))
	}
}

// TenantStates returns the state of each tenant, in the order of their names.
func (s *Scheduler) TenantStates() []TenantState {
	waiting := make(map[string]int, len(s.tenants))
	for j := range s.active {
		if j.spec.Tenant != "" {
			waiting[j.spec.Tenant] += j.readyTasks()
		}
	}
	states := make([]TenantState, 0, len(s.tenants))
	for _, t := range slices.SortedFunc(maps.Values(s.tenants), func(a, b *tenant) int { return cmp.Compare(a.Name, b.Name) }) {
		states = append(states, TenantState{Name: t.Name, Held: s.sharer.Held(t.Name), Cap: t.Cap, Share: s.sharer.Share(t.Name), Waiting: waiting[t.Name]})
	}
	return states
}

// readyTasks returns the number of tasks that are ready and have no run.
func (j *job) readyTasks() int {
	n := 0
	for _, o := range j.occurrences {
		for i := range o.steps {
			if o.ready(i) {
				n += j.spec.Steps[i].Count - o.done[i] - o.runs[i]
			}
		}
	}
	return n
}

// isOtherTenant reports whether a caller of the given tenant must not learn of the job. Calls and jobs
// without a tenant are exempt.
func (j *job) isOtherTenant(tenant string) bool {
	return tenant != "" && j.spec.Tenant != "" && tenant != j.spec.Tenant
}
