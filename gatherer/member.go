package gatherer

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Member is what is known of one host at one time. It never changes.
	Member struct {
		host        provider.Host
		phase       Phase
		leaving     bool
		incarnation string
	}

	// host is what the sources say of one host.
	host struct {
		life *life
		last provider.Host
		// set and listed tell which sources name it.
		set         bool
		listed      bool
		listLeaving bool
		ownLeaving  bool
		leaving     bool
		incarnation string
		// seenAt is when it was last heard, or else first named.
		seenAt clock.Millis
		// askedAt is when it was first asked without an answer since, or never.
		askedAt clock.Millis
	}
)

// Host gives the host's name, role, place and capacity.
func (m Member) Host() provider.Host { return m.host }

// Phase gives what is known of its life.
func (m Member) Phase() Phase { return m.phase }

// Leaving tells whether any source says that it leaves.
func (m Member) Leaving() bool { return m.leaving }

// Incarnation tells one process or boot of the host from the next; "" where it
// was never heard.
func (m Member) Incarnation() string { return m.incarnation }

// Open tells whether it may get new work: it is not leaving, and was heard
// lately or is new.
func (m Member) Open() bool {
	return !m.leaving && (m.phase == PhaseAlive || m.phase == PhaseNew)
}

// Live tells whether it was heard and is not dead.
func (m Member) Live() bool { return m.phase == PhaseAlive || m.phase == PhaseSuspect }

func (h *host) member() Member {
	return Member{host: h.last, phase: h.life.phase(), leaving: h.leaving, incarnation: h.incarnation}
}
