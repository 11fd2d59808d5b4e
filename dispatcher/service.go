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
	// service is the state of a service that outlives a view.
	service struct {
		gate       *limiter.Gate
		budget     *retrier.Budget
		latency    router.Latency
		waiting    atomic.Int64
		attempts   atomic.Int64
		slots      atomic.Int64
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

	// snapshot is the routing state derived from one view. It is immutable.
	snapshot struct {
		routes map[string]*route
	}
)

func newService(l declarer.RequestLimits) *service {
	return &service{gate: limiter.NewGate(l), budget: retrier.NewBudget(0)}
}

// pace returns the expected service rate while the queue is not empty, when all usable
// slots are busy.
func (s *service) pace() limiter.Pace {
	n := max(min(s.slots.Load(), s.gate.Concurrent()), 1)
	return limiter.NewPace(max(s.gate.Interval(), s.latency.MeanMicros()/n), s.latency.P95())
}

// updateSlots stores the number of attempts that the pool currently allows.
func (r *route) updateSlots() { r.slots.Store(int64(r.pool.Limit())) }

// recordAnswer records an answer with latency d.
func (s *service) recordAnswer(now, d clock.Millis) {
	s.lastAnswer.Store(int64(now))
	s.latency.Observe(d)
	s.budget.Success()
}

// unused reports whether the service has no requests in flight or queued.
func (s *service) unused() bool {
	return s.waiting.Load() == 0 && s.attempts.Load() == 0 && s.gate.InFlight() == 0
}
