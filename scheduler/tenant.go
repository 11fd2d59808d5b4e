package scheduler

import (
	"slices"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/sharer"
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
)

// newShares returns a sharer without tenants.
func newShares() *sharer.Sharer {
	s, err := sharer.New()
	if err != nil {
		// Its defaults are valid, so this is a programming error.
		panic(errors.Wrap(err, "scheduler.newShares"))
	}
	return s
}

// SetTenants replaces the tenants, in the order of their names. Without any, jobs are scheduled
// regardless of their tenant.
func (s *Scheduler) SetTenants(ts []Tenant) {
	for _, t := range s.tenants {
		s.shares.ClearWeight(t.Name)
	}
	for _, t := range ts {
		s.shares.SetWeight(t.Name, t.Weight)
	}
	s.tenants = slices.Clone(ts)
}

// TenantStates returns the state of each tenant, in the order of their names.
func (s *Scheduler) TenantStates() []TenantState {
	out := make([]TenantState, 0, len(s.tenants))
	for _, t := range s.tenants {
		out = append(out, TenantState{Name: t.Name, Held: s.shares.Held(t.Name), Cap: t.Cap, Share: s.shares.Share(t.Name)})
	}
	return out
}

// size returns the resources that a task of the step holds.
func (s *Step) size() sizer.Size { return sizer.New(s.CPU, s.Memory*sizer.MiB, s.GPU) }
