// Package apportioner divides the slots and connections of an executor among
// the entry hosts that are alive, so that their requests together never exceed
// what it has. Every entry host works the shares out by itself; hosts that see
// the same lists come to the same shares.
package apportioner

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	// Entry is an entry host that is alive.
	Entry struct {
		name       string
		dataCentre string
	}
)

// NewEntry gives an entry host by its name and data centre.
func NewEntry(name, dataCentre string) Entry { return Entry{name: name, dataCentre: dataCentre} }

// Name gives the host's name.
func (e Entry) Name() string { return e.name }

// Share gives the units of what the executor at an address in a data centre
// has that an entry host may use, 0 for one that is not in the table. The shares of all entry hosts add up to
// units. Each is the exact part rounded up or down; which of them is chosen by
// a hash of the address such that over many executors neither is favoured
// (systematic sampling).
func (t *Table) Share(entry, address, dataCentre string, units int) int {
	i, known := slices.BinarySearchFunc(t.entries, entry, func(e Entry, name string) int { return cmp.Compare(e.name, name) })
	if !known {
		return 0
	}
	sums := t.sumsOf(dataCentre)
	offset := fraction(xxhash.Sum64String(address))
	return upTo(sums, i, units, offset) - upTo(sums, i-1, units, offset)
}

// upTo gives the units of the entry hosts up to the i-th together.
func upTo(sums []float64, i, units int, offset float64) int {
	if i < 0 {
		return 0
	}
	last := len(sums) - 1
	if i == last {
		return units
	}
	return min(int(math.Floor(sums[i]/sums[last]*float64(units)+offset)), units)
}

// fraction gives a number from 0 to less than 1 by a hash.
func fraction(h uint64) float64 { return float64(h>>11) / (1 << 53) }
