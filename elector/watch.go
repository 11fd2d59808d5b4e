package elector

import "galenawharf.example/galenawharf/clock"

type (
	// Watch decides when to claim, from what was read of the store. It is pure and
	// not safe for concurrent use.
	Watch struct {
		host     string
		life     string
		patience clock.Millis
		newest   Claim
		// known is whether the newest claim was read.
		known bool
		// fresh is when the newest claim was first seen, or reading began again.
		fresh clock.Millis
		// failing is whether the last read failed.
		failing bool
	}
)

// NewWatch returns a watch that claims after patience without a renewal.
func NewWatch(host, life string, patience clock.Millis) *Watch {
	return &Watch{host: host, life: life, patience: patience}
}

// Observe takes in the newest claim, or its absence if the epoch is 0.
func (w *Watch) Observe(c Claim, now clock.Millis) {
	if !w.known || c != w.newest {
		w.fresh = now
	}
	w.newest, w.known = c, true
}

// Read takes note of a read that succeeded.
func (w *Watch) Read(now clock.Millis) {
	if w.failing {
		// While the store was away the leader could not renew its claim either.
		w.failing, w.fresh = false, now
	}
}

// Failed takes note of a read that failed.
func (w *Watch) Failed() { w.failing = true }

// Due reports whether this daemon should claim now.
func (w *Watch) Due(now clock.Millis) bool {
	switch {
	case !w.known || w.failing:
		return false
	case w.newest.Epoch == 0 || w.newest.Resigned:
		return true
	case w.newest.Host == w.host && w.newest.Life != w.life:
		// The leader was an earlier process of this host.
		return true
	default:
		return now-w.fresh >= w.patience
	}
}

// First reports whether nobody has claimed yet.
func (w *Watch) First() bool { return w.known && w.newest.Epoch == 0 }

// FormerIsOver reports whether the process that made the newest claim is surely
// over or has ended its work.
func (w *Watch) FormerIsOver() bool {
	return w.newest.Epoch == 0 || w.newest.Resigned || w.newest.Host == w.host && w.newest.Life != w.life
}
