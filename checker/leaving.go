package checker

import "galenawharf.example/galenawharf/clock"

type (
	// leaving: some seconds after a backend server is known to leave it gets
	// no new work.
	leaving struct {
		bound clock.Millis
		since map[string]clock.Millis
	}
)

func newLeaving(bound clock.Millis) *leaving {
	return &leaving{bound: bound, since: map[string]clock.Millis{}}
}

func (l *leaving) see(e Event) []Violation {
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

func (l *leaving) check(e Event, backend, what string) []Violation {
	since, leaves := l.since[backend]
	if leaves && e.at > since+l.bound {
		return broken("leaving", e, "%s went to %s, which leaves since %d", what, backend, since)
	}
	return nil
}

func (l *leaving) end(clock.Millis) []Violation { return nil }
