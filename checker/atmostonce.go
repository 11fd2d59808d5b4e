package checker

import "galenawharf.example/galenawharf/clock"

type (
	// atMostOnce: work that is marked as non-idempotent runs at most once.
	atMostOnce struct {
		once map[string]bool
		ran  map[string]Event
	}
)

func newAtMostOnce() *atMostOnce {
	return &atMostOnce{once: map[string]bool{}, ran: map[string]Event{}}
}

func (a *atMostOnce) see(e Event) []Violation {
	switch e.kind {
	case workDeclared:
		a.once[e.key] = e.once
	case runStarted:
		return a.start(e)
	}
	return nil
}

func (a *atMostOnce) start(e Event) []Violation {
	key := e.incarnation.Task
	if !a.once[key] {
		return nil
	}
	first, twice := a.ran[key]
	a.ran[key] = e
	if twice {
		return broken("at-most-once", e, "%s started on %s after %s on %s", e.incarnation, e.worker, first.incarnation, first.worker)
	}
	return nil
}

func (a *atMostOnce) end(clock.Millis) []Violation { return nil }
