package checker

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// alone: work that was submitted never runs in two places at once, nor
	// beside other work of its exclusive key.
	alone struct {
		groups  map[string]string
		running map[string]place
	}

	place struct {
		worker      string
		incarnation provider.Incarnation
	}
)

func newAlone() *alone {
	return &alone{groups: map[string]string{}, running: map[string]place{}}
}

func (a *alone) see(e Event) []Violation {
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

func (a *alone) stop(e Event) {
	group := a.groups[e.incarnation.Task]
	if a.running[group] == (place{worker: e.worker, incarnation: e.incarnation}) {
		delete(a.running, group)
	}
}

func (a *alone) start(e Event) []Violation {
	group, exclusive := a.groups[e.incarnation.Task]
	if !exclusive {
		return nil
	}
	other, busy := a.running[group]
	a.running[group] = place{worker: e.worker, incarnation: e.incarnation}
	if busy {
		return broken("alone", e, "%s started on %s while %s runs on %s", e.incarnation, e.worker, other.incarnation, other.worker)
	}
	return nil
}

func (a *alone) end(clock.Millis) []Violation { return nil }
