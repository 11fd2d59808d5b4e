package checker

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// resumeRule reports stopped work that doesn't resume exactly once. Where the log
	// records the stop as an eviction, the next run must start from the checkpoint
	// that the stop saved.
	resumeRule struct {
		declared map[string]bool
		// started has the worker of each started run.
		started   map[provider.Incarnation]string
		stopped   map[provider.Incarnation]Event
		evictions map[provider.Incarnation]string
		resumed   map[provider.Incarnation]bool
		ended     map[string]bool
		// last is the newest started run of each task. Run numbers may be skipped, since
		// some runs never start.
		last map[string]provider.Incarnation
	}
)

func newResumeRule() *resumeRule {
	return &resumeRule{
		declared:  map[string]bool{},
		started:   map[provider.Incarnation]string{},
		stopped:   map[provider.Incarnation]Event{},
		evictions: map[provider.Incarnation]string{},
		resumed:   map[provider.Incarnation]bool{},
		ended:     map[string]bool{},
		last:      map[string]provider.Incarnation{},
	}
}

func (r *resumeRule) observe(e Event) []Violation {
	switch e.kind {
	case workDeclared:
		r.declared[e.key] = true
	case workEnded:
		r.ended[e.key] = true
	case runEnded:
		if e.phase == provider.PhaseStopped && r.declared[e.incarnation.Task] {
			r.stopped[e.incarnation] = e
		}
	case evictionRecorded:
		return r.recordEviction(e)
	case runStarted:
		return r.start(e)
	}
	return nil
}

// recordEviction reports an eviction whose checkpoint isn't the one that the stop saved,
// or whose run was not seen to stop. In the latter case the text gives the saved
// checkpoint as "".
func (r *resumeRule) recordEviction(e Event) []Violation {
	stop, stopped := r.stopped[e.incarnation]
	if !stopped || stop.checkpoint != e.checkpoint {
		return newViolation("resume", e, "%s is recorded as evicted with checkpoint %q, but the checkpoint that its stop saved is %q", e.incarnation, e.checkpoint, stop.checkpoint)
	}
	r.evictions[e.incarnation] = e.checkpoint
	return nil
}

func (r *resumeRule) start(e Event) []Violation {
	if !r.declared[e.incarnation.Task] {
		return nil
	}
	if worker, startedBefore := r.started[e.incarnation]; startedBefore {
		return newViolation("resume", e, "%s started on %s and on %s", e.incarnation, worker, e.worker)
	}
	r.started[e.incarnation] = e.worker
	previous := r.last[e.incarnation.Task]
	if e.incarnation.Number <= previous.Number {
		return newViolation("resume", e, "%s started after the run %s", e.incarnation, previous)
	}
	r.last[e.incarnation.Task] = e.incarnation
	r.resumed[previous] = true
	if saved, evicted := r.evictions[previous]; evicted && e.checkpoint != saved {
		return newViolation("resume", e, "%s started from %q, but %s had saved %q", e.incarnation, e.checkpoint, previous, saved)
	}
	return nil
}

// finish reports stopped work that neither resumed nor ended.
func (r *resumeRule) finish(clock.Millis) []Violation {
	var found []Violation
	for i, stop := range r.stopped {
		if !r.resumed[i] && !r.ended[i.Task] {
			found = append(found, newViolation("resume", stop, "%s was stopped at %d and never resumed", i, stop.at)...)
		}
	}
	slices.SortFunc(found, func(a, b Violation) int { return cmp.Compare(a.text, b.text) })
	return found
}
