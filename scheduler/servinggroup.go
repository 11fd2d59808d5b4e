package scheduler

import "galenawharf.example/galenawharf/clock"

// servingGroup groups the serving tasks of one step on a worker.
type servingGroup struct {
	model    *sensitivity
	baseline *baseline
	tasks    int
	// headroomLoss is the loss of headroom caused by the fillers on the worker.
	headroomLoss float64
	// predicted is the lowest headroom without fillers predicted from predictedAt to the
	// placement horizon.
	predicted   float64
	predictedAt clock.Millis
}
