// Package apportioner divides the slots and connections of an executor among
// the entry hosts that are alive, so that their requests together never exceed
// what it has. Every entry host works the shares out by itself; hosts that see
// the same list come to the same shares.
package apportioner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	// Entry is an entry host that is alive.
	Entry struct {
		name       string
		dataCentre string
	}

	claim struct {
		entry     int
		units     int
		remainder int
		rank      uint64
	}
)

const (
	// localWeight is the weight of an entry host in the executor's own data
	// centre; that of any other is remoteWeight.
	localWeight  = 4
	remoteWeight = 1
)

// NewEntry gives an entry host by its name and data centre.
func NewEntry(name, dataCentre string) Entry { return Entry{name: name, dataCentre: dataCentre} }

// Name gives the host's name.
func (e Entry) Name() string { return e.name }

// Shares divides units of what the executor at an address in a data centre has.
// The shares add up to units, wherever there is an entry host. Entry hosts of the executor's own data
// centre get the larger part. What doesn't divide goes by a hash of the address and the
// entry host, so that a host that comes or goes moves few units.
func Shares(address, dataCentre string, units int, entries []Entry) []int {
	shares := make([]int, len(entries))
	claims := claimsOf(address, dataCentre, units, entries)
	left := units
	for _, c := range claims {
		shares[c.entry] = c.units
		left -= c.units
	}
	slices.SortFunc(claims, byRemainder)
	for i := range min(left, len(claims)) {
		shares[claims[i].entry]++
	}
	return shares
}

func claimsOf(address, dataCentre string, units int, entries []Entry) []claim {
	total := 0
	for _, e := range entries {
		total += weightOf(e, dataCentre)
	}
	claims := make([]claim, len(entries))
	for i, e := range entries {
		quota := units * weightOf(e, dataCentre)
		claims[i] = claim{entry: i, units: quota / total, remainder: quota % total, rank: rankOf(address, e.name)}
	}
	return claims
}

func weightOf(e Entry, dataCentre string) int {
	if e.dataCentre == dataCentre {
		return localWeight
	}
	return remoteWeight
}

func rankOf(address, entry string) uint64 { return xxhash.Sum64String(address + "\x00" + entry) }

func byRemainder(a, b claim) int {
	return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.rank, b.rank))
}
