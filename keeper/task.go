package keeper

import (
	"strings"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sharer"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// spec is the declaration of a service or job, as far as it matters to its tasks.
	spec struct {
		team string
		// work is the name of the service or job.
		work               string
		class              string
		kind               placer.Kind
		size               sizer.Size
		priority           int
		runTime            clock.Millis
		checkpointInterval clock.Millis
		idempotent         bool
	}

	// task is a submission or a service replica of the shard.
	task struct {
		id string
		// intent is the submission, nil for a service replica.
		intent *schema.Intent
		// spec is nil until a declaration of the task's service or job was seen.
		spec  *spec
		state string
		// incarnation is the number of the last run, 0 if there was none.
		incarnation int64
		worker      string
		// reserved is the size of the last run as recorded in the log.
		reserved sizer.Size
		// boot identifies the boot of the worker on which the last run started.
		boot string
		// checkpoint is what the next run resumes from.
		checkpoint  string
		failures    int
		code        coder.Code
		answer      []byte
		endedAt     clock.Millis
		submittedAt clock.Millis
		// notBefore is the end of the backoff after a failure.
		notBefore clock.Millis
		cancelled bool
		// wanted is set while the configuration asks for the task.
		wanted bool
		// ran is set once the task may have run.
		ran bool
		// pending is the ID of the last record written for the task, until it is read
		// back.
		pending string
		lease   *lease
		// unresolvedSince is when the last lease expired without a report from the worker,
		// for a task that must not run twice; otherwise 0.
		unresolvedSince clock.Millis
	}
)

func (t *task) lastRun() provider.Incarnation {
	return provider.Incarnation{Task: t.id, Number: t.incarnation}
}

// unit returns the unit that moves between shards as a whole: that of the task's exclusive
// key, or the task alone.
func (t *task) unit() string {
	if x := t.intent.GetExclusiveKey(); x != "" {
		return unitOfKey(x)
	}
	return t.id
}

// isService reports whether the task is a service replica. A second copy of a replica is
// harmless, so replicas start without waiting for the log.
func (t *task) isService() bool { return strings.HasPrefix(t.id, prefixService) }

// repeatable reports whether the task may run again when it isn't known how its last run
// ended.
func (t *task) repeatable() bool {
	return t.isService() || t.intent.GetIdempotent()
}

// reservation returns what a run that starts now reserves, and for which team.
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

// waitingTask returns the part of the task's state that moves with it to another shard.
func (t *task) waitingTask() *schema.WaitingTask {
	return &schema.WaitingTask{
		Intent:          t.intent,
		Incarnation:     t.incarnation,
		Checkpoint:      t.checkpoint,
		Failures:        int32(t.failures),
		SubmittedMillis: int64(t.submittedAt),
	}
}

func (t *task) deadline() clock.Millis {
	if d := t.intent.GetDeadlineMillis(); d > 0 {
		return clock.Millis(d)
	}
	return clock.Never
}

// agedRank returns the rank of a task by priority, lowest first. As in package sharer, a wait of
// DefaultAgeStep makes up for one priority, so that no task waits behind later ones without a bound.
func (t *task) agedRank() clock.Millis {
	return t.submittedAt - clock.Millis(t.spec.priority)*sharer.DefaultAgeStep
}

// placerTask returns the task as a placer.Task.
func (t *task) placerTask() placer.Task {
	opts := []placer.TaskOption{
		placer.WithPriority(t.spec.priority),
		placer.WithSubmitted(t.submittedAt),
		placer.WithDeadline(t.deadline()),
		placer.WithRunTime(t.spec.runTime),
	}
	size := t.spec.size
	if t.lease != nil {
		size = t.lease.size
		opts = append(opts, placer.WithStarted(t.lease.addedAt), placer.WithCheckpoint(t.lease.checkpointOrderedAt))
	}
	return placer.NewTask(t.id, t.spec.team, t.spec.work, t.spec.class, t.spec.kind, size, opts...)
}
