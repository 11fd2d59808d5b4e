package elector

import "galenawharf.example/galenawharf/clock"

type (
	// Monitor decides when to claim, from the claims that were read from the store. It
	// does no I/O and is not safe for concurrent use.
	Monitor struct {
		host     string
		address  string
		instance string
		timeout  clock.Millis
		newest   Claim
		// loaded is whether the topic has been read, so that newest is valid.
		loaded bool
		// changedAt is when the newest claim was first seen, or when reads succeeded
		// again after a failure.
		changedAt clock.Millis
		// seenAt is when the newest claim was first seen.
		seenAt clock.Millis
		// failing is whether the last read failed.
		failing bool
		// unreadable is whether the newest record is none that a host can have written. Who leads
		// is then not known, nor whether former leaders have stopped.
		unreadable bool
	}
)

// NewMonitor returns a monitor for which a claim expires if it is not renewed for
// timeout.
func NewMonitor(host, address, instance string, timeout clock.Millis) *Monitor {
	return &Monitor{host: host, address: address, instance: instance, timeout: timeout}
}

// Observe records the newest claim; an epoch of 0 means that there is none.
func (w *Monitor) Observe(c Claim, now clock.Millis) {
	if !w.loaded || c != w.newest {
		w.changedAt, w.seenAt = now, now
	}
	w.newest, w.loaded, w.unreadable = c, true, false
}

// ObserveUnreadable records that the newest record is none that a host can have written.
func (w *Monitor) ObserveUnreadable(now clock.Millis) {
	if !w.unreadable {
		w.changedAt, w.seenAt = now, now
	}
	w.loaded, w.unreadable = true, true
}

// ReadSucceeded records a successful read of the store.
func (w *Monitor) ReadSucceeded(now clock.Millis) {
	if w.failing {
		// While the store was unavailable, the leader could not renew its claim either, so
		// it gets the whole timeout again.
		w.failing, w.changedAt = false, now
	}
}

// ReadFailed records a failed read of the store.
func (w *Monitor) ReadFailed() { w.failing = true }

// Due reports whether this daemon should make a claim now.
func (w *Monitor) Due(now clock.Millis) bool {
	switch {
	case !w.loaded || w.failing:
		return false
	case w.unreadable:
		return now-w.changedAt >= w.timeout
	case w.newest.Epoch == 0 || w.newest.Resigned:
		return true
	case w.fromEarlierProcess():
		return true
	default:
		return now-w.changedAt >= w.timeout
	}
}

// Newest returns the newest claim and when it was first seen.
func (w *Monitor) Newest() (Claim, clock.Millis) { return w.newest, w.seenAt }

// NeverClaimed reports whether the topic has been read and holds no claim.
func (w *Monitor) NeverClaimed() bool { return w.loaded && !w.unreadable && w.newest.Epoch == 0 }

// PredecessorStopped reports whether the process of the newest claim, and those of all
// claims before it, are known to have ended or resigned.
func (w *Monitor) PredecessorStopped() bool {
	if w.newest.Unsettled || w.unreadable {
		return false
	}
	return w.newest.Epoch == 0 || w.newest.Resigned || w.fromEarlierProcess()
}

// fromEarlierProcess reports whether the newest claim is from an earlier process of this
// host. The address is compared because a host that was replaced under the same name may
// still run; its replacement has another address.
func (w *Monitor) fromEarlierProcess() bool {
	return w.newest.Host == w.host && w.newest.Address == w.address && w.newest.Instance != w.instance
}
