package scheduler

import "galenawharf.example/galenawharf/clock"

// servingGroup holds the models and the predicted headroom that the serving tasks of one
// step on a worker have in common.
type servingGroup struct {
	sensitivity *sensitivity
	baseline    *baseline
	taskCount   int
	// headroomLoss is the loss of headroom caused by the fillers on the worker.
	headroomLoss float64
	// predictedHeadroom is the headroom without fillers that is predicted for predictedAt
	// or for placementHorizon later, whichever is lower.
	predictedHeadroom float64
	predictedAt       clock.Millis
}
