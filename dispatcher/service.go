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
		slots      atomic.Int64
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

// pace gives how fast requests to the service are served while requests wait,
// when every slot that may be used is.
func (s *service) pace() limiter.Pace {
	n := max(min(s.slots.Load(), s.gate.Concurrent()), 1)
	return limiter.NewPace(max(s.gate.Interval(), s.latency.MeanMicros()/n), s.latency.P95())
}

// measure takes note of the slots that may be used at present.
func (r *route) measure() { r.slots.Store(int64(r.pool.Limit())) }

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
