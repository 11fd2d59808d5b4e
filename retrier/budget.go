// Package retrier decides whether and when a request is tried again.
package retrier

import "sync/atomic"

type (
	// Budget bounds the attempts beyond the first ones by a share of the
	// successes, so that retries can't multiply the load when much fails. It
	// is safe for concurrent use.
	Budget struct {
		tokens   atomic.Int64
		capacity atomic.Int64
	}
)

const (
	// Every successSteps successes allow one more attempt.
	successSteps = 10
	minCapacity  = 10
)

// NewBudget gives a full budget of n attempts.
func NewBudget(n int) *Budget {
	b := &Budget{}
	b.SetCapacity(n)
	b.tokens.Store(b.capacity.Load())
	return b
}

// SetCapacity sets the most attempts that are saved up.
func (b *Budget) SetCapacity(n int) { b.capacity.Store(int64(max(n, minCapacity)) * successSteps) }

// Success takes note of a request that was answered at its first attempt or a
// later one.
func (b *Budget) Success() {
	t := b.tokens.Load()
	if t < b.capacity.Load() {
		b.tokens.CompareAndSwap(t, t+1)
	}
}

// Take takes one attempt from the budget, or tells that none is left.
func (b *Budget) Take() bool { return b.takeAbove(0) }

// TakeSpare takes one attempt from the upper half of the budget, for an
// attempt that could be done without; the lower half is kept for retries.
func (b *Budget) TakeSpare() bool { return b.takeAbove(b.capacity.Load() / 2) }

func (b *Budget) takeAbove(floor int64) bool {
	for {
		t := b.tokens.Load()
		if t < floor+successSteps {
			return false
		}
		if b.tokens.CompareAndSwap(t, t-successSteps) {
			return true
		}
	}
}

// Left gives the attempts that the budget allows now.
func (b *Budget) Left() int { return int(b.tokens.Load() / successSteps) }
