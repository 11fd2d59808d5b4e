package scheduler

import "galenawharf.example/galenawharf/clock"

// servingGroup is the serving tasks of one step on a worker.
type servingGroup struct {
	model    *sensitivity
	baseline *baseline
	tasks    int
	// fall is by how much the fillers on the worker lower their headroom.
	fall float64
	// ahead is the headroom without fillers that is expected from at on.
	ahead float64
	at    clock.Millis
}
