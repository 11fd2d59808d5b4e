package gatherer

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Member is the state of one host in a Snapshot. It is immutable.
	Member struct {
		host        provider.Host
		phase       Phase
		leaving     bool
		incarnation string
	}

	// host is the current state of one host, and what each source reports about it.
	host struct {
		life *lifecycle
		info provider.Host
		// inSettings is set if the settings name the host, inList if the list does.
		inSettings bool
		inList     bool
		// leavingInSettingsOrList is set if the list reports the host as leaving; it is as
		// in the settings until the host is first listed. selfReportedLeaving is set if the
		// host itself reports that it is leaving.
		leavingInSettingsOrList bool
		selfReportedLeaving     bool
		// leaving is whether either of these was set at the last Step.
		leaving     bool
		incarnation string
		// lastContact is when the host last answered or sent a heartbeat; before that, when
		// a source first named it.
		lastContact clock.Millis
		// unansweredSince is when the oldest unanswered request was sent, or allAnswered.
		unansweredSince clock.Millis
	}
)

// Host returns the name, role, location and capacity of the host.
func (m Member) Host() provider.Host { return m.host }

// Phase returns whether the host is new, alive, suspect or dead.
func (m Member) Phase() Phase { return m.phase }

// Leaving reports whether any source reports that the host is leaving.
func (m Member) Leaving() bool { return m.leaving }

// Incarnation returns the identifier of the host's process or boot, or "" if it never
// reported one.
func (m Member) Incarnation() string { return m.incarnation }

// AcceptsWork reports whether the host may get new work: it is alive or new, and not
// leaving.
func (m Member) AcceptsWork() bool {
	return !m.leaving && (m.phase == PhaseAlive || m.phase == PhaseNew)
}

// AliveOrSuspect reports whether the phase is PhaseAlive or PhaseSuspect.
func (m Member) AliveOrSuspect() bool { return m.phase == PhaseAlive || m.phase == PhaseSuspect }

func (h *host) member() Member {
	return Member{host: h.info, phase: h.life.phase(), leaving: h.leaving, incarnation: h.incarnation}
}
