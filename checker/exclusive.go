package checker

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// exclusiveRule reports declared work that runs twice at the same time, or at
	// the same time as other work with the same exclusive key.
	exclusiveRule struct {
		// groups maps a work key to its mutual exclusion group: the exclusive key,
		// or the work itself if it has none.
		groups  map[string]string
		running map[string]placement
	}

	placement struct {
		worker      string
		incarnation provider.Incarnation
	}
)

func newExclusiveRule() *exclusiveRule {
	return &exclusiveRule{groups: map[string]string{}, running: map[string]placement{}}
}

func (a *exclusiveRule) observe(e Event) []Violation {
	switch e.kind {
	case workDeclared:
		a.groups[e.key] = "work " + e.key
		if e.exclusive != "" {
			a.groups[e.key] = "exclusive " + e.exclusive
		}
	case runEnded:
		a.stop(e)
	case runStarted:
		return a.start(e)
	}
	return nil
}

func (a *exclusiveRule) stop(e Event) {
	group := a.groups[e.incarnation.Task]
	if a.running[group] == (placement{worker: e.worker, incarnation: e.incarnation}) {
		delete(a.running, group)
	}
}

func (a *exclusiveRule) start(e Event) []Violation {
	group, declared := a.groups[e.incarnation.Task]
	if !declared {
		return nil
	}
	other, busy := a.running[group]
	a.running[group] = placement{worker: e.worker, incarnation: e.incarnation}
	if busy {
		return newViolation("alone", e, "%s started on %s while %s runs on %s", e.incarnation, e.worker, other.incarnation, other.worker)
	}
	return nil
}

func (a *exclusiveRule) finish(clock.Millis) []Violation { return nil }
