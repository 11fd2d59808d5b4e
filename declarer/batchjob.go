package declarer

import (
	"cmp"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// BatchJob is work that runs to completion, at the times of its calendar or
	// when a caller submits it.
	BatchJob struct {
		Name     string         `json:"name"`
		Team     string         `json:"team"`
		Tasks    int            `json:"tasks"`
		Size     sizer.Document `json:"size"`
		RunTime  clock.Millis   `json:"run-time"`
		Priority int            `json:"priority"`
		// Class groups work whose interference on shared workers is learned
		// together.
		Class string `json:"class"`
		// CheckpointInterval is the time between checkpoints of a task, 0 for a
		// job without checkpoints.
		CheckpointInterval clock.Millis `json:"checkpoint-interval"`
		// Idempotent allows another run when the outcome of one is unknown.
		Idempotent bool `json:"idempotent"`
		// ExclusiveKey is a mutual exclusion key: work with the same key never
		// runs at the same time. Empty for none.
		ExclusiveKey string `json:"exclusive-key"`
		// Deadline of a run, counted from its scheduled time; 0 for none.
		Deadline clock.Millis `json:"deadline"`
		// Calendar is the schedule of the job.
		Calendar Calendar `json:"calendar"`
	}
)

const (
	// MaxTasks is the maximum number of tasks of one job.
	MaxTasks = 10_000
	// MaxRunTime is the maximum declared run time of a batch job and period of a
	// watch job.
	MaxRunTime = 60 * clock.Day
)

// Defaults sets the default of each omitted field.
func (b *BatchJob) Defaults() {
	b.Class = cmp.Or(b.Class, "batch")
	b.Tasks = cmp.Or(b.Tasks, 1)
	b.Priority = cmp.Or(b.Priority, defaultPriority)
	b.Calendar.Every = cmp.Or(b.Calendar.Every, EveryNone)
}

// Validate adds every error in b to v.
func (b BatchJob) Validate(v *Validator) {
	v.name("name", b.Name)
	v.name("team", b.Team)
	v.name("class", b.Class)
	v.between("tasks", int64(b.Tasks), 1, MaxTasks)
	v.taskSize("size", b.Size)
	v.between("run-time", int64(b.RunTime), 1, int64(MaxRunTime))
	v.between("priority", int64(b.Priority), 0, MaxPriority)
	v.atLeast("checkpoint-interval", int64(b.CheckpointInterval), 0)
	v.atLeast("deadline", int64(b.Deadline), 0)
	b.Calendar.validate(v)
}
