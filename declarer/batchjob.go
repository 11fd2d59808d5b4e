package declarer

import (
	"cmp"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// BatchJob is work that ends. It runs at the times of its calendar, or
	// when a caller submits it.
	BatchJob struct {
		Name     string         `json:"name"`
		Team     string         `json:"team"`
		Tasks    int            `json:"tasks"`
		Size     sizer.Document `json:"size"`
		RunTime  clock.Millis   `json:"run-time"`
		Priority int            `json:"priority"`
		// Class names the kind of work whose disturbance is learnt together.
		Class string `json:"class"`
		// CheckpointInterval is how often a task saves its state, 0 for never.
		CheckpointInterval clock.Millis `json:"checkpoint-interval"`
		// Idempotent work may be run again when its end is unclear.
		Idempotent bool `json:"idempotent"`
		// ExclusiveKey is the key of work that never runs beside other work
		// of the same key; empty for none.
		ExclusiveKey string `json:"exclusive-key"`
		// Deadline is how long after its start the run is of use, 0 for ever.
		Deadline clock.Millis `json:"deadline"`
		// Calendar says when the job runs by itself.
		Calendar Calendar `json:"calendar"`
	}
)

const (
	// MaxTasks is the most tasks of one job.
	MaxTasks = 10_000
	// MaxRunTime is the longest declared run time.
	MaxRunTime = 60 * clock.Day
)

// Defaults fills what was left out.
func (b *BatchJob) Defaults() {
	b.Class = cmp.Or(b.Class, "batch")
	b.Tasks = cmp.Or(b.Tasks, 1)
	b.Priority = cmp.Or(b.Priority, defaultPriority)
	b.Calendar.Every = cmp.Or(b.Calendar.Every, EveryNone)
}

// Validate gives every fault of b.
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
