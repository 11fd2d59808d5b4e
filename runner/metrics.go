package runner

import (
	"context"
	"net/http"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/forwarder"
	"galenawharf.example/galenawharf/measurer"
	"galenawharf.example/galenawharf/scheduler"
)

const metricsPath = "/metrics"

var outcomeCounters = map[forwarder.Outcome]measurer.Counter{
	forwarder.OK:      measurer.RequestsServed,
	forwarder.Unknown: measurer.RequestsUnknown,
	forwarder.Invalid: measurer.RequestsInvalid,
	forwarder.Refused: measurer.RequestsRefused,
	forwarder.Unclear: measurer.RequestsUnclear,
}

var overloadCounters = map[conductor.OverloadCause]measurer.Counter{
	conductor.SlowAppends: measurer.RefusedSlowAppends,
	conductor.SlowStarts:  measurer.RefusedSlowStarts,
}

// serveCaller serves a request of a caller and records its duration and outcome.
func (r *Runner) serveCaller(ctx context.Context, q forwarder.Request) forwarder.Reply {
	began := r.now()
	a := r.forward.Serve(ctx, q)
	r.metrics.Record(measurer.RequestTime, (r.now() - began).Duration())
	if c, ok := outcomeCounters[a.Outcome]; ok {
		r.metrics.Add(c, 1)
	}
	return a
}

// peerHandler serves other daemons and the metrics.
func (r *Runner) peerHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle(metricsPath, r.metrics.Handler())
	m.Handle("/", r.forward)
	return m
}

// conductorMetrics returns the callbacks that record a conductor's measurements.
func (r *Runner) conductorMetrics() conductor.Metrics {
	return conductor.Metrics{
		Order: func(took clock.Millis, answered bool) {
			r.metrics.Add(measurer.Orders, 1)
			if !answered {
				r.metrics.Add(measurer.OrdersUnclear, 1)
			}
			r.metrics.Record(measurer.OrderTime, took.Duration())
		},
		Poll: func(took clock.Millis) {
			r.metrics.Add(measurer.WorkerPolls, 1)
			r.metrics.Record(measurer.WorkerPollTime, took.Duration())
		},
		Append: func(took clock.Millis) {
			r.metrics.Add(measurer.Appends, 1)
			r.metrics.Record(measurer.AppendTime, took.Duration())
		},
		Delay: func(late clock.Millis) { r.metrics.Set(measurer.ProcessDelay, late.Duration().Seconds()) },
		Totals: func(queued, active, silent, waiting int) {
			r.metrics.Set(measurer.QueuedJobs, float64(queued))
			r.metrics.Set(measurer.ActiveJobs, float64(active))
			r.metrics.Set(measurer.SilentWorkers, float64(silent))
			r.metrics.Set(measurer.LongRunningWaiting, float64(waiting))
		},
		Tenants:       func(ts []scheduler.TenantState) { r.metrics.SetTenants(tenantsOf(ts)) },
		TenantRefused: r.metrics.CountTenantRefused,
		OddEntry:      func() { r.metrics.Add(measurer.OddEntries, 1) },
		Deposits:      func(undeleted int) { r.metrics.Set(measurer.UndeletedDeposits, float64(undeleted)) },
		Room:          r.setRoom,
		Overloaded:    func(cause conductor.OverloadCause) { r.metrics.Add(overloadCounters[cause], 1) },
	}
}

// tenantsOf returns what the metrics show of tenants. A tenant without a cap on its cores holds 0 of it.
func tenantsOf(ts []scheduler.TenantState) []measurer.Tenant {
	all := make([]measurer.Tenant, len(ts))
	for i, t := range ts {
		all[i] = measurer.Tenant{Name: t.Name, Share: t.Share, Waiting: t.Waiting}
		if limit := t.Cap.Millicores(); limit > 0 {
			all[i].Running = float64(t.Held.Millicores()) / float64(limit)
		}
	}
	return all
}

// setRoom sets the metrics of the room that large tasks wait for.
func (r *Runner) setRoom(s scheduler.RoomState) {
	for g, v := range map[measurer.Gauge]float64{
		measurer.WaitingForRoom: float64(s.Waiting), measurer.LongestWait: s.LongestWait.Duration().Seconds(), measurer.RoomReservations: float64(s.Reserved),
		measurer.FragmentedCores:  float64(s.Fragmented.Millicores()) / 1000,
		measurer.FragmentedMemory: float64(s.Fragmented.MemoryBytes()), measurer.FragmentedGPUs: float64(s.Fragmented.Accelerators()),
		measurer.ForecastRatio: s.ForecastRatio, measurer.ForecastLate: s.ForecastLate,
	} {
		r.metrics.Set(g, v)
	}
}
