package keeper

import (
	"strings"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// spec is what the declarations say of a task.
	spec struct {
		team       string
		work       string
		class      string
		kind       placer.Kind
		size       sizer.Size
		priority   int
		runTime    clock.Millis
		checkpoint clock.Millis
		idempotent bool
	}

	// task is one piece of work of the shard.
	task struct {
		id     string
		intent *schema.Intent
		spec   *spec
		state  string
		// incarnation is the number of the last run, 0 for none.
		incarnation int64
		worker      string
		// reserved is the size of the run that the log has.
		reserved   sizer.Size
		boot       string
		checkpoint string
		failures   int
		code       coder.Code
		answer     []byte
		endedAt    clock.Millis
		submitted  clock.Millis
		notBefore  clock.Millis
		cancelled  bool
		wanted     bool
		ran        bool
		// pending is the id of the record that a decision waits for.
		pending string
		lease   *lease
		// unclearSince is when the last lease lapsed without a word.
		unclearSince clock.Millis
	}
)

func (t *task) name() provider.Incarnation {
	return provider.Incarnation{Task: t.id, Number: t.incarnation}
}

func (t *task) unit() string {
	if x := t.intent.GetExclusiveKey(); x != "" {
		return unitOfKey(x)
	}
	return t.id
}

// service tells whether a second run does no harm, so that it may go on
// without the log.
func (t *task) service() bool { return strings.HasPrefix(t.id, prefixService) }

// repeatable tells whether the task may run again when its end is unclear.
func (t *task) repeatable() bool {
	return t.service() || t.intent.GetIdempotent()
}

// reservation gives what a run that begins now holds, and who pays for it.
func (t *task) reservation() *schema.Reservation {
	size := t.spec.size
	if t.lease != nil {
		size = t.lease.size
	}
	return &schema.Reservation{
		Team:         t.spec.team,
		Work:         t.spec.work,
		Millicores:   size.Millicores(),
		MemoryBytes:  size.MemoryBytes(),
		Accelerators: size.Accelerators(),
		Standing:     t.spec.kind == placer.Service || t.spec.kind == placer.Watch,
	}
}

// waitingTask gives what the next home of the task has to know.
func (t *task) waitingTask() *schema.WaitingTask {
	return &schema.WaitingTask{
		Intent:          t.intent,
		Incarnation:     t.incarnation,
		Checkpoint:      t.checkpoint,
		Failures:        int32(t.failures),
		SubmittedMillis: int64(t.submitted),
	}
}

func (t *task) deadline() clock.Millis {
	if d := t.intent.GetDeadlineMillis(); d > 0 {
		return clock.Millis(d)
	}
	return clock.Never
}

// placed gives the task as the placer sees it.
func (t *task) placed() placer.Task {
	opts := []placer.TaskOption{
		placer.WithPriority(t.spec.priority),
		placer.WithSubmitted(t.submitted),
		placer.WithDeadline(t.deadline()),
		placer.WithRunTime(t.spec.runTime),
	}
	size := t.spec.size
	if t.lease != nil {
		size = t.lease.size
		opts = append(opts, placer.WithStarted(t.lease.granted), placer.WithCheckpoint(t.lease.checkpointed))
	}
	return placer.NewTask(t.id, t.spec.team, t.spec.work, t.spec.class, t.spec.kind, size, opts...)
}
