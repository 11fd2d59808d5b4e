package claimer

import (
	"galenawharf.example/galenawharf/clock"
)

type (
	// Authority is the right to act for a shard.
	Authority struct {
		epoch   int64
		until   clock.Millis
		clearAt clock.Millis
	}

	// authorities is what a daemon held when it was made, by shard. It never
	// changes.
	authorities map[string]Authority
)

// Epoch gives the epoch of the claim, which fences every order.
func (a Authority) Epoch() int64 { return a.epoch }

// Until gives when the authority ends unless it is renewed. No lease of
// exclusive work may reach beyond it.
func (a Authority) Until() clock.Millis { return a.until }

// ClearAt gives from when on no earlier holder can have authority. Until then
// a worker that has not answered an inventory may be given orders by one, so
// that leases there count as extended up to that time.
func (a Authority) ClearAt() clock.Millis { return a.clearAt }

func (s authorities) at(shard string, now clock.Millis) (Authority, bool) {
	a, held := s[shard]
	return a, held && now < a.until
}
