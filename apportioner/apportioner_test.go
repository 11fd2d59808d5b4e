package apportioner

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func newEntries(n, dataCentres int) []Entry {
	entries := make([]Entry, n)
	for i := range n {
		entries[i] = NewEntry(fmt.Sprint("e", i), fmt.Sprint("d", i%dataCentres))
	}
	return entries
}

// exceedsUnits reports whether the shares of an executor add up to more than its units.
func exceedsUnits(shares []int, units int) bool {
	sum := 0
	for _, s := range shares {
		sum += s
	}
	return sum > units
}

func newExecutors(n, dataCentres, units int) []Executor {
	executors := make([]Executor, n)
	for i := range n {
		executors[i] = NewExecutor(fmt.Sprint("x", i), fmt.Sprint("d", i%dataCentres), units)
	}
	return executors
}

func sharesOf(t *Table, entries []Entry, address string) []int {
	var shares []int
	for _, e := range entries {
		shares = append(shares, t.Share(e.name, address))
	}
	return shares
}

// TestSharesAddUp checks with random hosts that the shares of each executor add up to its
// units, and that the order of the lists makes no difference.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		dataCentres := rapid.IntRange(1, 8).Draw(r, "data centres")
		entries := newEntries(rapid.IntRange(1, 60).Draw(r, "entries"), dataCentres)
		executors := newExecutors(rapid.IntRange(0, 40).Draw(r, "executors"), dataCentres, 0)
		for i := range executors {
			executors[i].units = rapid.IntRange(0, 64).Draw(r, "units")
		}
		a := NewTable(entries, executors)
		b := NewTable(rapid.Permutation(entries).Draw(r, "order"), rapid.Permutation(executors).Draw(r, "order"))
		for _, e := range executors {
			shares := sharesOf(a, entries, e.address)
			must.Eq(t, shares, sharesOf(b, entries, e.address))
			must.False(t, exceedsUnits(shares, e.units))
			sum := 0
			for _, s := range shares {
				sum += s
			}
			must.Eq(t, e.units, sum)
		}
	})
}

// TestExceedsUnitsDetectsViolation checks the helper of TestSharesAddUp: rounding all
// shares up must be detected.
func TestExceedsUnitsDetectsViolation(t *testing.T) {
	const entries, units = 7, 8
	var shares []int
	for range entries {
		shares = append(shares, (units+entries-1)/entries)
	}
	must.True(t, exceedsUnits(shares, units))
}

// TestSharesBalancedAndLocal checks that the entry hosts get equal totals, and more slots
// in their own data centre than an even spread would give them.
func TestSharesBalancedAndLocal(t *testing.T) {
	tests := map[string]struct{ entries, dataCentres, executors int }{
		"crossguard":            {entries: 7, dataCentres: 3, executors: 50},
		"sorica":                {entries: 7, dataCentres: 3, executors: 65},
		"expected in two years": {entries: 40, dataCentres: 8, executors: 1000},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			const slots = 8
			entries := newEntries(tc.entries, tc.dataCentres)
			executors := newExecutors(tc.executors, tc.dataCentres, slots)
			table := NewTable(entries, executors)
			totals, local := make([]int, tc.entries), make([]int, tc.entries)
			for _, x := range executors {
				for i, s := range sharesOf(table, entries, x.address) {
					totals[i] += s
					if entries[i].dataCentre == x.dataCentre {
						local[i] += s
					}
				}
			}
			exact := float64(tc.executors*slots) / float64(tc.entries)
			for i := range entries {
				must.Between(t, exact-2, float64(totals[i]), exact+2)
				must.Greater(t, totals[i]/tc.dataCentres, local[i])
			}
		})
	}
}
