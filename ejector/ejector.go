// Package ejector implements outlier ejection: executors that fail, don't answer or are
// much slower than their peers get no requests for a time, and are probed before they are
// used again.
package ejector

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Ejector tracks the health of the executors of one service. It is not safe for
	// concurrent use.
	Ejector struct {
		// members are the executors by address.
		members map[string]*member
		// ejected is the number of members in the state Ejected.
		ejected int
	}
)

const (
	// maxEjectedDivisor limits ejections to 1/maxEjectedDivisor of the pool at a time, by
	// the number of executors and by their slots.
	maxEjectedDivisor = 3
	// maxFailures is the number of failures in a row that ejects an executor.
	maxFailures = 5
	// latencyFactor and latencySlack set the latency above which an executor is ejected:
	// latencyFactor times the median of the pool plus latencySlack.
	latencyFactor = 3
	latencySlack  = 5 * clock.Millis(1)
	// minAnswers is the number of answers since the last change of state that are needed
	// to eject an executor for its latency, or to restore a probed one.
	minAnswers = 3

	// baseEjectionTime is the length of the first ejection; it doubles for each repeated
	// ejection, at most maxDoublings times and up to maxEjectionTime.
	baseEjectionTime = clock.Second
	maxEjectionTime  = 30 * clock.Second
	maxDoublings     = 5
	// resetBackoffAfter is how long an executor has to be healthy for its next ejection to
	// last baseEjectionTime again.
	resetBackoffAfter = clock.Minute
)

// New returns an Ejector for an empty pool; Step adds the executors, as healthy.
func New() *Ejector { return &Ejector{members: map[string]*member{}} }

// Ejected returns the number of ejected executors.
func (e *Ejector) Ejected() int { return e.ejected }

// State returns the state of the executor at an address; Healthy if it is unknown.
func (e *Ejector) State(address string) string {
	m, known := e.members[address]
	if !known {
		return Healthy
	}
	return m.lifecycle.Current()
}

// Step updates the states of all executors and returns those that changed. reports must
// have one for each executor of the pool; executors without a report are removed.
func (e *Ejector) Step(now clock.Millis, reports []Report) []Change {
	e.syncMembers(reports)
	e.endExcessEjections(now)
	median := e.median(reports)
	var changes []Change
	for _, r := range reports {
		changes = e.evaluate(changes, now, r, median)
	}
	return changes
}

// syncMembers adds new executors and removes those without a report.
func (e *Ejector) syncMembers(reports []Report) {
	seen := make(map[string]bool, len(reports))
	for _, r := range reports {
		seen[r.address] = true
		if e.members[r.address] == nil {
			e.members[r.address] = &member{lifecycle: newLifecycle(), answersAtTransition: r.answers}
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

// mayEject reports whether the pool stays within the limit of ejections if m is ejected.
func (e *Ejector) mayEject(m *member) bool {
	slots, ejected := e.slots()
	return e.ejected < len(e.members)/maxEjectedDivisor && ejected+m.slots <= slots/maxEjectedDivisor
}

// slots returns the number of slots in the pool and how many of them belong to ejected
// executors.
func (e *Ejector) slots() (all, ejected int) {
	for _, m := range e.members {
		all += m.slots
		if m.lifecycle.Is(Ejected) {
			ejected += m.slots
		}
	}
	return all, ejected
}

// endExcessEjections ends ejections early, those with the least time left first, if the
// pool has become too small for their number or slots.
func (e *Ejector) endExcessEjections(now clock.Millis) {
	slots, ejectedSlots := e.slots()
	ejected := e.ejected
	for _, m := range e.ejectedByEnd() {
		if ejected <= len(e.members)/maxEjectedDivisor && ejectedSlots <= slots/maxEjectedDivisor {
			return
		}
		m.ejectedUntil = min(m.ejectedUntil, now)
		ejected--
		ejectedSlots -= m.slots
	}
}

// ejectedByEnd returns the ejected members, ordered by the end of their ejection.
func (e *Ejector) ejectedByEnd() []*member {
	var ejected []*member
	for _, address := range slices.Sorted(maps.Keys(e.members)) {
		if m := e.members[address]; m.lifecycle.Is(Ejected) {
			ejected = append(ejected, m)
		}
	}
	slices.SortStableFunc(ejected, func(a, b *member) int { return cmp.Compare(a.ejectedUntil, b.ejectedUntil) })
	return ejected
}

// evaluate updates the state of one executor and appends the change, if there is one.
func (e *Ejector) evaluate(changes []Change, now clock.Millis, r Report, median clock.Millis) []Change {
	m := e.members[r.address]
	switch {
	case m.lifecycle.Is(Ejected):
		if now.Before(m.ejectedUntil) {
			return changes
		}
		e.transition(m, eventProbe, now, r)
		e.ejected--
	case m.cause(r, median) != "":
		if !e.mayEject(m) {
			return changes
		}
		return append(changes, e.eject(m, now, r, m.cause(r, median)))
	case m.recovered(r):
		e.transition(m, eventRestore, now, r)
	default:
		return changes
	}
	return append(changes, Change{address: r.address, state: m.lifecycle.Current()})
}

// eject moves a member to the state Ejected and returns the change.
func (e *Ejector) eject(m *member, now clock.Millis, r Report, c Cause) Change {
	if m.lifecycle.Is(Healthy) && now-m.stateSince >= resetBackoffAfter {
		m.ejections = 0
	}
	m.ejectedUntil = now + m.ejectionTime()
	m.ejections++
	e.transition(m, eventEject, now, r)
	e.ejected++
	return Change{address: r.address, state: Ejected, cause: c}
}

// transition fires an event, which must be allowed in the member's state.
func (e *Ejector) transition(m *member, event string, now clock.Millis, r Report) {
	_ = m.lifecycle.Event(context.Background(), event)
	m.stateSince = now
	m.answersAtTransition = r.answers
}

// median returns the median latency of the members that aren't ejected; 0 if none is
// known.
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
