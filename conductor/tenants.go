package conductor

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/limiter"
	"galenawharf.example/galenawharf/regulator"
	"galenawharf.example/galenawharf/scheduler"
)

// TenantLimitError is returned for a job that was not accepted and will not run, because its tenant
// submits more than it may.
type TenantLimitError struct{ retryAfter clock.Millis }

// Defaults of WithTenantRates, as of the settings.
const (
	defaultRateWindow    = 5 * clock.Second
	defaultRateExcess    = 0.1
	defaultRateTolerance = 20
)

// RetryAfter returns the time after which the job is accepted, if a slot is reserved for it, or may
// be.
func (e TenantLimitError) RetryAfter() clock.Millis { return e.retryAfter }

// Error returns the reason of the refusal.
func (e TenantLimitError) Error() string { return "the tenant submits more jobs than it may" }

// WithTenantRates bounds the jobs that a tenant may submit in any window: its weight times the window
// in seconds, times one and the excess, and the tolerance in jobs.
func WithTenantRates(window clock.Millis, excess float64, tolerance int) Option {
	return func(c *Conductor) { c.rates = limiter.NewRates(window, excess, tolerance) }
}

// WithTenantAge sets the age of the operator's records up to which tasks may be started while there
// are tenants. It doesn't raise the age that holds without any.
func WithTenantAge(d clock.Millis) Option { return func(c *Conductor) { c.tenantAge = d } }

// SetTenants replaces the tenants that share the deployment.
func (c *Conductor) SetTenants(ts []scheduler.Tenant) {
	c.post(func() { c.setTenants(ts) })
}

func (c *Conductor) setTenants(ts []scheduler.Tenant) {
	c.sched.SetTenants(ts)
	c.hasTenants = len(ts) > 0
	rates, added := make(map[string]float64, len(ts)), map[string]bool{}
	for _, t := range ts {
		rates[t.Name] = t.Weight
		added[t.Name] = !c.rates.Has(t.Name)
	}
	c.rates.SetRates(rates)
	// What a tenant has submitted to the former leader counts. The rates forget what is older than
	// their window.
	now := c.now()
	c.sched.EachAccepted(c.rates.Window(), func(tenant, id string, age clock.Millis) {
		if added[tenant] {
			c.rates.Count(tenant, id, now-age, now)
		}
	})
}

// admitRate returns a TenantLimitError for a new job of a tenant that submits more than it may. An
// invalid job doesn't count; the scheduler refuses it.
func (c *Conductor) admitRate(s *scheduler.Spec, now clock.Millis) error {
	if !c.rates.Has(s.Tenant) || s.Validate() != nil {
		return nil
	}
	if after, ok := c.rates.Admit(s.Tenant, s.ID, now); !ok {
		c.metrics.TenantRefused(s.Tenant)
		return TenantLimitError{after}
	}
	return nil
}

// countAccepted counts a job that was accepted without admitRate.
func (c *Conductor) countAccepted(s *scheduler.Spec) {
	now := c.now()
	c.rates.Asked(s.Tenant, now)
	c.rates.Count(s.Tenant, s.ID, now, now)
}

// waitingAhead returns the tasks that wait ahead of those of a new job.
func (c *Conductor) waitingAhead(s *scheduler.Spec) []regulator.Arrival {
	now := c.now()
	return c.sched.WaitingAhead(s, func(t string) bool { return c.rates.Beyond(t, now) || c.sched.BeyondShare(t) })
}
