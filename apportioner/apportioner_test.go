package apportioner

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func entriesOf(n, dataCentres int) []Entry {
	entries := make([]Entry, n)
	for i := range n {
		entries[i] = NewEntry(fmt.Sprint("e", i), fmt.Sprint("d", i%dataCentres))
	}
	return entries
}

// overrun tells whether the shares of an executor are more than it has.
func overrun(shares []int, units int) bool {
	sum := 0
	for _, s := range shares {
		sum += s
	}
	return sum > units
}

func executorsOf(n, dataCentres, units int) []Executor {
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

// Whatever the hosts, shares add up to what there is, and the order of the
// lists makes no difference.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		dataCentres := rapid.IntRange(1, 8).Draw(r, "data centres")
		entries := entriesOf(rapid.IntRange(1, 60).Draw(r, "entries"), dataCentres)
		executors := executorsOf(rapid.IntRange(0, 40).Draw(r, "executors"), dataCentres, 0)
		for i := range executors {
			executors[i].units = rapid.IntRange(0, 64).Draw(r, "units")
		}
		a := NewTable(entries, executors)
		b := NewTable(rapid.Permutation(entries).Draw(r, "order"), rapid.Permutation(executors).Draw(r, "order"))
		for _, e := range executors {
			shares := sharesOf(a, entries, e.address)
			must.Eq(t, shares, sharesOf(b, entries, e.address))
			must.False(t, overrun(shares, e.units))
			sum := 0
			for _, s := range shares {
				sum += s
			}
			must.Eq(t, e.units, sum)
		}
	})
}

// The check for too many slots finds a rule that gives each host its part rounded up.
func TestOverrunIsFound(t *testing.T) {
	const entries, units = 7, 8
	var shares []int
	for range entries {
		shares = append(shares, (units+entries-1)/entries)
	}
	must.True(t, overrun(shares, units))
}

// Each entry host gets as many slots as any other, and most of them nearby.
func TestSharesAreBalanced(t *testing.T) {
	tests := map[string]struct{ entries, dataCentres, executors int }{
		"crossguard": {entries: 7, dataCentres: 3, executors: 50},
		"sorica":     {entries: 7, dataCentres: 3, executors: 65},
		"two years":  {entries: 40, dataCentres: 8, executors: 1000},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			const slots = 8
			entries := entriesOf(tc.entries, tc.dataCentres)
			executors := executorsOf(tc.executors, tc.dataCentres, slots)
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
