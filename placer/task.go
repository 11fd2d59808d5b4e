// Package placer decides on which worker each task runs.
//
// All tasks except those of batch jobs are urgent: they may use the reserve of a worker and
// preempt batch tasks. The tasks on a worker are its residents. Tasks are grouped into
// classes, and the slowdown that one class causes to another on the same worker is learnt
// from usage samples. A service tolerates a declared slowdown; the pressure on it is its
// current slowdown divided by the slowdown that it tolerates.
package placer

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sharer"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Kind is the kind of work of a task.
	Kind int

	// Task is a task that waits for a worker or runs on one.
	Task struct {
		id   string
		team string
		// work is the name of the service or job.
		work       string
		class      string
		kind       Kind
		size       sizer.Size
		priority   int
		submitted  clock.Millis
		deadline   clock.Millis
		runTime    clock.Millis
		checkpoint clock.Millis
		started    clock.Millis
		tolerance  float64
		group      string
	}

	// TaskOption configures a Task.
	TaskOption func(*Task)
)

const (
	// Service is a replica of a latency-critical service.
	Service Kind = iota
	// Exclusive is a task of a submitted job of which at most one copy runs at a time.
	Exclusive
	// Watch is a watch job, which runs continuously.
	Watch
	// Batch is a task of a batch job.
	Batch
)

// defaultTolerance is the tolerated slowdown of a service that declares none.
const defaultTolerance = 0.3

// NewTask returns a task of a team's service or job.
func NewTask(id, team, work, class string, k Kind, size sizer.Size, opts ...TaskOption) Task {
	t := Task{id: id, team: team, work: work, class: class, kind: k, size: size, deadline: clock.Never, tolerance: defaultTolerance}
	for _, o := range opts {
		o(&t)
	}
	return t
}

// WithPriority sets the priority, 0 to 100; higher goes first.
func WithPriority(n int) TaskOption { return func(t *Task) { t.priority = n } }

// WithSubmitted sets when the task started to wait.
func WithSubmitted(at clock.Millis) TaskOption { return func(t *Task) { t.submitted = at } }

// WithDeadline sets the time after which the result is of no use.
func WithDeadline(at clock.Millis) TaskOption { return func(t *Task) { t.deadline = at } }

// WithRunTime sets the declared run time, 0 for work that runs continuously.
func WithRunTime(d clock.Millis) TaskOption { return func(t *Task) { t.runTime = d } }

// WithCheckpoint sets the time of a running task's last checkpoint.
func WithCheckpoint(at clock.Millis) TaskOption { return func(t *Task) { t.checkpoint = at } }

// WithStarted sets when a running task started.
func WithStarted(at clock.Millis) TaskOption { return func(t *Task) { t.started = at } }

// WithGroup sets the name of the submission that the task belongs to, for jobs that are
// submitted more than once. A submission is complete when all its tasks are.
func WithGroup(name string) TaskOption { return func(t *Task) { t.group = name } }

// WithTolerance sets the slowdown caused by neighbours up to which a service meets its
// latency target: 0.25 if requests may take a quarter longer than when it runs alone.
func WithTolerance(slowdown float64) TaskOption { return func(t *Task) { t.tolerance = slowdown } }

// Tier returns the tier of the kind of work, in the order of which tasks are placed.
func (k Kind) Tier() sharer.Tier {
	switch k {
	case Service:
		return sharer.TierService
	case Batch:
		return sharer.TierBatch
	}
	return sharer.TierUrgent
}

// ID returns the unique id.
func (t Task) ID() string { return t.id }

// Team returns the team that owns the task.
func (t Task) Team() string { return t.team }

// Work returns the service or job that the task belongs to.
func (t Task) Work() string { return t.work }

// Class returns the interference class: interference is learnt for pairs of classes.
func (t Task) Class() string { return t.class }

// Kind returns the kind of work.
func (t Task) Kind() Kind { return t.kind }

// Size returns the declared size.
func (t Task) Size() sizer.Size { return t.size }

// Priority returns the priority, 0 to 100.
func (t Task) Priority() int { return t.priority }

// Submitted returns when the task started to wait.
func (t Task) Submitted() clock.Millis { return t.submitted }

// Deadline returns the time after which the result is of no use, clock.Never for none.
func (t Task) Deadline() clock.Millis { return t.deadline }

// RunTime returns the declared run time, 0 for work that runs continuously.
func (t Task) RunTime() clock.Millis { return t.runTime }

// Checkpoint returns the time of the last checkpoint, 0 for none.
func (t Task) Checkpoint() clock.Millis { return t.checkpoint }

// Started returns when the task started, 0 while it waits.
func (t Task) Started() clock.Millis { return t.started }

// Group returns the submission that the task belongs to, or its service or job if none
// was set.
func (t Task) Group() string {
	if t.group == "" {
		return t.work
	}
	return t.group
}

// Tolerance returns the slowdown that a service tolerates, 0.25 for a quarter longer than
// alone.
func (t Task) Tolerance() float64 { return t.tolerance }

// urgent reports whether the task is not a batch task, and so has precedence over them.
func (t Task) urgent() bool { return t.kind != Batch }

// unsavedWork returns the work since the last checkpoint that an eviction now would lose,
// in core-seconds.
func (t Task) unsavedWork(now clock.Millis) float64 {
	savedAt := max(t.started, t.checkpoint)
	return coresOf(t.size) * float64(max(now-savedAt, 0)) / float64(clock.Second)
}
