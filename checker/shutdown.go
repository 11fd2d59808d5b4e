package checker

import (
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// shutdown: a daemon that ends of itself has answered all that it had
	// taken.
	shutdown struct {
		inflight map[string]map[string]bool
	}
)

func newShutdown() *shutdown { return &shutdown{inflight: map[string]map[string]bool{}} }

func (s *shutdown) see(e Event) []Violation {
	switch e.kind {
	case requestSent:
		if s.inflight[e.daemon] == nil {
			s.inflight[e.daemon] = map[string]bool{}
		}
		s.inflight[e.daemon][e.request] = true
	case requestAnswered:
		delete(s.inflight[e.daemon], e.request)
	case daemonKilled:
		delete(s.inflight, e.daemon)
	case daemonStopped:
		return s.stop(e)
	}
	return nil
}

func (s *shutdown) stop(e Event) []Violation {
	var found []Violation
	for _, request := range slices.Sorted(maps.Keys(s.inflight[e.daemon])) {
		found = append(found, broken("shutdown", e, "%s stopped with %s in flight", e.daemon, request)...)
	}
	delete(s.inflight, e.daemon)
	return found
}

func (s *shutdown) end(clock.Millis) []Violation { return nil }
