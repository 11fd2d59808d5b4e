// Package router chooses the executor for an attempt.
package router

import (
	"math/bits"
	"sync/atomic"
)

type (
	// Pool is the executors of one service, nearest first. Its members don't
	// change; those that have room are kept in bit sets, so that a choice takes
	// the same time however many there are. It is safe for concurrent use.
	Pool struct {
		tiers   []tier
		targets []*Target
	}

	// tier is the executors at one distance.
	tier struct {
		targets []*Target
		room    []atomic.Uint64
	}
)

const wordBits = 64

// NewPool gives a pool of targets at rising distances.
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

// Targets gives every executor of the pool.
func (p *Pool) Targets() []*Target { return p.targets }

// Share gives the slots that this entry host may use in all.
func (p *Pool) Share() int {
	n := 0
	for _, t := range p.targets {
		n += t.Share()
	}
	return n
}

// Limit gives the attempts that may be in flight at present, executors that
// get nothing left out.
func (p *Pool) Limit() int {
	n := 0
	for _, t := range p.targets {
		n += int(t.limit())
	}
	return n
}

// Refresh looks again at which executors have room, once the pool is in use.
func (p *Pool) Refresh() {
	for _, t := range p.targets {
		t.refresh()
	}
}

func newTier(targets []*Target) tier {
	t := tier{targets: targets, room: make([]atomic.Uint64, (len(targets)+wordBits-1)/wordBits)}
	for i, m := range targets {
		m.place.Store(&place{word: &t.room[i/wordBits], mask: 1 << (i % wordBits)})
		m.refresh()
	}
	return t
}

// draw gives a random target that has room and is not in tried, or nil. Where some
// have room, each has the same chance.
func (t *tier) draw(r uint64, tried []*Target) *Target {
	total := 0
	for i := range t.room {
		total += bits.OnesCount64(t.room[i].Load())
	}
	for range min(total, len(tried)+2) {
		m := t.nth(int(r % uint64(total)))
		if m != nil && m.hasRoom() && !isTried(m, tried) {
			return m
		}
		r++
	}
	return nil
}

// nth gives the n-th target whose bit is set, or nil where fewer are set by now.
func (t *tier) nth(n int) *Target {
	for i := range t.room {
		w := t.room[i].Load()
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

func isTried(t *Target, tried []*Target) bool {
	for _, o := range tried {
		if o == t {
			return true
		}
	}
	return false
}
