package checker

import (
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// shutdownRule reports requests that a daemon had not answered when its graceful
	// shutdown ended. A killed daemon may leave requests unanswered.
	shutdownRule struct {
		inFlight map[string]map[string]bool
	}
)

func newShutdownRule() *shutdownRule { return &shutdownRule{inFlight: map[string]map[string]bool{}} }

func (s *shutdownRule) observe(e Event) []Violation {
	switch e.kind {
	case requestSent:
		if s.inFlight[e.daemon] == nil {
			s.inFlight[e.daemon] = map[string]bool{}
		}
		s.inFlight[e.daemon][e.request] = true
	case requestAnswered:
		delete(s.inFlight[e.daemon], e.request)
	case daemonKilled:
		delete(s.inFlight, e.daemon)
	case daemonStopped:
		return s.stop(e)
	}
	return nil
}

func (s *shutdownRule) stop(e Event) []Violation {
	var found []Violation
	for _, request := range slices.Sorted(maps.Keys(s.inFlight[e.daemon])) {
		found = append(found, newViolation("shutdown", e, "%s stopped with %s in flight", e.daemon, request)...)
	}
	delete(s.inFlight, e.daemon)
	return found
}

func (s *shutdownRule) finish(clock.Millis) []Violation { return nil }
