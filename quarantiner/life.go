package quarantiner

import "github.com/looplab/fsm"

// States of a worker.
const (
	// Healthy is a worker that accepts any number of tasks.
	Healthy = "healthy"
	// Suspect is a worker with a failure since its last success. It gets a new task only if
	// none of its running tasks has started within fastFailWindow, so that a faulty worker
	// can't fail many tasks at once.
	Suspect = "suspect"
	// Quarantined is a worker to which enough failures were attributed, or on which a task
	// failed while it was Probing. It gets no tasks until its backoff ends.
	Quarantined = "quarantined"
	// Probing is a worker that gets one task at a time after its backoff. Once enough tasks
	// have succeeded, it is Healthy.
	Probing = "probing"
)

// Events of the state machine of a worker.
const (
	// eventFail is a failed task.
	eventFail = "fail"
	// eventClear is a task that succeeded on a Suspect worker.
	eventClear = "clear"
	// eventQuarantine is a failure after which the worker is quarantined.
	eventQuarantine = "quarantine"
	// eventProbe is the start of the first task after the backoff.
	eventProbe = "probe"
	// eventRestore is the last task that a Probing worker needed to succeed.
	eventRestore = "restore"
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
