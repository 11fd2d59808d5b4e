package checker

import "galenawharf.example/galenawharf/clock"

type (
	// atMostOnceRule reports non-idempotent work that started more than once.
	atMostOnceRule struct {
		nonIdempotent map[string]bool
		firstStart    map[string]Event
	}
)

func newAtMostOnceRule() *atMostOnceRule {
	return &atMostOnceRule{nonIdempotent: map[string]bool{}, firstStart: map[string]Event{}}
}

func (a *atMostOnceRule) observe(e Event) []Violation {
	switch e.kind {
	case workDeclared:
		a.nonIdempotent[e.key] = e.nonIdempotent
	case runStarted:
		return a.start(e)
	}
	return nil
}

func (a *atMostOnceRule) start(e Event) []Violation {
	key := e.incarnation.Task
	if !a.nonIdempotent[key] {
		return nil
	}
	first, startedBefore := a.firstStart[key]
	a.firstStart[key] = e
	if startedBefore {
		return newViolation("at-most-once", e, "%s started on %s after %s on %s", e.incarnation, e.worker, first.incarnation, first.worker)
	}
	return nil
}

func (a *atMostOnceRule) finish(clock.Millis) []Violation { return nil }
