package gatherer

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Member is the state of one host at one time. It is immutable.
	Member struct {
		host        provider.Host
		phase       Phase
		leaving     bool
		incarnation string
	}

	// host is the current state of one host and what each source reports about it.
	host struct {
		life  *lifecycle
		entry provider.Host
		// inSettings and inList are whether the settings and the list name the host.
		inSettings    bool
		inList        bool
		leavingInList bool
		selfLeaving   bool
		leaving       bool
		incarnation   string
		// lastContact is when the host last answered or sent a heartbeat, or, if it never
		// did, when a source first named it.
		lastContact clock.Millis
		// unansweredSince is when the first request was sent after the last answer, or
		// unset.
		unansweredSince clock.Millis
	}
)

// Host returns the host's entry: its name, role, location and capacity.
func (m Member) Host() provider.Host { return m.host }

// Phase returns the state of the host.
func (m Member) Phase() Phase { return m.phase }

// Leaving reports whether any source says that the host is leaving.
func (m Member) Leaving() bool { return m.leaving }

// Incarnation returns the identifier of the host's process or boot, or "" if it never
// reported one.
func (m Member) Incarnation() string { return m.incarnation }

// AcceptsWork reports whether the host may get new work: it is alive or new, and not
// leaving.
func (m Member) AcceptsWork() bool {
	return !m.leaving && (m.phase == PhaseAlive || m.phase == PhaseNew)
}

// Live reports whether the host is alive or suspected.
func (m Member) Live() bool { return m.phase == PhaseAlive || m.phase == PhaseSuspect }

func (h *host) member() Member {
	return Member{host: h.entry, phase: h.life.phase(), leaving: h.leaving, incarnation: h.incarnation}
}
