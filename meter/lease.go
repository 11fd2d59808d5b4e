package meter

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
)

type (
	leaseKey struct {
		task   string
		number int64
	}

	// lease is the reservation that an incarnation of a task holds while it runs.
	lease struct {
		work Work
		from clock.Millis
		// meteredUntil is the end of the part that is already in the meter's balance.
		meteredUntil clock.Millis
		// sampledUntil is the end of the last usage sample; a sample that overlaps
		// it counts from here on.
		sampledUntil clock.Millis
		// checkpoint is the one that the incarnation resumed from.
		checkpoint string
	}
)

// minServingTime is how long a task of a long-running workload has to run for its
// start to have succeeded.
const minServingTime = clock.Minute

func leaseKeyOf(e *schema.TaskEvent) leaseKey {
	return leaseKey{task: e.GetTask(), number: e.GetIncarnation()}
}

// isTerminal reports whether a state ends an incarnation and releases its reservation.
func isTerminal(s schema.TaskState) bool {
	switch s {
	case schema.TaskState_TASK_STATE_UNSPECIFIED, schema.TaskState_TASK_STATE_STARTING:
		return false
	}
	return true
}

// isCompletion reports whether the task ended by itself, so that it counts as a run.
func isCompletion(s schema.TaskState) bool {
	switch s {
	case schema.TaskState_TASK_STATE_SUCCEEDED, schema.TaskState_TASK_STATE_FAILED:
		return true
	}
	return false
}

// isWasted reports whether the computation done under the lease was lost when the lease
// ended with event e. It isn't if the task saved a new checkpoint. Long-running
// workloads are useful while they run, so only their failed starts are wasted.
func (l *lease) isWasted(at clock.Millis, e *schema.TaskEvent) bool {
	if l.work.longRunning && at.Sub(l.from) >= minServingTime {
		return false
	}
	switch e.GetState() {
	case schema.TaskState_TASK_STATE_FAILED, schema.TaskState_TASK_STATE_PARKED:
		return true
	case schema.TaskState_TASK_STATE_EVICTED, schema.TaskState_TASK_STATE_LOST, schema.TaskState_TASK_STATE_CANCELLED:
		return e.GetCheckpoint() == l.checkpoint
	}
	return false
}
