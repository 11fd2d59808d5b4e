package checker

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// resume: submitted work that was stopped goes on exactly once, from the
	// state that the stop saved.
	resume struct {
		work    map[string]bool
		started map[provider.Incarnation]string
		evicted map[provider.Incarnation]Event
		resumed map[provider.Incarnation]bool
		ended   map[string]bool
	}
)

func newResume() *resume {
	return &resume{
		work:    map[string]bool{},
		started: map[provider.Incarnation]string{},
		evicted: map[provider.Incarnation]Event{},
		resumed: map[provider.Incarnation]bool{},
		ended:   map[string]bool{},
	}
}

func (r *resume) see(e Event) []Violation {
	switch e.kind {
	case workDeclared:
		r.work[e.key] = true
	case workEnded:
		r.ended[e.key] = true
	case runEnded:
		if e.phase == provider.PhaseStopped && r.work[e.incarnation.Task] {
			r.evicted[e.incarnation] = e
		}
	case runStarted:
		return r.start(e)
	}
	return nil
}

func (r *resume) start(e Event) []Violation {
	if !r.work[e.incarnation.Task] {
		return nil
	}
	if worker, twice := r.started[e.incarnation]; twice {
		return broken("resume", e.at, "%s started on %s and on %s", e.incarnation, worker, e.worker)
	}
	r.started[e.incarnation] = e.worker
	before := provider.Incarnation{Task: e.incarnation.Task, Number: e.incarnation.Number - 1}
	stop, evicted := r.evicted[before]
	if !evicted {
		return nil
	}
	r.resumed[before] = true
	if e.checkpoint != stop.checkpoint {
		return broken("resume", e.at, "%s began from %q, but %s had saved %q", e.incarnation, e.checkpoint, before, stop.checkpoint)
	}
	return nil
}

// end finds evicted work that neither went on nor ended.
func (r *resume) end(now clock.Millis) []Violation {
	var found []Violation
	for i, stop := range r.evicted {
		if !r.resumed[i] && !r.ended[i.Task] {
			found = append(found, broken("resume", now, "%s was stopped at %d and never resumed", i, stop.at)...)
		}
	}
	slices.SortFunc(found, func(a, b Violation) int { return cmp.Compare(a.text, b.text) })
	return found
}
