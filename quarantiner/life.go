package quarantiner

import "github.com/looplab/fsm"

// States of a worker.
const (
	// Healthy is a worker that takes any work.
	Healthy = "healthy"
	// Suspect is a worker whose last task failed. It takes one task at a time.
	Suspect = "suspect"
	// Quarantined is a worker that fails what it starts. It takes nothing.
	Quarantined = "quarantined"
	// Probing is a worker that gets one task to show that it works again.
	Probing = "probing"
)

// Events of a worker's life.
const (
	eventFail       = "fail"
	eventClear      = "clear"
	eventQuarantine = "quarantine"
	eventProbe      = "probe"
	eventRestore    = "restore"
)

var (
	life = fsm.Events{
		{Name: eventFail, Src: []string{Healthy}, Dst: Suspect},
		{Name: eventClear, Src: []string{Suspect}, Dst: Healthy},
		{Name: eventQuarantine, Src: []string{Suspect, Probing}, Dst: Quarantined},
		{Name: eventProbe, Src: []string{Quarantined}, Dst: Probing},
		{Name: eventRestore, Src: []string{Probing}, Dst: Healthy},
	}
)
