package meter

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
)

type (
	leaseKey struct {
		task        string
		incarnation int64
	}

	// lease is the reservation that an incarnation of a task holds while it runs.
	lease struct {
		workload Workload
		from     clock.Millis
		// meteredUntil is the end of the time that is already in the meter's balance.
		meteredUntil clock.Millis
		// sampledUntil is the end of the last usage sample. Of a sample that begins
		// earlier, only the part from here on is added.
		sampledUntil clock.Millis
		// checkpoint identifies the checkpoint from which the incarnation resumed.
		checkpoint string
	}
)

// minServingTime is how long a task of a long-running workload must run before its start
// counts as successful.
const minServingTime = clock.Minute

func leaseKeyOf(e *schema.TaskEvent) leaseKey {
	return leaseKey{task: e.GetTask(), incarnation: e.GetIncarnation()}
}

// isTerminal reports whether a state ends an incarnation and releases its reservation.
func isTerminal(s schema.TaskState) bool {
	switch s {
	case schema.TaskState_TASK_STATE_UNSPECIFIED, schema.TaskState_TASK_STATE_STARTING:
		return false
	}
	return true
}

// isCompletion reports whether the state is a final result of the task itself, which counts
// as a run.
func isCompletion(s schema.TaskState) bool {
	switch s {
	case schema.TaskState_TASK_STATE_SUCCEEDED, schema.TaskState_TASK_STATE_FAILED:
		return true
	}
	return false
}

// isWasted reports whether the computation done under the lease was lost when the lease
// ended at time at with event e. The computation of a failed or parked (given up) task
// is lost; that of an evicted, lost or cancelled one only if it saved no new checkpoint.
// Long-running workloads are useful while they run, so only their failed starts are wasted.
func (l *lease) isWasted(at clock.Millis, e *schema.TaskEvent) bool {
	if l.workload.longRunning && at.Sub(l.from) >= minServingTime {
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
