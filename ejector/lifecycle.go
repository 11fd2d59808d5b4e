package ejector

import "github.com/looplab/fsm"

// States of an executor.
const (
	// Healthy is an executor in full use.
	Healthy = "healthy"
	// Ejected is an executor that gets nothing until a time.
	Ejected = "ejected"
	// Probing is an executor that gets one attempt at a time to show whether it works again.
	Probing = "probing"
)

const (
	eventEject   = "eject"
	eventProbe   = "probe"
	eventRestore = "restore"
)

// transitions is the life cycle of an executor.
var transitions = fsm.Events{
	{Name: eventEject, Src: []string{Healthy, Probing}, Dst: Ejected},
	{Name: eventProbe, Src: []string{Ejected}, Dst: Probing},
	{Name: eventRestore, Src: []string{Probing}, Dst: Healthy},
}

func newLifecycle() *fsm.FSM { return fsm.NewFSM(Healthy, transitions, fsm.Callbacks{}) }
