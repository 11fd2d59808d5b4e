// Package placer decides where work runs.
package placer

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Kind is how a task is treated.
	Kind int

	// Task is work that waits for a worker, or runs on one.
	Task struct {
		id         string
		team       string
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

	// TaskOption sets up a Task.
	TaskOption func(*Task)
)

// Kinds of tasks.
const (
	// Service is a replica of a latency-critical service.
	Service Kind = iota
	// Exclusive is submitted work that runs in one place at a time.
	Exclusive
	// Watch is a standing watch job.
	Watch
	// Batch is a task of a batch job.
	Batch
)

const defaultTolerance = 0.3

// NewTask gives a task of a team's service or job.
func NewTask(id, team, work, class string, k Kind, size sizer.Size, opts ...TaskOption) Task {
	t := Task{id: id, team: team, work: work, class: class, kind: k, size: size, deadline: clock.Never, tolerance: defaultTolerance}
	for _, o := range opts {
		o(&t)
	}
	return t
}

// WithPriority sets the priority, 0 to 100; higher goes first.
func WithPriority(n int) TaskOption { return func(t *Task) { t.priority = n } }

// WithSubmitted sets when the task began to wait.
func WithSubmitted(at clock.Millis) TaskOption { return func(t *Task) { t.submitted = at } }

// WithDeadline sets the latest useful end.
func WithDeadline(at clock.Millis) TaskOption { return func(t *Task) { t.deadline = at } }

// WithRunTime sets the declared run time, 0 for standing work.
func WithRunTime(d clock.Millis) TaskOption { return func(t *Task) { t.runTime = d } }

// WithCheckpoint sets when the state of a running task was last saved.
func WithCheckpoint(at clock.Millis) TaskOption { return func(t *Task) { t.checkpoint = at } }

// WithStarted sets when a running task began.
func WithStarted(at clock.Millis) TaskOption { return func(t *Task) { t.started = at } }

// WithGroup sets the name of the submission that the task is part of, where a
// job is submitted more than once; its tasks are finished together.
func WithGroup(name string) TaskOption { return func(t *Task) { t.group = name } }

// WithTolerance sets the slowdown by neighbours under which a service holds its
// latency target: 0.25 for a quarter longer than alone.
func WithTolerance(slowdown float64) TaskOption { return func(t *Task) { t.tolerance = slowdown } }

// ID gives the unique name.
func (t Task) ID() string { return t.id }

// Team gives the team that owns it.
func (t Task) Team() string { return t.team }

// Work gives the service or job that it is part of.
func (t Task) Work() string { return t.work }

// Class gives the kind of work whose disturbance is learnt together.
func (t Task) Class() string { return t.class }

// Kind gives how it is treated.
func (t Task) Kind() Kind { return t.kind }

// Size gives its declared size.
func (t Task) Size() sizer.Size { return t.size }

// Priority gives its priority, 0 to 100.
func (t Task) Priority() int { return t.priority }

// Submitted gives when it began to wait.
func (t Task) Submitted() clock.Millis { return t.submitted }

// Deadline gives its latest useful end, clock.Never for none.
func (t Task) Deadline() clock.Millis { return t.deadline }

// RunTime gives its declared run time, 0 for standing work.
func (t Task) RunTime() clock.Millis { return t.runTime }

// Checkpoint gives when its state was last saved, 0 for never.
func (t Task) Checkpoint() clock.Millis { return t.checkpoint }

// Started gives when it began to run, 0 while it waits.
func (t Task) Started() clock.Millis { return t.started }

// Group gives the submission that it is part of, its service or job where none
// was set.
func (t Task) Group() string {
	if t.group == "" {
		return t.work
	}
	return t.group
}

// Tolerance gives the slowdown that a service bears, 0.25 for a quarter longer
// than alone.
func (t Task) Tolerance() float64 { return t.tolerance }

// urgent tells whether the task goes before batch tasks.
func (t Task) urgent() bool { return t.kind != Batch }

// lost gives the core-seconds that an eviction at a moment loses.
func (t Task) lost(now clock.Millis) float64 {
	since := max(t.started, t.checkpoint)
	return coresOf(t.size) * float64(max(now-since, 0)) / float64(clock.Second)
}
