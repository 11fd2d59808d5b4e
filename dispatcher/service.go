package dispatcher

import (
	"sync/atomic"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/limiter"
	"galenawharf.example/galenawharf/retrier"
	"galenawharf.example/galenawharf/router"
)

type (
	// service is the state of a service that is kept when SetView replaces the view.
	service struct {
		gate    *limiter.Gate
		budget  *retrier.Budget
		latency router.Latency
		// waiting is the number of queued requests, attempts that of attempts in flight.
		waiting  atomic.Int64
		attempts atomic.Int64
		// slots is the number of attempts that the pool allows; see updateSlots.
		slots atomic.Int64
		// lastAnswer is the time of the last answer, as clock.Millis.
		lastAnswer atomic.Int64
	}

	// route is a service with its executors and declared settings in one view.
	route struct {
		*service
		name          string
		priority      int
		queueLimit    int
		latencyTarget clock.Millis
		pool          *router.Pool
	}

	// snapshot is the routing state derived from one view. Its set of routes is immutable;
	// the services and executors of the routes are shared with other snapshots and change.
	snapshot struct {
		routes map[string]*route
	}
)

func newService(l declarer.RequestLimits) *service {
	return &service{gate: limiter.NewGate(l), budget: retrier.NewBudget(0)}
}

// pace returns the interval at which queued requests are expected to start, if all usable
// slots are busy, and the 95th percentile of the latency, within which they are then
// answered.
func (s *service) pace() limiter.Pace {
	n := max(min(s.slots.Load(), s.gate.Concurrent()), 1)
	return limiter.NewPace(max(s.gate.Interval(), s.latency.MeanMicros()/n), s.latency.P95())
}

// updateSlots stores the number of attempts that the pool currently allows.
func (r *route) updateSlots() { r.slots.Store(int64(r.pool.Limit())) }

// recordAnswer records an answer with latency d, which also refills the retry budget.
func (s *service) recordAnswer(now, d clock.Millis) {
	s.lastAnswer.Store(int64(now))
	s.latency.Observe(d)
	s.budget.Success()
}

// idle reports whether the service has no requests in flight or queued.
func (s *service) idle() bool {
	return s.waiting.Load() == 0 && s.attempts.Load() == 0 && s.gate.InFlight() == 0
}
