package ejector

import (
	"github.com/looplab/fsm"

	"galenawharf.example/galenawharf/clock"
)

type (
	// member is an executor of the pool.
	member struct {
		lifecycle *fsm.FSM
		slots     int
		until     clock.Millis
		since     clock.Millis
		times     int
		answers   int64
	}
)

// cause gives why a member is to be ejected, or "".
func (m *member) cause(r Report, median clock.Millis) Cause {
	failures := maxFailures
	if m.lifecycle.Is(Probing) {
		failures = 1
	}
	if r.failures >= failures {
		return CauseFailures
	}
	if median > 0 && r.latency > median*latencyFactor+latencySlack && r.answers-m.answers >= minAnswers {
		return CauseLatency
	}
	return ""
}

// proven tells whether a probed member works again.
func (m *member) proven(r Report) bool {
	return m.lifecycle.Is(Probing) && r.failures == 0 && r.answers-m.answers >= minAnswers
}

// pause gives how long the next ejection lasts.
func (m *member) pause() clock.Millis {
	return min(firstPause<<min(m.times, maxDoublings), maxPause)
}
