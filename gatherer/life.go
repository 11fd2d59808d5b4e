package gatherer

import (
	"context"

	"github.com/looplab/fsm"
)

type (
	// Phase is what is known of a host's life.
	Phase string

	// life is the life cycle of one host.
	life struct {
		machine *fsm.FSM
	}
)

// Phases of a host.
const (
	// PhaseNew is a host that is named by the settings or the platform's list
	// and was never heard.
	PhaseNew Phase = "new"
	// PhaseAlive is a host that was heard lately.
	PhaseAlive Phase = "alive"
	// PhaseSuspect is a host that was asked and didn't answer for a while.
	PhaseSuspect Phase = "suspect"
	// PhaseDead is a host that was asked and didn't answer for long.
	PhaseDead Phase = "dead"
	// PhaseGone is a host that nobody names any more.
	PhaseGone Phase = "gone"
)

const (
	eventHeard   = "heard"
	eventSilent  = "silent"
	eventDead    = "dead"
	eventDropped = "dropped"
)

var lifeTable = fsm.Events{
	{Name: eventHeard, Src: []string{string(PhaseNew), string(PhaseSuspect), string(PhaseDead)}, Dst: string(PhaseAlive)},
	{Name: eventSilent, Src: []string{string(PhaseNew), string(PhaseAlive)}, Dst: string(PhaseSuspect)},
	{Name: eventDead, Src: []string{string(PhaseSuspect)}, Dst: string(PhaseDead)},
	{Name: eventDropped, Src: []string{string(PhaseNew), string(PhaseAlive), string(PhaseSuspect), string(PhaseDead)}, Dst: string(PhaseGone)},
}

func newLife() *life {
	return &life{machine: fsm.NewFSM(string(PhaseNew), lifeTable, fsm.Callbacks{})}
}

func (l *life) phase() Phase { return Phase(l.machine.Current()) }

// move takes an event and tells whether it changed the phase.
func (l *life) move(event string) bool {
	return l.machine.Can(event) && l.machine.Event(context.Background(), event) == nil
}
