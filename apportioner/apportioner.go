// Package apportioner divides the slots and connections of executors among the
// entry hosts that are alive, so that their requests together never exceed
// what there is. Every entry host works the shares out by itself; hosts that
// see the same lists come to the same shares.
package apportioner

import (
	"cmp"
	"math"
	"slices"
)

type (
	// Entry is an entry host that is alive.
	Entry struct {
		name       string
		dataCentre string
	}

	// Executor is an executor and the units of it that are shared.
	Executor struct {
		address    string
		dataCentre string
		units      int
	}

	// Table holds the share of each entry host in each executor. It never
	// changes.
	Table struct {
		entries   []Entry
		executors []Executor
		shares    [][]uint16
	}
)

// NewEntry gives an entry host by its name and data centre.
func NewEntry(name, dataCentre string) Entry { return Entry{name: name, dataCentre: dataCentre} }

// NewExecutor gives an executor in a data centre that has units of something.
func NewExecutor(address, dataCentre string, units int) Executor {
	return Executor{address: address, dataCentre: dataCentre, units: min(max(units, 0), math.MaxUint16)}
}

// NewTable divides the units of each executor among the entry hosts. The shares
// in an executor add up to its units. Each is the exact part rounded up or
// down; what rounding leaves goes to the entry hosts that are furthest behind in
// total, so that the totals differ from each other by little. The order of the lists makes
// no difference.
func NewTable(entries []Entry, executors []Executor) *Table {
	t := &Table{entries: slices.Clone(entries), executors: slices.Clone(executors)}
	slices.SortFunc(t.entries, func(a, b Entry) int { return cmp.Compare(a.name, b.name) })
	slices.SortFunc(t.executors, func(a, b Executor) int { return cmp.Compare(a.address, b.address) })
	pool := map[string]int{}
	for _, e := range t.executors {
		pool[e.dataCentre] += e.units
	}
	var dataCentres []string
	for d, units := range pool {
		if units > 0 {
			dataCentres = append(dataCentres, d)
		}
	}
	slices.Sort(dataCentres)
	t.divide(newWeights(t.entries, dataCentres, pool))
	return t
}

// Share gives the units of the executor at an address that an entry host may
// use, 0 for one that is not in the table.
func (t *Table) Share(entry, address string) int {
	i, known := slices.BinarySearchFunc(t.entries, entry, func(e Entry, name string) int { return cmp.Compare(e.name, name) })
	if !known {
		return 0
	}
	k, known := slices.BinarySearchFunc(t.executors, address, func(e Executor, a string) int { return cmp.Compare(e.address, a) })
	if !known {
		return 0
	}
	return int(t.shares[k][i])
}

func (t *Table) divide(w *weights) {
	parts := make([]float64, len(t.entries))
	behind := make([]float64, len(t.entries))
	order := make([]int, len(t.entries))
	for _, e := range t.executors {
		row := make([]uint16, len(t.entries))
		if e.units > 0 {
			k, _ := slices.BinarySearch(w.dataCentres, e.dataCentre)
			w.exact(k, e.units, parts)
			round(row, e.units, parts, behind, order)
		}
		t.shares = append(t.shares, row)
	}
}

// round gives each entry host the whole part of its units, and one more to
// those furthest behind until all are given. behind is what each
// got too little so far; order is scratch space.
func round(row []uint16, units int, parts, behind []float64, order []int) {
	left := units
	for i, p := range parts {
		row[i] = uint16(min(int(p), left))
		left -= int(row[i])
		behind[i] += p - float64(row[i])
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(behind[b], behind[a]), cmp.Compare(a, b)) })
	for _, i := range order[:left] {
		row[i]++
		behind[i]--
	}
}
