package claimer

import (
	"galenawharf.example/galenawharf/clock"
)

type (
	// Authority is the right to give orders to the workers of a shard until a time on
	// the daemon's own clock.
	Authority struct {
		epoch   int64
		until   clock.Millis
		clearAt clock.Millis
	}

	// authorityByShard is an immutable snapshot of the authorities that a daemon
	// holds, by shard name.
	authorityByShard map[string]Authority
)

// Epoch returns the epoch of the claim, which is the fencing token of every order.
func (a Authority) Epoch() int64 { return a.epoch }

// Until returns the time at which the authority ends unless it is renewed. No lease of
// exclusive work may end later.
func (a Authority) Until() clock.Millis { return a.until }

// ClearAt returns the time from which no earlier holder can have authority. Until then,
// an earlier holder may still give orders to a worker that has not answered an inventory
// request of this one, so leases on that worker must be assumed to last until ClearAt.
func (a Authority) ClearAt() clock.Millis { return a.clearAt }

func (s authorityByShard) validAt(shard string, now clock.Millis) (Authority, bool) {
	a, held := s[shard]
	return a, held && now < a.until
}
