package keeper

import "galenawharf.example/galenawharf/clock"

type (
	// Authority is what a keeper may do at a moment.
	Authority struct {
		epoch  int64
		until  clock.Millis
		starts bool
		// clearAt is from when on no earlier owner can have authority.
		clearAt clock.Millis
	}
)

// NoAuthority is that of a keeper whose shard another daemon owns.
func NoAuthority() Authority { return Authority{epoch: -1} }

// NewAuthority gives that of an owner: its epoch, when it ends by the owner's
// clock if nothing renews it, and whether anything may start in the data
// centre.
func NewAuthority(epoch int64, until clock.Millis, starts bool) Authority {
	return Authority{epoch: epoch, until: until, starts: starts}
}

// ClearAt gives the authority with the time from when on no earlier owner can
// have any. Until then one may extend leases on workers that have not yet been
// asked under the new epoch.
func (a Authority) ClearAt(at clock.Millis) Authority {
	a.clearAt = at
	return a
}

// Epoch gives the offset of the claim, -1 for none.
func (a Authority) Epoch() int64 { return a.epoch }

// Until gives when it ends.
func (a Authority) Until() clock.Millis { return a.until }

// Starts tells whether anything may start.
func (a Authority) Starts() bool { return a.starts }

func (a Authority) holds(now clock.Millis) bool { return a.epoch >= 0 && now < a.until }
