package retrier

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
)

// overBudget reports whether more retries were taken than the capacity plus a tenth of the
// successes.
func overBudget(taken, successes, capacity int) bool { return taken > capacity+successes/retryCost }

func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		capacity := rapid.IntRange(0, 100).Draw(r, "capacity")
		b := NewBudget(capacity)
		taken, successes := 0, 0
		for range 500 {
			if rapid.Bool().Draw(r, "success") {
				b.Success()
				successes++
				continue
			}
			if rapid.Bool().Draw(r, "spare") {
				left := b.Left()
				if b.TakeOptional() {
					taken++
					must.Greater(t, max(capacity, minCapacity)/2, left)
				}
				continue
			}
			if b.Take() {
				taken++
			}
			must.False(t, overBudget(taken, successes, max(capacity, minCapacity)))
		}
		must.GreaterEq(t, 0, b.Left())
	})
}

// TestOverBudgetDetectsViolation checks the helper of TestBudgetBound: three retries
// for every success must exceed the budget.
func TestOverBudgetDetectsViolation(t *testing.T) {
	must.True(t, overBudget(3*100, 100, minCapacity))
}

func TestBackoff(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(0, 100).Draw(r, "n")
		p := Backoff(n, rapid.Uint64().Draw(r, "r"))
		must.Between(t, 0, p, baseBackoff<<MaxAttempts)
	})
	must.Eq(t, Backoff(1, 3), Backoff(1, 3))
}

func TestJitter(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		d := clock.Millis(rapid.IntRange(0, 10_000).Draw(r, "d"))
		must.Between(t, d, Jitter(d, rapid.Uint64().Draw(r, "r")), d+d/2)
	})
}
