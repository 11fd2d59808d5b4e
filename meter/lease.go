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

	// lease is an incarnation that holds its reservation.
	lease struct {
		work Work
		from clock.Millis
		// metered is the end of the part that stands in the balance.
		metered clock.Millis
		// sampled is the end of the last usage sample.
		sampled clock.Millis
		// checkpoint is what it resumed from.
		checkpoint string
	}
)

// failedStart is how long standing work runs at least for its start to count.
const failedStart = clock.Minute

func keyOf(e *schema.TaskEvent) leaseKey {
	return leaseKey{task: e.GetTask(), number: e.GetIncarnation()}
}

// ends tells whether a state ends an incarnation.
func ends(s schema.TaskState) bool {
	switch s {
	case schema.TaskState_TASK_STATE_UNSPECIFIED, schema.TaskState_TASK_STATE_STARTING:
		return false
	}
	return true
}

// finishes tells whether a state is the end of a task's own run.
func finishes(s schema.TaskState) bool {
	switch s {
	case schema.TaskState_TASK_STATE_SUCCEEDED, schema.TaskState_TASK_STATE_FAILED:
		return true
	}
	return false
}

// wasted tells whether the work of a lease that ended so is lost. What a new
// checkpoint saved is not lost; standing work serves while it runs, so that only
// its failed starts are.
func (l *lease) wasted(at clock.Millis, e *schema.TaskEvent) bool {
	if l.work.standing && at.Sub(l.from) >= failedStart {
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
