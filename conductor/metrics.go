package conductor

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Metrics are callbacks for a term's measurements. They must not block.
	Metrics struct {
		// Order, Poll and Append are called with the duration of each order, each poll of
		// a worker and each append to the store; answered is whether the worker answered.
		Order  func(took clock.Millis, answered bool)
		Poll   func(took clock.Millis)
		Append func(took clock.Millis)
		// Totals is called several times a second with the number of jobs that have not
		// started, of jobs that have not ended, of workers that do not answer, and of
		// long-running tasks without a run.
		Totals func(queued, active, silent, waiting int)
		// Delay is called several times a second with how late the scheduler's goroutine
		// got its turn.
		Delay func(clock.Millis)
		// Tenants is called once per tenantInterval with the states of all tenants. It may be nil.
		Tenants func([]scheduler.TenantState)
		// Room is called once per tenantInterval with what large tasks wait for. It may be nil.
		Room func(scheduler.RoomState)
		// TenantRefused is called for each job that is refused because its tenant submits more
		// than it may. It may be nil.
		TenantRefused func(tenant string)
		// Overloaded is called for each job that is refused with an OverloadError. It may be nil.
		Overloaded func(OverloadCause)
		// OddEntry is called for each registry entry that names no worker to use. It may be nil.
		OddEntry func()
		// Deposits is called several times a second with the number of deposits whose jobs are stored
		// and which the store has not deleted. It may be nil.
		Deposits func(undeleted int)
	}
)

// tenantInterval is the time between two calls of Metrics.Tenants, as long as that between two reports
// of the other metrics.
const tenantInterval = clock.Second

// WithMetrics sets the callbacks for measurements.
func WithMetrics(m Metrics) Option {
	none := noMetrics()
	if m.Tenants == nil {
		m.Tenants = none.Tenants
	}
	if m.Room == nil {
		m.Room = none.Room
	}
	if m.TenantRefused == nil {
		m.TenantRefused = none.TenantRefused
	}
	if m.Overloaded == nil {
		m.Overloaded = none.Overloaded
	}
	if m.OddEntry == nil {
		m.OddEntry = none.OddEntry
	}
	if m.Deposits == nil {
		m.Deposits = none.Deposits
	}
	return func(c *Conductor) { c.metrics = m }
}

func noMetrics() Metrics {
	return Metrics{
		Order: func(clock.Millis, bool) {}, Poll: func(clock.Millis) {}, Append: func(clock.Millis) {}, Totals: func(int, int, int, int) {},
		Delay: func(clock.Millis) {}, Tenants: func([]scheduler.TenantState) {}, TenantRefused: func(string) {}, Room: func(scheduler.RoomState) {},
		Overloaded: func(OverloadCause) {}, OddEntry: func() {}, Deposits: func(int) {},
	}
}

// reportTenants passes the states of the tenants and of the room to the metrics once per tenantInterval.
func (c *Conductor) reportTenants() {
	if now := c.now(); now >= c.nextTenantReport {
		c.nextTenantReport = now + tenantInterval
		c.metrics.Tenants(c.sched.TenantStates())
		c.metrics.Room(c.sched.RoomState())
	}
}
