// Package retrier decides whether and when a request is retried.
package retrier

import "sync/atomic"

type (
	// Budget is a retry budget: it limits retries and hedges to a share of the successes,
	// so that they can't multiply the load during an outage. It is safe for concurrent
	// use.
	Budget struct {
		// tokens is the number of tokens left: a success adds one, a retry or hedge costs
		// retryCost. capacity is the maximum.
		tokens   atomic.Int64
		capacity atomic.Int64
	}
)

const (
	// retryCost is the number of tokens that a retry or hedge costs, so that both together
	// stay below a tenth of the successes in the long run.
	retryCost = 10
	// minCapacity is the smallest capacity of a budget, in retries.
	minCapacity = 10
)

// NewBudget returns a full budget with a capacity of n retries, at least 10.
func NewBudget(n int) *Budget {
	b := &Budget{}
	b.SetCapacity(n)
	b.tokens.Store(b.capacity.Load())
	return b
}

// SetCapacity sets the number of retries that a full budget allows; values below 10 count
// as 10.
func (b *Budget) SetCapacity(n int) { b.capacity.Store(int64(max(n, minCapacity)) * retryCost) }

// Success adds one token for a request that was answered, be it at the first attempt or a
// later one.
func (b *Budget) Success() {
	t := b.tokens.Load()
	if t < b.capacity.Load() {
		b.tokens.CompareAndSwap(t, t+1)
	}
}

// Take takes the tokens of one retry and reports whether there were enough.
func (b *Budget) Take() bool { return b.takeAbove(0) }

// TakeOptional is Take for optional attempts, such as hedges: it takes only from the upper
// half of the budget and leaves the lower half for retries.
func (b *Budget) TakeOptional() bool { return b.takeAbove(b.capacity.Load() / 2) }

func (b *Budget) takeAbove(reserve int64) bool {
	for {
		t := b.tokens.Load()
		if t < reserve+retryCost {
			return false
		}
		if b.tokens.CompareAndSwap(t, t-retryCost) {
			return true
		}
	}
}

// Left returns the number of retries that the budget allows now.
func (b *Budget) Left() int { return int(b.tokens.Load() / retryCost) }
