package ejector

import (
	"github.com/looplab/fsm"

	"galenawharf.example/galenawharf/clock"
)

type (
	// member is an executor of the pool.
	member struct {
		lifecycle    *fsm.FSM
		slots        int
		ejectedUntil clock.Millis
		stateSince   clock.Millis
		// ejections is the number of ejections since the last reset of the backoff.
		ejections int
		// answersAtTransition is the executor's answer count at its last change of state.
		answersAtTransition int64
	}
)

// cause returns why a member should be ejected, or "". A member that is being probed is
// ejected after a single failure.
func (m *member) cause(r Report, median clock.Millis) Cause {
	failures := maxFailures
	if m.lifecycle.Is(Probing) {
		failures = 1
	}
	if r.failures >= failures {
		return CauseFailures
	}
	if median > 0 && r.latency > median*latencyFactor+latencySlack && r.answers-m.answersAtTransition >= minAnswers {
		return CauseLatency
	}
	return ""
}

// recovered reports whether the probes of a member succeeded.
func (m *member) recovered(r Report) bool {
	return m.lifecycle.Is(Probing) && r.failures == 0 && r.answers-m.answersAtTransition >= minAnswers
}

// ejectionTime returns the length of the next ejection.
func (m *member) ejectionTime() clock.Millis {
	return min(baseEjectionTime<<min(m.ejections, maxDoublings), maxEjectionTime)
}
