// Package gatherer tracks which hosts exist, are alive or are leaving. It combines three
// sources: the daemon's settings, the platform's list of hosts ("the list" below) and the
// daemon's own contact with the hosts.
package gatherer

import (
	"cmp"
	"slices"
	"sync/atomic"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Gatherer tracks the hosts as seen by one daemon. Snapshot is safe for concurrent
	// use; all other methods must be called from one goroutine.
	//
	// The list lags, so direct contact takes precedence over it: a host that is missing
	// from the list is kept as long as it answers, and a listed host is dead once it stops
	// answering. A host is leaving if any source reports that it is.
	Gatherer struct {
		suspectAfter clock.Millis
		deadAfter    clock.Millis
		hosts        map[string]*host
		events       []Event
		changed      bool
		snapshot     atomic.Pointer[Snapshot]
	}

	// Option configures a Gatherer.
	Option func(*Gatherer)
)

const (
	// DefaultSuspectAfter is the time since the oldest unanswered request after which a
	// host is suspected.
	DefaultSuspectAfter = 3 * clock.Second
	// DefaultDeadAfter is the time since the oldest unanswered request after which a host
	// is considered dead.
	DefaultDeadAfter = 10 * clock.Second

	// allAnswered is the value of host.unansweredSince when no request is unanswered.
	allAnswered clock.Millis = -1
)

// New returns a Gatherer with the hosts of the settings. It returns an error of code
// OutOfRange if the time until hosts are suspected is less than 1 ms, or not less than the
// time until they are dead.
func New(now clock.Millis, settings []provider.Host, opts ...Option) (*Gatherer, error) {
	g := &Gatherer{suspectAfter: DefaultSuspectAfter, deadAfter: DefaultDeadAfter, hosts: map[string]*host{}}
	for _, o := range opts {
		o(g)
	}
	if g.suspectAfter < 1 || g.deadAfter <= g.suspectAfter {
		return nil, coder.New(coder.OutOfRange, "gatherer.New: a host is suspected after %d ms, which must be at least 1 ms and less than the %d ms after which it is dead", g.suspectAfter, g.deadAfter)
	}
	for _, s := range settings {
		h := g.ensureHost(now, s)
		h.inSettings = true
		h.leavingInSettingsOrList = s.Leaving
	}
	g.Step(now)
	return g, nil
}

// WithTimeouts sets the times since the oldest unanswered request after which a host is
// suspected and dead.
func WithTimeouts(suspectAfter, deadAfter clock.Millis) Option {
	return func(g *Gatherer) {
		g.suspectAfter = suspectAfter
		g.deadAfter = deadAfter
	}
}

// Snapshot returns the hosts as of the last Step.
func (g *Gatherer) Snapshot() *Snapshot { return g.snapshot.Load() }

// ApplyHostList replaces the list of hosts with one that was just read from the platform. It isn't
// called while the list can't be read, so the last list that was read stays in use.
func (g *Gatherer) ApplyHostList(now clock.Millis, hosts []provider.Host) {
	listed := map[string]bool{}
	for _, l := range hosts {
		listed[l.Name] = true
		h := g.ensureHost(now, l)
		h.inList = true
		if !equalExceptLeaving(h.info, l) {
			h.info = l
			g.changed = true
		}
		h.leavingInSettingsOrList = l.Leaving
	}
	for name, h := range g.hosts {
		if h.inList && !listed[name] {
			h.inList = false
			h.leavingInSettingsOrList = false
		}
	}
}

// RecordContact records that a host answered a request or sent a heartbeat, and whether it reported
// that it is leaving. The incarnation identifies its process or boot; it is "" if unknown.
func (g *Gatherer) RecordContact(now clock.Millis, from provider.Host, incarnation string, leaving bool) {
	h := g.ensureHost(now, from)
	h.lastContact = max(h.lastContact, now)
	h.unansweredSince = allAnswered
	h.selfReportedLeaving = leaving
	if h.life.apply(triggerAnswered) {
		g.emit(ChangeAlive, h)
	}
	if incarnation == "" || incarnation == h.incarnation {
		return
	}
	if h.incarnation != "" {
		g.emit(ChangeRestarted, h)
	}
	h.incarnation = incarnation
	g.changed = true
}

// RecordRequest records that a request was sent to a host. The time without an answer is counted
// from the oldest unanswered request, so a host that gets no requests is never suspected.
func (g *Gatherer) RecordRequest(now clock.Millis, name string) {
	if h, known := g.hosts[name]; known && h.unansweredSince == allAnswered {
		h.unansweredSince = now
	}
}

// Step updates the phase of each host, removes the hosts that are gone, and returns the
// events since the last Step, ordered by name of the host.
func (g *Gatherer) Step(now clock.Millis) []Event {
	for name, h := range g.hosts {
		g.evaluate(now, h)
		if h.life.phase() == PhaseGone {
			delete(g.hosts, name)
		}
	}
	if g.changed || g.snapshot.Load() == nil {
		g.publishSnapshot()
	}
	events := g.events
	g.events = nil
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.host.Name, b.host.Name), cmp.Compare(a.change, b.change))
	})
	return events
}

// evaluate moves a host to suspect, dead or gone if it has been silent for long enough, and
// updates whether it is leaving.
func (g *Gatherer) evaluate(now clock.Millis, h *host) {
	silence := clock.Millis(0)
	if h.unansweredSince != allAnswered {
		silence = now - h.unansweredSince
	}
	if silence > g.suspectAfter && h.life.apply(triggerSuspectTimeout) {
		g.emit(ChangeSuspected, h)
	}
	if silence > g.deadAfter && h.life.apply(triggerDeadTimeout) {
		g.emit(ChangeDied, h)
	}
	if !h.inSettings && !h.inList && now-h.lastContact > g.deadAfter && h.life.apply(triggerUnlisted) {
		g.emit(ChangeGone, h)
	}
	leaving := h.leavingInSettingsOrList || h.selfReportedLeaving
	if leaving == h.leaving {
		return
	}
	h.leaving = leaving
	if leaving {
		g.emit(ChangeLeaving, h)
		return
	}
	g.emit(ChangeReturned, h)
}

// ensureHost returns the host with the name of info, and adds it if it is new.
func (g *Gatherer) ensureHost(now clock.Millis, info provider.Host) *host {
	h, known := g.hosts[info.Name]
	if !known {
		h = &host{life: newLifecycle(), info: info, lastContact: now, unansweredSince: allAnswered}
		g.hosts[info.Name] = h
		g.changed = true
	}
	return h
}

func (g *Gatherer) emit(c Change, h *host) {
	g.events = append(g.events, Event{change: c, host: h.info})
	g.changed = true
}

func (g *Gatherer) publishSnapshot() {
	members := make([]Member, 0, len(g.hosts))
	for _, h := range g.hosts {
		members = append(members, h.member())
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.host.Name, b.host.Name) })
	g.snapshot.Store(newSnapshot(members))
	g.changed = false
}

// equalExceptLeaving compares hosts without Leaving, which evaluate handles: it depends on
// the other sources too.
func equalExceptLeaving(a, b provider.Host) bool {
	a.Leaving = b.Leaving
	return a == b
}
