// Package limiter decides which requests go on, which wait and which are
// refused.
package limiter

import (
	"sync/atomic"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
)

type (
	// Gate keeps the declared limits of a service: requests in flight and
	// requests accepted in a second. It is safe for concurrent use.
	Gate struct {
		concurrent atomic.Int64
		interval   atomic.Int64
		inFlight   atomic.Int64
		next       atomic.Int64
	}
)

const (
	microsPerMilli  = 1000
	microsPerSecond = 1_000_000
	// burst is how long a service that was idle may run ahead of its rate.
	burst = 100 * clock.Millis(microsPerMilli)
)

// NewGate gives a gate with the declared limits of a service.
func NewGate(l declarer.RequestLimits) *Gate {
	g := &Gate{}
	g.SetLimits(l)
	return g
}

// SetLimits replaces the limits.
func (g *Gate) SetLimits(l declarer.RequestLimits) {
	g.concurrent.Store(int64(l.Concurrent))
	g.interval.Store(microsPerSecond / int64(max(l.PerSecond, 1)))
}

// Enter lets a request in, or tells that the limits don't allow it now.
func (g *Gate) Enter(now clock.Millis) bool {
	if g.inFlight.Add(1) > g.concurrent.Load() || !g.take(now) {
		g.inFlight.Add(-1)
		return false
	}
	return true
}

// Leave ends a request that was let in.
func (g *Gate) Leave() { g.inFlight.Add(-1) }

// InFlight gives the requests that are in.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }

// Concurrent gives the most requests that may be in.
func (g *Gate) Concurrent() int64 { return g.concurrent.Load() }

// Interval gives the least time between two requests in the long run, in
// microseconds.
func (g *Gate) Interval() int64 { return g.interval.Load() }

// take moves on the time at which the next request conforms to the rate (the generic cell rate
// algorithm), in microseconds.
func (g *Gate) take(now clock.Millis) bool {
	micros := int64(now) * microsPerMilli
	for {
		next := g.next.Load()
		if next-micros > int64(burst) {
			return false
		}
		if g.next.CompareAndSwap(next, max(next, micros)+g.interval.Load()) {
			return true
		}
	}
}
