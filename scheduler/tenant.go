package scheduler

import "galenawharf.example/galenawharf/sizer"

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

// SetTenants replaces the tenants, in the order of their names. Without any, jobs are scheduled
// regardless of their tenant.
func (s *Scheduler) SetTenants(_ []Tenant) {}

// TenantStates returns the state of each tenant, in the order of their names.
func (s *Scheduler) TenantStates() []TenantState { return nil }

// isOtherTenant reports whether a caller of the given tenant must not learn of the job. Calls and jobs
// without a tenant are exempt.
func (j *job) isOtherTenant(tenant string) bool {
	return tenant != "" && j.spec.Tenant != "" && tenant != j.spec.Tenant
}
