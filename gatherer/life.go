package gatherer

import (
	"context"

	"github.com/looplab/fsm"
)

type (
	// Phase is the state of a host.
	Phase string

	// lifecycle is the state machine of one host.
	lifecycle struct {
		machine *fsm.FSM
	}
)

// Phases of a host.
const (
	// PhaseNew is a host that is named by the settings or the platform's list and has
	// not yet answered.
	PhaseNew Phase = "new"
	// PhaseAlive is a host that has answered and has no request unanswered for long.
	PhaseAlive Phase = "alive"
	// PhaseSuspect is a host that has not answered requests for the time after which
	// hosts are suspected.
	PhaseSuspect Phase = "suspect"
	// PhaseDead is a host that has not answered requests for the time after which hosts
	// are dead. It is alive again once it answers.
	PhaseDead Phase = "dead"
	// PhaseGone is a host that neither the settings nor the list name any more, and from
	// which nothing was received for a while. It is removed.
	PhaseGone Phase = "gone"
)

const (
	eventHeard   = "heard"
	eventSilent  = "silent"
	eventDead    = "dead"
	eventDropped = "dropped"
)

var transitions = fsm.Events{
	{Name: eventHeard, Src: []string{string(PhaseNew), string(PhaseSuspect), string(PhaseDead)}, Dst: string(PhaseAlive)},
	{Name: eventSilent, Src: []string{string(PhaseNew), string(PhaseAlive)}, Dst: string(PhaseSuspect)},
	{Name: eventDead, Src: []string{string(PhaseSuspect)}, Dst: string(PhaseDead)},
	{Name: eventDropped, Src: []string{string(PhaseNew), string(PhaseAlive), string(PhaseSuspect), string(PhaseDead)}, Dst: string(PhaseGone)},
}

func newLifecycle() *lifecycle {
	return &lifecycle{machine: fsm.NewFSM(string(PhaseNew), transitions, fsm.Callbacks{})}
}

func (l *lifecycle) phase() Phase { return Phase(l.machine.Current()) }

// apply fires an event and reports whether it changed the phase.
func (l *lifecycle) apply(event string) bool {
	return l.machine.Can(event) && l.machine.Event(context.Background(), event) == nil
}
