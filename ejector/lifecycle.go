package ejector

import "github.com/looplab/fsm"

// States of an executor.
const (
	// Healthy is the state of an executor whose requests the ejector doesn't limit.
	Healthy = "healthy"
	// Ejected is the state of an executor that gets no requests until its ejection ends.
	Ejected = "ejected"
	// Probing is the state of an executor after an ejection: it gets one attempt at a time
	// until enough of them succeed, and is ejected again if one fails.
	Probing = "probing"
)

const (
	eventEject   = "eject"
	eventProbe   = "probe"
	eventRestore = "restore"
)

var transitions = fsm.Events{
	{Name: eventEject, Src: []string{Healthy, Probing}, Dst: Ejected},
	{Name: eventProbe, Src: []string{Ejected}, Dst: Probing},
	{Name: eventRestore, Src: []string{Probing}, Dst: Healthy},
}

func newLifecycle() *fsm.FSM { return fsm.NewFSM(Healthy, transitions, fsm.Callbacks{}) }
