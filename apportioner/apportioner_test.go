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

func sharesOf(t *Table, entries []Entry, address, dataCentre string, units int) []int {
	var shares []int
	for _, e := range entries {
		shares = append(shares, t.Share(e.Name(), address, dataCentre, units))
	}
	return shares
}

// Whatever the hosts, shares add up to what there is, none is negative, and the order of
// the list of hosts makes no difference.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		dataCentres := rapid.IntRange(1, 8).Draw(r, "data centres")
		entries := entriesOf(rapid.IntRange(1, 60).Draw(r, "entries"), dataCentres)
		pool := Pool{}
		for i := range dataCentres {
			pool[fmt.Sprint("d", i)] = rapid.IntRange(0, 1000).Draw(r, "pool")
		}
		units := rapid.IntRange(0, 64).Draw(r, "units")
		a := NewTable(entries, pool)
		b := NewTable(rapid.Permutation(entries).Draw(r, "order"), pool)
		for k := range 20 {
			dataCentre := fmt.Sprint("d", k%(dataCentres+1))
			shares := sharesOf(a, entries, fmt.Sprint("x", k), dataCentre, units)
			must.Eq(t, shares, sharesOf(b, entries, fmt.Sprint("x", k), dataCentre, units))
			must.False(t, overrun(shares, units))
			sum := 0
			for _, s := range shares {
				must.GreaterEq(t, 0, s)
				sum += s
			}
			must.Eq(t, units, sum)
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
			pool := Pool{}
			for k := range tc.executors {
				pool[fmt.Sprint("d", k%tc.dataCentres)] += slots
			}
			table := NewTable(entries, pool)
			totals, local := make([]int, tc.entries), make([]int, tc.entries)
			for k := range tc.executors {
				dataCentre := fmt.Sprint("d", k%tc.dataCentres)
				for i, s := range sharesOf(table, entries, fmt.Sprint("x", k), dataCentre, slots) {
					totals[i] += s
					if entries[i].dataCentre == dataCentre {
						local[i] += s
					}
				}
			}
			exact := float64(tc.executors*slots) / float64(tc.entries)
			for i := range entries {
				must.Between(t, 0.85*exact, float64(totals[i]), 1.15*exact)
				must.Greater(t, totals[i]/tc.dataCentres, local[i])
			}
		})
	}
}
