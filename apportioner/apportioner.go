// Package apportioner divides the slots and connections of executors among the live entry
// hosts, so that their requests together never exceed them. Each entry host computes the
// shares on its own; the computation is deterministic, so hosts with the same lists get
// the same shares.
package apportioner

import (
	"cmp"
	"math"
	"slices"
)

type (
	// Entry is a live entry host.
	Entry struct {
		name       string
		dataCentre string
	}

	// Executor is an executor and how many units (slots or connections) of it are divided
	// among the entry hosts.
	Executor struct {
		address    string
		dataCentre string
		units      int
	}

	// Table holds the share of each entry host in each executor. It is immutable.
	Table struct {
		// entries are sorted by name, executors by address.
		entries   []Entry
		executors []Executor
		// shares has a row for each executor and a column for each entry host.
		shares [][]uint16
	}
)

// NewEntry returns an entry host with a name, in a data centre.
func NewEntry(name, dataCentre string) Entry { return Entry{name: name, dataCentre: dataCentre} }

// NewExecutor returns an executor in a data centre. units is limited to 0 to 65535.
func NewExecutor(address, dataCentre string, units int) Executor {
	return Executor{address: address, dataCentre: dataCentre, units: min(max(units, 0), math.MaxUint16)}
}

// NewTable divides the units of each executor among the entry hosts. The shares in an
// executor add up to its units. Each share is the exact value rounded up or down; the
// rounding carries over from executor to executor, so that the totals of the entry hosts
// differ little. The order of the lists makes no difference.
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

// Share returns how many units of the executor at an address an entry host may use; 0 if
// either is not in the table.
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

// divide computes the shares in each executor from the weights of its data centre.
func (t *Table) divide(w *weights) {
	parts := make([]float64, len(t.entries))
	deficits := make([]float64, len(t.entries))
	order := make([]int, len(t.entries))
	for _, e := range t.executors {
		row := make([]uint16, len(t.entries))
		if e.units > 0 {
			k, _ := slices.BinarySearch(w.dataCentres, e.dataCentre)
			w.exact(k, e.units, parts)
			roundShares(row, e.units, parts, deficits, order)
		}
		t.shares = append(t.shares, row)
	}
}

// roundShares rounds the exact shares in parts to row, so that they add up to units:
// rounded down first, then one more for the entry hosts with the largest deficits.
// deficits is how much less than its exact shares each entry host got so far; order is
// scratch space.
func roundShares(row []uint16, units int, parts, deficits []float64, order []int) {
	remaining := units
	for i, p := range parts {
		row[i] = uint16(min(int(p), remaining))
		remaining -= int(row[i])
		deficits[i] += p - float64(row[i])
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(deficits[b], deficits[a]), cmp.Compare(a, b)) })
	for _, i := range order[:remaining] {
		row[i]++
		deficits[i]--
	}
}
