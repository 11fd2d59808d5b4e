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
	// service is what is kept of a service across views.
	service struct {
		gate       *limiter.Gate
		budget     *retrier.Budget
		latency    router.Latency
		waiting    atomic.Int64
		attempts   atomic.Int64
		lastAnswer atomic.Int64
	}

	// route is how a service is reached in one view.
	route struct {
		*service
		name     string
		priority int
		queue    int
		target   clock.Millis
		pool     *router.Pool
	}

	// snapshot is what a request needs to know of the view. It never changes.
	snapshot struct {
		routes map[string]*route
	}
)

func newService(l declarer.RequestLimits) *service {
	return &service{gate: limiter.NewGate(l), budget: retrier.NewBudget(0)}
}

// pace gives how fast requests to the service are served.
func (s *service) pace() limiter.Pace {
	interval := s.gate.Interval()
	n := s.attempts.Load()
	if n > 0 {
		interval = max(interval, s.latency.MeanMicros()/n)
	}
	return limiter.NewPace(interval, s.latency.P95())
}

// answered takes note of an answer after d.
func (s *service) answered(now, d clock.Millis) {
	s.lastAnswer.Store(int64(now))
	s.latency.Observe(d)
	s.budget.Success()
}

// unused tells whether no request to the service is in flight.
func (s *service) unused() bool {
	return s.waiting.Load() == 0 && s.attempts.Load() == 0 && s.gate.InFlight() == 0
}
