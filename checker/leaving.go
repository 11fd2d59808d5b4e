package checker

import "galenawharf.example/galenawharf/clock"

type (
	// leavingRule reports runs and requests that a backend server gets later than
	// the bound after it was reported as leaving.
	leavingRule struct {
		bound clock.Millis
		since map[string]clock.Millis
	}
)

func newLeavingRule(bound clock.Millis) *leavingRule {
	return &leavingRule{bound: bound, since: map[string]clock.Millis{}}
}

func (l *leavingRule) observe(e Event) []Violation {
	switch e.kind {
	case backendLeaving:
		l.since[e.backend] = e.at
	case backendReturned:
		delete(l.since, e.backend)
	case requestDispatched:
		return l.check(e, e.backend, e.request)
	case runStarted:
		return l.check(e, e.worker, e.incarnation.String())
	}
	return nil
}

func (l *leavingRule) check(e Event, backend, name string) []Violation {
	since, leaving := l.since[backend]
	if leaving && e.at > since+l.bound {
		return newViolation("leaving", e, "%s was sent to %s, which has been leaving since %d", name, backend, since)
	}
	return nil
}

func (l *leavingRule) finish(clock.Millis) []Violation { return nil }
