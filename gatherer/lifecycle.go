package gatherer

import (
	"context"

	"github.com/looplab/fsm"
)

type (
	// Phase is the state of a host by its answers to requests: new, alive, suspect, dead
	// or gone.
	Phase string

	// lifecycle is the state machine of the phase of one host.
	lifecycle struct {
		machine *fsm.FSM
	}
)

// Phases of a host.
const (
	// PhaseNew is a host that is named by the settings or the list and has not yet
	// answered.
	PhaseNew Phase = "new"
	// PhaseAlive is a host that has answered and has left no request unanswered for longer
	// than Gatherer.suspectAfter.
	PhaseAlive Phase = "alive"
	// PhaseSuspect is a host that has left a request unanswered for longer than
	// Gatherer.suspectAfter.
	PhaseSuspect Phase = "suspect"
	// PhaseDead is a host that has left a request unanswered for longer than
	// Gatherer.deadAfter. It is alive again once it answers.
	PhaseDead Phase = "dead"
	// PhaseGone is a host that neither the settings nor the list name any more, and that
	// has not been in contact for longer than Gatherer.deadAfter. It is removed in the same
	// Step, so no Snapshot contains it.
	PhaseGone Phase = "gone"
)

// Triggers of the state machine, which move a host to another phase.
const (
	triggerAnswered       = "heard"
	triggerSuspectTimeout = "silent"
	triggerDeadTimeout    = "dead"
	triggerUnlisted       = "dropped"
)

var transitions = fsm.Events{
	{Name: triggerAnswered, Src: []string{string(PhaseNew), string(PhaseSuspect), string(PhaseDead)}, Dst: string(PhaseAlive)},
	{Name: triggerSuspectTimeout, Src: []string{string(PhaseNew), string(PhaseAlive)}, Dst: string(PhaseSuspect)},
	{Name: triggerDeadTimeout, Src: []string{string(PhaseSuspect)}, Dst: string(PhaseDead)},
	{Name: triggerUnlisted, Src: []string{string(PhaseNew), string(PhaseAlive), string(PhaseSuspect), string(PhaseDead)}, Dst: string(PhaseGone)},
}

func newLifecycle() *lifecycle {
	return &lifecycle{machine: fsm.NewFSM(string(PhaseNew), transitions, fsm.Callbacks{})}
}

func (l *lifecycle) phase() Phase { return Phase(l.machine.Current()) }

// apply fires a trigger and reports whether it changed the phase.
func (l *lifecycle) apply(trigger string) bool {
	return l.machine.Can(trigger) && l.machine.Event(context.Background(), trigger) == nil
}
