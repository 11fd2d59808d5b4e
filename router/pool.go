// Package router chooses the executor for an attempt.
package router

import (
	"math/bits"
	"sync/atomic"
)

type (
	// Pool holds the executors of one service, nearest first; they don't change. Bit sets
	// track which of them have capacity, so that the time to choose one hardly depends on
	// their number. It is safe for concurrent use.
	Pool struct {
		tiers   []tier
		targets []*Target
	}

	// tier holds the executors at one distance.
	tier struct {
		targets []*Target
		// free has a bit for each target, set if it has capacity.
		free []atomic.Uint64
	}
)

const wordBits = 64

// NewPool returns a pool of the targets at each distance, nearest first.
func NewPool(tiers ...[]*Target) *Pool {
	p := &Pool{}
	for _, targets := range tiers {
		if len(targets) > 0 {
			p.tiers = append(p.tiers, newTier(targets))
			p.targets = append(p.targets, targets...)
		}
	}
	return p
}

// Targets returns all executors of the pool, nearest first.
func (p *Pool) Targets() []*Target { return p.targets }

// Share returns the number of slots that this entry host may use at all executors
// together.
func (p *Pool) Share() int {
	n := 0
	for _, t := range p.targets {
		n += t.Share()
	}
	return n
}

// Limit returns how many attempts may be in flight at all executors together at present.
// Closed and leaving executors count as 0.
func (p *Pool) Limit() int {
	n := 0
	for _, t := range p.targets {
		n += int(t.limit())
	}
	return n
}

// Refresh updates the bit sets from the state of the targets. It is called once a new pool
// is in use, to catch changes made while it was being built.
func (p *Pool) Refresh() {
	for _, t := range p.targets {
		t.refresh()
	}
}

func newTier(targets []*Target) tier {
	t := tier{targets: targets, free: make([]atomic.Uint64, (len(targets)+wordBits-1)/wordBits)}
	for i, m := range targets {
		m.freeBit.Store(&bitRef{word: &t.free[i/wordBits], mask: 1 << (i % wordBits)})
		m.refresh()
	}
	return t
}

// sample returns a random target that has capacity and isn't in tried, or nil. All
// targets with capacity are equally likely.
func (t *tier) sample(r uint64, tried []*Target) *Target {
	total := 0
	for i := range t.free {
		total += bits.OnesCount64(t.free[i].Load())
	}
	for range min(total, len(tried)+2) {
		m := t.nthFree(int(r % uint64(total)))
		if m != nil && m.hasCapacity() && !contains(m, tried) {
			return m
		}
		r++
	}
	return nil
}

// nthFree returns the n-th target whose bit is set, or nil if fewer bits are set by now.
func (t *tier) nthFree(n int) *Target {
	for i := range t.free {
		w := t.free[i].Load()
		c := bits.OnesCount64(w)
		if n >= c {
			n -= c
			continue
		}
		for range n {
			w &= w - 1
		}
		return t.targets[i*wordBits+bits.TrailingZeros64(w)]
	}
	return nil
}

func contains(t *Target, tried []*Target) bool {
	for _, o := range tried {
		if o == t {
			return true
		}
	}
	return false
}
