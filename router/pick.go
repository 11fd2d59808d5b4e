package router

import "galenawharf.example/galenawharf/clock"

const (
	// A near target is passed over for a farther one only if it costs more
	// than spillNumerator/spillDenominator of that.
	spillNumerator   = 3
	spillDenominator = 2

	maxDraws = 4
	// golden is the odd number nearest to 2^64 divided by the golden ratio.
	golden = 0x9e3779b97f4a7c15
)

// Pick begins an attempt at an executor that has room and was not tried, or
// gives nil. Of two drawn at random the less costly is taken (power of two
// choices), at the nearest distance; one of the next distance is taken where
// the nearer are full, have requests waiting, or are far slower than usual. r is a random
// number, and usual the usual latency of the service.
func (p *Pool) Pick(r uint64, usual clock.Millis, tried []*Target) *Target {
	for range maxDraws {
		t := p.choose(r, usual, tried)
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

func (p *Pool) choose(r uint64, usual clock.Millis, tried []*Target) *Target {
	var best *Target
	for i := range p.tiers {
		r = Mix(r)
		t := p.tiers[i].lessCostly(r, tried)
		if t == nil {
			continue
		}
		if best == nil || spills(best, t) {
			best = t
		}
		if !best.strained(usual) {
			return best
		}
	}
	return best
}

// lessCostly gives the better of two random targets that have room.
func (t *tier) lessCostly(r uint64, tried []*Target) *Target {
	a := t.draw(r, tried)
	if a == nil {
		return nil
	}
	b := t.draw(Mix(r), tried)
	if b != nil && b.cost() < a.cost() {
		return b
	}
	return a
}

// strained tells whether a target answers far slower than usual or has
// requests waiting.
func (t *Target) strained(usual clock.Millis) bool {
	return t.waiting.Load() > 0 || t.latency.Load()*spillDenominator > int64(usual)*latencyUnit*spillNumerator
}

func spills(near, far *Target) bool {
	return near.cost()*spillDenominator > far.cost()*spillNumerator
}

// Mix gives the next of a series of random numbers (splitmix64).
func Mix(r uint64) uint64 {
	r += golden
	r = (r ^ (r >> 30)) * 0xbf58476d1ce4e5b9
	r = (r ^ (r >> 27)) * 0x94d049bb133111eb
	return r ^ (r >> 31)
}
