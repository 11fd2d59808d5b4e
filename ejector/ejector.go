// Package ejector takes executors out of use that fail, stay silent or answer
// far slower than their peers, and brings them back when they work again.
package ejector

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Ejector watches the executors of one service. It is driven by one goroutine.
	Ejector struct {
		members map[string]*member
		ejected int
	}
)

const (
	// poolShare is the part of the pool, one in poolShare, that may be ejected
	// at a time, by executors and by their slots.
	poolShare = 3
	// maxFailures in a row eject an executor.
	maxFailures = 5
	// An executor is ejected for a latency over latencyFactor times the
	// median and latencySlack, once it gave minAnswers.
	latencyFactor = 3
	latencySlack  = 5 * clock.Millis(1)
	minAnswers    = 3

	firstPause   = clock.Second
	maxPause     = 30 * clock.Second
	maxDoublings = 5
	// An executor that was healthy for forgiveAfter counts as never ejected.
	forgiveAfter = clock.Minute
)

// New gives an Ejector for a pool in which all are healthy.
func New() *Ejector { return &Ejector{members: map[string]*member{}} }

// Ejected gives the number of executors that get nothing.
func (e *Ejector) Ejected() int { return e.ejected }

// State gives the state of an executor.
func (e *Ejector) State(address string) string {
	m, known := e.members[address]
	if !known {
		return Healthy
	}
	return m.lifecycle.Current()
}

// Step takes the reports of every executor of the pool and gives the changes of state.
func (e *Ejector) Step(now clock.Millis, reports []Report) []Change {
	e.follow(reports)
	e.shrink(now)
	median := e.median(reports)
	var changes []Change
	for _, r := range reports {
		changes = e.judge(changes, now, r, median)
	}
	return changes
}

// follow adds executors that are new and drops those that are gone.
func (e *Ejector) follow(reports []Report) {
	seen := make(map[string]bool, len(reports))
	for _, r := range reports {
		seen[r.address] = true
		if e.members[r.address] == nil {
			e.members[r.address] = &member{lifecycle: newLifecycle(), answers: r.answers}
		}
		e.members[r.address].slots = r.slots
	}
	for address, m := range e.members {
		if seen[address] {
			continue
		}
		if m.lifecycle.Is(Ejected) {
			e.ejected--
		}
		delete(e.members, address)
	}
}

// allows tells whether one more may be ejected.
func (e *Ejector) allows(m *member) bool {
	slots, ejected := e.slots()
	return e.ejected < len(e.members)/poolShare && ejected+m.slots <= slots/poolShare
}

// slots gives those of the pool, and of them those of ejected executors.
func (e *Ejector) slots() (all, ejected int) {
	for _, m := range e.members {
		all += m.slots
		if m.lifecycle.Is(Ejected) {
			ejected += m.slots
		}
	}
	return all, ejected
}

// shrink ends the ejections that end soonest anyway, where the pool has become
// too small for them.
func (e *Ejector) shrink(now clock.Millis) {
	slots, ejectedSlots := e.slots()
	ejected := e.ejected
	for _, m := range e.soonest() {
		if ejected <= len(e.members)/poolShare && ejectedSlots <= slots/poolShare {
			return
		}
		m.until = min(m.until, now)
		ejected--
		ejectedSlots -= m.slots
	}
}

// soonest gives the ejected members, those first whose ejection ends first.
func (e *Ejector) soonest() []*member {
	var ejected []*member
	for _, address := range slices.Sorted(maps.Keys(e.members)) {
		if m := e.members[address]; m.lifecycle.Is(Ejected) {
			ejected = append(ejected, m)
		}
	}
	slices.SortStableFunc(ejected, func(a, b *member) int { return cmp.Compare(a.until, b.until) })
	return ejected
}

func (e *Ejector) judge(changes []Change, now clock.Millis, r Report, median clock.Millis) []Change {
	m := e.members[r.address]
	switch {
	case m.lifecycle.Is(Ejected):
		if now.Before(m.until) {
			return changes
		}
		e.move(m, eventProbe, now, r)
		e.ejected--
	case m.cause(r, median) != "":
		if !e.allows(m) {
			return changes
		}
		return append(changes, e.eject(m, now, r, m.cause(r, median)))
	case m.proven(r):
		e.move(m, eventRestore, now, r)
	default:
		return changes
	}
	return append(changes, Change{address: r.address, state: m.lifecycle.Current()})
}

func (e *Ejector) eject(m *member, now clock.Millis, r Report, c Cause) Change {
	if m.lifecycle.Is(Healthy) && now-m.since >= forgiveAfter {
		m.times = 0
	}
	m.until = now + m.pause()
	m.times++
	e.move(m, eventEject, now, r)
	e.ejected++
	return Change{address: r.address, state: Ejected, cause: c}
}

// move fires an event that the life cycle allows in the member's state.
func (e *Ejector) move(m *member, event string, now clock.Millis, r Report) {
	_ = m.lifecycle.Event(context.Background(), event)
	m.since = now
	m.answers = r.answers
}

// median gives that of the latencies of members in use, 0 where none is known.
func (e *Ejector) median(reports []Report) clock.Millis {
	var known []clock.Millis
	for _, r := range reports {
		if r.latency > 0 && !e.members[r.address].lifecycle.Is(Ejected) {
			known = append(known, r.latency)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}
