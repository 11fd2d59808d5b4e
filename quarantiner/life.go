package quarantiner

import "github.com/looplab/fsm"

// States of a worker.
const (
	// Healthy is a worker that accepts any number of tasks.
	Healthy = "healthy"
	// Suspect is a worker with a failure since its last success. It gets a new task only
	// when none has started within fastFailWindow, so that it can't fail many tasks in a
	// row.
	Suspect = "suspect"
	// Quarantined is a worker to which enough failures were attributed. It gets no tasks
	// until its backoff ends.
	Quarantined = "quarantined"
	// Probing is a worker that gets one task at a time until enough of them succeed.
	Probing = "probing"
)

// Events of the state machine of a worker.
const (
	eventFail       = "fail"
	eventClear      = "clear"
	eventQuarantine = "quarantine"
	eventProbe      = "probe"
	eventRestore    = "restore"
)

var (
	transitions = fsm.Events{
		{Name: eventFail, Src: []string{Healthy}, Dst: Suspect},
		{Name: eventClear, Src: []string{Suspect}, Dst: Healthy},
		{Name: eventQuarantine, Src: []string{Suspect, Probing}, Dst: Quarantined},
		{Name: eventProbe, Src: []string{Quarantined}, Dst: Probing},
		{Name: eventRestore, Src: []string{Probing}, Dst: Healthy},
	}
)
