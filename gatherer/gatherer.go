// Package gatherer tracks which hosts exist, are alive or are leaving. It combines the
// settings, the platform's list of hosts and the daemon's own contact with the hosts.
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
	// Gatherer tracks the membership as seen by one daemon. Snapshot is safe for concurrent
	// use; all other methods must be called from one goroutine.
	//
	// The platform's list lags, so direct contact takes precedence over it: a host that is
	// missing from the list remains a member as long as it answers, and one that is listed
	// is dead once it stops answering. A host is leaving if any source says so.
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

// Defaults of a Gatherer.
const (
	// DefaultSuspectAfter is the time without an answer after which a host is suspected.
	DefaultSuspectAfter = 3 * clock.Second
	// DefaultDeadAfter is the time without an answer after which a host is considered dead.
	DefaultDeadAfter = 10 * clock.Second

	// unset is the value of host.unansweredSince when no request is unanswered.
	unset clock.Millis = -1
)

// New returns a Gatherer with the hosts of the settings. It returns an error of code
// OutOfRange unless hosts are suspected before they are dead.
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
		h.leavingInList = s.Leaving
	}
	g.Step(now)
	return g, nil
}

// WithSilence sets the times without an answer after which a host is suspected and dead.
func WithSilence(suspectAfter, deadAfter clock.Millis) Option {
	return func(g *Gatherer) {
		g.suspectAfter = suspectAfter
		g.deadAfter = deadAfter
	}
}

// Snapshot returns the hosts as of the last Step.
func (g *Gatherer) Snapshot() *Snapshot { return g.snapshot.Load() }

// Listed replaces the platform's list of hosts. While the list can't be read, the last one
// remains in use.
func (g *Gatherer) Listed(now clock.Millis, hosts []provider.Host) {
	listed := map[string]bool{}
	for _, l := range hosts {
		listed[l.Name] = true
		h := g.ensureHost(now, l)
		h.inList = true
		if !equalExceptLeaving(h.entry, l) {
			h.entry = l
			g.changed = true
		}
		h.leavingInList = l.Leaving
	}
	for name, h := range g.hosts {
		if h.inList && !listed[name] {
			h.inList = false
			h.leavingInList = false
		}
	}
}

// Heard records that a host answered a request or sent a heartbeat, and whether it reported
// that it is leaving. The incarnation identifies its process or boot; it is "" if unknown.
func (g *Gatherer) Heard(now clock.Millis, from provider.Host, incarnation string, leaving bool) {
	h := g.ensureHost(now, from)
	h.lastContact = max(h.lastContact, now)
	h.unansweredSince = unset
	h.selfLeaving = leaving
	if h.life.apply(eventHeard) {
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

// Asked records that a request was sent to a host. The time without an answer is counted
// from the first unanswered request, so that a host which gets no requests is not
// suspected.
func (g *Gatherer) Asked(now clock.Millis, name string) {
	if h, known := g.hosts[name]; known && h.unansweredSince == unset {
		h.unansweredSince = now
	}
}

// Step updates the state of all hosts, removes those that are gone, and returns the events
// since the last Step, ordered by name of the host. It is called about twice a second.
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

// evaluate moves a host to suspect, dead or gone when its times have passed, and updates
// whether it is leaving.
func (g *Gatherer) evaluate(now clock.Millis, h *host) {
	silence := clock.Millis(0)
	if h.unansweredSince != unset {
		silence = now - h.unansweredSince
	}
	if silence > g.suspectAfter && h.life.apply(eventSilent) {
		g.emit(ChangeSuspected, h)
	}
	if silence > g.deadAfter && h.life.apply(eventDead) {
		g.emit(ChangeDied, h)
	}
	if !h.inSettings && !h.inList && now-h.lastContact > g.deadAfter && h.life.apply(eventDropped) {
		g.emit(ChangeGone, h)
	}
	leaving := h.leavingInList || h.selfLeaving
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

// ensureHost returns the host named by an entry, and adds it if it is new.
func (g *Gatherer) ensureHost(now clock.Millis, entry provider.Host) *host {
	h, known := g.hosts[entry.Name]
	if !known {
		h = &host{life: newLifecycle(), entry: entry, lastContact: now, unansweredSince: unset}
		g.hosts[entry.Name] = h
		g.changed = true
	}
	return h
}

func (g *Gatherer) emit(c Change, h *host) {
	g.events = append(g.events, Event{change: c, host: h.entry})
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

// equalExceptLeaving reports whether two entries are equal in all fields but Leaving.
func equalExceptLeaving(a, b provider.Host) bool {
	a.Leaving = b.Leaving
	return a == b
}
