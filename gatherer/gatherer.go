// Package gatherer knows the hosts: from the settings and the platform's list,
// corrected by what the daemon itself hears of them.
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
	// Gatherer keeps the membership as one daemon sees it. Snapshot is safe for
	// concurrent use, all other methods are for one goroutine.
	//
	// What is heard goes before what is listed: a host that the list wrongly
	// drops stays while it is heard, one that it wrongly keeps is dead once it
	// is silent. That a host leaves is taken from any source.
	Gatherer struct {
		suspectAfter clock.Millis
		deadAfter    clock.Millis
		hosts        map[string]*host
		events       []Event
		changed      bool
		snapshot     atomic.Pointer[Snapshot]
	}

	// Option sets up a Gatherer.
	Option func(*Gatherer)
)

// Defaults of a Gatherer.
const (
	// DefaultSuspectAfter is the silence after which a host is suspected.
	DefaultSuspectAfter = 3 * clock.Second
	// DefaultDeadAfter is the silence after which it is taken for dead.
	DefaultDeadAfter = 10 * clock.Second

	never clock.Millis = -1
)

// New gives a Gatherer that knows the hosts of the settings.
func New(now clock.Millis, settings []provider.Host, opts ...Option) (*Gatherer, error) {
	g := &Gatherer{suspectAfter: DefaultSuspectAfter, deadAfter: DefaultDeadAfter, hosts: map[string]*host{}}
	for _, o := range opts {
		o(g)
	}
	if g.suspectAfter < 1 || g.deadAfter <= g.suspectAfter {
		return nil, coder.New(coder.OutOfRange, "gatherer.New: a host must be suspected, after %d ms, before it is dead, after %d ms", g.suspectAfter, g.deadAfter)
	}
	for _, s := range settings {
		h := g.host(now, s)
		h.set = true
		h.listLeaving = s.Leaving
	}
	g.Step(now)
	return g, nil
}

// WithSilence sets after how long a silent host is suspected and dead.
func WithSilence(suspectAfter, deadAfter clock.Millis) Option {
	return func(g *Gatherer) {
		g.suspectAfter = suspectAfter
		g.deadAfter = deadAfter
	}
}

// Snapshot gives the hosts as of the last Step.
func (g *Gatherer) Snapshot() *Snapshot { return g.snapshot.Load() }

// Listed takes in the platform's list. Where the list can't be had, the last
// one goes on.
func (g *Gatherer) Listed(now clock.Millis, hosts []provider.Host) {
	listed := map[string]bool{}
	for _, l := range hosts {
		listed[l.Name] = true
		h := g.host(now, l)
		h.listed = true
		if !sameHost(h.last, l) {
			h.last = l
			g.changed = true
		}
		h.listLeaving = l.Leaving
	}
	for name, h := range g.hosts {
		if h.listed && !listed[name] {
			h.listed = false
			h.listLeaving = false
		}
	}
}

// Heard takes in that a host answered or sent a heartbeat, and whether it says
// that it leaves. The incarnation is that of the process or boot, or "" where it
// is not told.
func (g *Gatherer) Heard(now clock.Millis, from provider.Host, incarnation string, leaving bool) {
	h := g.host(now, from)
	h.seenAt = max(h.seenAt, now)
	h.askedAt = never
	h.ownLeaving = leaving
	if h.life.move(eventHeard) {
		g.tell(ChangeAlive, h)
	}
	if incarnation == "" || incarnation == h.incarnation {
		return
	}
	if h.incarnation != "" {
		g.tell(ChangeRestarted, h)
	}
	h.incarnation = incarnation
	g.changed = true
}

// Asked takes in that a host was asked something. Silence counts from the first
// question without an answer, so that a host which nobody asks is not suspected.
func (g *Gatherer) Asked(now clock.Millis, name string) {
	if h, known := g.hosts[name]; known && h.askedAt == never {
		h.askedAt = now
	}
}

// Step judges silence, and gives what happened since the last Step. It is
// called about twice a second.
func (g *Gatherer) Step(now clock.Millis) []Event {
	for name, h := range g.hosts {
		g.judge(now, h)
		if h.life.phase() == PhaseGone {
			delete(g.hosts, name)
		}
	}
	if g.changed || g.snapshot.Load() == nil {
		g.publish()
	}
	events := g.events
	g.events = nil
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.host.Name, b.host.Name), cmp.Compare(a.change, b.change))
	})
	return events
}

func (g *Gatherer) judge(now clock.Millis, h *host) {
	silence := clock.Millis(0)
	if h.askedAt != never {
		silence = now - h.askedAt
	}
	if silence > g.suspectAfter && h.life.move(eventSilent) {
		g.tell(ChangeSuspected, h)
	}
	if silence > g.deadAfter && h.life.move(eventDead) {
		g.tell(ChangeDied, h)
	}
	if !h.set && !h.listed && now-h.seenAt > g.deadAfter && h.life.move(eventDropped) {
		g.tell(ChangeGone, h)
	}
	leaving := h.listLeaving || h.ownLeaving
	if leaving == h.leaving {
		return
	}
	h.leaving = leaving
	if leaving {
		g.tell(ChangeLeaving, h)
		return
	}
	g.tell(ChangeReturned, h)
}

func (g *Gatherer) host(now clock.Millis, as provider.Host) *host {
	h, known := g.hosts[as.Name]
	if !known {
		h = &host{life: newLife(), last: as, seenAt: now, askedAt: never}
		g.hosts[as.Name] = h
		g.changed = true
	}
	return h
}

func (g *Gatherer) tell(c Change, h *host) {
	g.events = append(g.events, Event{change: c, host: h.last})
	g.changed = true
}

func (g *Gatherer) publish() {
	members := make([]Member, 0, len(g.hosts))
	for _, h := range g.hosts {
		members = append(members, h.member())
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.host.Name, b.host.Name) })
	g.snapshot.Store(newSnapshot(members))
	g.changed = false
}

// sameHost tells whether two entries say the same but for leaving.
func sameHost(a, b provider.Host) bool {
	a.Leaving = b.Leaving
	return a == b
}
