package router

import "galenawharf.example/galenawharf/clock"

const (
	// A cost or latency is much higher than another one if it is more than
	// muchHigherNumerator/muchHigherDenominator times as high. A farther target is
	// preferred to a near one whose cost is much higher. A target counts as overloaded if
	// its latency is much higher than the mean of the service.
	muchHigherNumerator   = 3
	muchHigherDenominator = 2

	// maxAcquireTries is how often a Pick chooses a target; a concurrent Pick may take the
	// last slot of a target after it was chosen.
	maxAcquireTries = 4
	// splitmixIncrement is the odd number nearest to 2^64 divided by the golden ratio.
	splitmixIncrement = 0x9e3779b97f4a7c15
)

// Pick acquires a slot at an executor that has capacity and isn't in tried; it returns
// nil if there is none. Of two random executors at the nearest distance it chooses the
// one with the lower cost (power of two choices). Executors at the next distance are
// considered if the nearer ones are full, or if the one chosen has requests waiting or is
// much slower than meanLatency, the mean of the service; they are preferred to the one
// chosen only if they are much cheaper. r is a random number.
func (p *Pool) Pick(r uint64, meanLatency clock.Millis, tried []*Target) *Target {
	for range maxAcquireTries {
		t := p.candidate(r, meanLatency, tried)
		if t == nil {
			return nil
		}
		if t.Acquire() {
			return t
		}
		r = Mix(r)
	}
	return nil
}

// candidate returns the target that Pick tries to acquire, or nil.
func (p *Pool) candidate(r uint64, meanLatency clock.Millis, tried []*Target) *Target {
	var best *Target
	for i := range p.tiers {
		r = Mix(r)
		t := p.tiers[i].cheaperOfTwo(r, tried)
		if t == nil {
			continue
		}
		if best == nil || muchCheaper(best, t) {
			best = t
		}
		if !best.overloaded(meanLatency) {
			return best
		}
	}
	return best
}

// cheaperOfTwo returns the target with the lower cost of two random ones with capacity,
// or nil.
func (t *tier) cheaperOfTwo(r uint64, tried []*Target) *Target {
	a := t.sample(r, tried)
	if a == nil {
		return nil
	}
	b := t.sample(Mix(r), tried)
	if b != nil && b.cost() < a.cost() {
		return b
	}
	return a
}

// overloaded reports whether a target has requests waiting or is much slower than the
// mean latency of the service.
func (t *Target) overloaded(meanLatency clock.Millis) bool {
	return t.waiting.Load() > 0 || t.latency.Load()*muchHigherDenominator > int64(meanLatency)*latencyUnit*muchHigherNumerator
}

// muchCheaper reports whether a farther target is so much cheaper than a near one that it
// is preferred.
func muchCheaper(near, far *Target) bool {
	return near.cost()*muchHigherDenominator > far.cost()*muchHigherNumerator
}

// Mix returns the successor of r in a series of random numbers (splitmix64).
func Mix(r uint64) uint64 {
	r += splitmixIncrement
	r = (r ^ (r >> 30)) * 0xbf58476d1ce4e5b9
	r = (r ^ (r >> 27)) * 0x94d049bb133111eb
	return r ^ (r >> 31)
}
