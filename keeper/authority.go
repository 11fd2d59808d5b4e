package keeper

import "galenawharf.example/galenawharf/clock"

type (
	// Authority is the right of a shard's owner to act for the shard until a time. The
	// owner renews it.
	Authority struct {
		epoch int64
		until clock.Millis
		// starts is whether tasks may start in the data centre.
		starts bool
		// earlierExpiredAt is when the authority of every earlier owner has expired.
		earlierExpiredAt clock.Millis
	}
)

// NoAuthority returns the authority of a keeper whose shard another daemon owns.
func NoAuthority() Authority { return Authority{epoch: -1} }

// NewAuthority returns the authority of an owner: its epoch, when it expires by the
// owner's clock unless renewed, and whether tasks may start in the data centre.
func NewAuthority(epoch int64, until clock.Millis, starts bool) Authority {
	return Authority{epoch: epoch, until: until, starts: starts}
}

// WithEarlierExpiry returns a copy of the authority with at as the time at which the authority of
// every earlier owner has expired. Until then an earlier owner may extend leases on workers
// that have not yet received an order of the new epoch.
func (a Authority) WithEarlierExpiry(at clock.Millis) Authority {
	a.earlierExpiredAt = at
	return a
}

// Epoch returns the offset of the owner's claim in the data centre's stream, -1 without
// authority.
func (a Authority) Epoch() int64 { return a.epoch }

// Until returns when the authority expires, by the owner's clock.
func (a Authority) Until() clock.Millis { return a.until }

// Starts reports whether tasks may start in the data centre.
func (a Authority) Starts() bool { return a.starts }

func (a Authority) holds(now clock.Millis) bool { return a.epoch >= 0 && now < a.until }
