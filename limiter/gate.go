// Package limiter has the parts of admission control: rate and concurrency limits, fair
// queues and adaptive concurrency windows.
package limiter

import (
	"sync/atomic"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
)

type (
	// Gate enforces the declared limits of a service: requests in flight and requests per
	// second. It is safe for concurrent use.
	Gate struct {
		concurrent atomic.Int64
		// interval is the time between requests at the maximum rate in microseconds.
		interval atomic.Int64
		inFlight atomic.Int64
		// arrival is the theoretical arrival time of the next request in microseconds.
		arrival atomic.Int64
	}
)

const (
	microsPerMilli  = 1000
	microsPerSecond = 1_000_000
	// burstMicros is the burst that a service may send after being idle, as a time in
	// microseconds: the requests of 100 ms at the maximum rate.
	burstMicros = 100 * clock.Millis(microsPerMilli)
)

// NewGate returns a gate with the given limits.
func NewGate(l declarer.RequestLimits) *Gate {
	g := &Gate{}
	g.SetLimits(l)
	return g
}

// SetLimits replaces the limits. Requests in flight are not affected.
func (g *Gate) SetLimits(l declarer.RequestLimits) {
	g.concurrent.Store(int64(l.Concurrent))
	g.interval.Store(microsPerSecond / int64(max(l.PerSecond, 1)))
}

// Enter admits a request if the limits allow it, and reports whether it did. Leave must
// be called for each admitted request.
func (g *Gate) Enter(now clock.Millis) bool {
	if g.inFlight.Add(1) > g.concurrent.Load() || !g.admitRate(now) {
		g.inFlight.Add(-1)
		return false
	}
	return true
}

// Leave ends a request that Enter admitted.
func (g *Gate) Leave() { g.inFlight.Add(-1) }

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }

// Concurrent returns the maximum number of requests in flight.
func (g *Gate) Concurrent() int64 { return g.concurrent.Load() }

// Interval returns the time between requests at the maximum rate, in microseconds.
func (g *Gate) Interval() int64 { return g.interval.Load() }

// admitRate reports whether a request at now conforms to the rate, and counts it if it
// does (generic cell rate algorithm).
func (g *Gate) admitRate(now clock.Millis) bool {
	micros := int64(now) * microsPerMilli
	for {
		next := g.arrival.Load()
		if next-micros > int64(burstMicros) {
			return false
		}
		if g.arrival.CompareAndSwap(next, max(next, micros)+g.interval.Load()) {
			return true
		}
	}
}
