package checker

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// resume: submitted work that was stopped goes on exactly once, from the
	// state that the stop saved where the log has it as evicted.
	resume struct {
		work     map[string]bool
		started  map[provider.Incarnation]string
		stopped  map[provider.Incarnation]Event
		recorded map[provider.Incarnation]string
		resumed  map[provider.Incarnation]bool
		ended    map[string]bool
		// last is the run of each task that began last; numbers between two
		// are of runs that never began.
		last map[string]provider.Incarnation
	}
)

func newResume() *resume {
	return &resume{
		work:     map[string]bool{},
		started:  map[provider.Incarnation]string{},
		stopped:  map[provider.Incarnation]Event{},
		recorded: map[provider.Incarnation]string{},
		resumed:  map[provider.Incarnation]bool{},
		ended:    map[string]bool{},
		last:     map[string]provider.Incarnation{},
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
			r.stopped[e.incarnation] = e
		}
	case evictionRecorded:
		return r.record(e)
	case runStarted:
		return r.start(e)
	}
	return nil
}

func (r *resume) record(e Event) []Violation {
	stop, stopped := r.stopped[e.incarnation]
	if !stopped || stop.checkpoint != e.checkpoint {
		return broken("resume", e, "%s is recorded as evicted at %q, but was stopped at %q", e.incarnation, e.checkpoint, stop.checkpoint)
	}
	r.recorded[e.incarnation] = e.checkpoint
	return nil
}

func (r *resume) start(e Event) []Violation {
	if !r.work[e.incarnation.Task] {
		return nil
	}
	if worker, twice := r.started[e.incarnation]; twice {
		return broken("resume", e, "%s started on %s and on %s", e.incarnation, worker, e.worker)
	}
	r.started[e.incarnation] = e.worker
	before := r.last[e.incarnation.Task]
	if e.incarnation.Number <= before.Number {
		return broken("resume", e, "%s started after %s", e.incarnation, before)
	}
	r.last[e.incarnation.Task] = e.incarnation
	r.resumed[before] = true
	if saved, recorded := r.recorded[before]; recorded && e.checkpoint != saved {
		return broken("resume", e, "%s began from %q, but %s had saved %q", e.incarnation, e.checkpoint, before, saved)
	}
	return nil
}

// end finds stopped work that neither went on nor ended.
func (r *resume) end(clock.Millis) []Violation {
	var found []Violation
	for i, stop := range r.stopped {
		if !r.resumed[i] && !r.ended[i.Task] {
			found = append(found, broken("resume", stop, "%s was stopped at %d and never resumed", i, stop.at)...)
		}
	}
	slices.SortFunc(found, func(a, b Violation) int { return cmp.Compare(a.text, b.text) })
	return found
}
