package keeper

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// ending is what is known of how a lease ended.
	ending int
)

// How a lease ended.
const (
	endNot ending = iota
	// endReported is as the worker's report says.
	endReported
	// endNotStarted is certain never to have run.
	endNotStarted
	// endUnheard may have run, but does no more.
	endUnheard
)

// conclude records how the lease of a granted task ended.
func (k *Keeper) conclude(t *task, l *lease) {
	if t.service() {
		k.replicaEnded(t, l)
		return
	}
	if t.state != stateGranted {
		k.removeLease(l)
		return
	}
	switch l.ending {
	case endReported:
		k.concludeReport(t, l.report)
	case endNotStarted:
		k.recordEnd(t, schema.TaskState_TASK_STATE_LOST, coder.NotRun, &schema.TaskEvent{NotStarted: true, Checkpoint: t.checkpoint})
	case endUnheard:
		k.concludeUnheard(t)
	}
}

func (k *Keeper) replicaEnded(t *task, l *lease) {
	t.lease = nil
	l.task = nil
	t.state = stateWaiting
	k.waiting[t.id] = t
	if l.ending == endReported && l.report.Phase == provider.PhaseFailed {
		t.failures++
		t.notBefore = k.now + backoff(t.failures)
		k.tellEnd(t, coder.Failed, l)
	}
	k.mark(l)
	if l.ending != endReported {
		l.host.remove(l)
	}
	k.touch(t)
}

func (k *Keeper) concludeReport(t *task, r *provider.TaskReport) {
	switch r.Phase {
	case provider.PhaseSucceeded:
		k.recordEnd(t, schema.TaskState_TASK_STATE_SUCCEEDED, coder.OK, &schema.TaskEvent{Answer: r.Answer})
	case provider.PhaseFailed:
		k.concludeFailure(t, r)
	case provider.PhaseStopped:
		k.concludeStop(t, r)
	default:
		t.checkpoint = r.Checkpoint
		k.concludeUnheard(t)
	}
}

func (k *Keeper) concludeFailure(t *task, r *provider.TaskReport) {
	switch {
	case !t.repeatable():
		k.recordEnd(t, schema.TaskState_TASK_STATE_FAILED, coder.Failed, &schema.TaskEvent{Answer: r.Answer})
	case t.failures+1 >= maxFailures && t.spec.kind != placer.Watch:
		k.recordEnd(t, schema.TaskState_TASK_STATE_PARKED, coder.Parked, &schema.TaskEvent{Answer: r.Answer})
	default:
		k.recordEnd(t, schema.TaskState_TASK_STATE_RETRYING, coder.Failed, &schema.TaskEvent{Checkpoint: r.Checkpoint})
	}
}

func (k *Keeper) concludeStop(t *task, r *provider.TaskReport) {
	if t.cancelled {
		k.recordEnd(t, schema.TaskState_TASK_STATE_CANCELLED, coder.Cancelled, &schema.TaskEvent{})
		return
	}
	k.recordEnd(t, schema.TaskState_TASK_STATE_EVICTED, coder.OK, &schema.TaskEvent{Checkpoint: r.Checkpoint})
}

// concludeUnheard records that a run ended without a word of how far it came.
func (k *Keeper) concludeUnheard(t *task) {
	if t.repeatable() {
		k.recordEnd(t, schema.TaskState_TASK_STATE_LOST, coder.Unknown, &schema.TaskEvent{Checkpoint: t.checkpoint})
		return
	}
	k.recordEnd(t, schema.TaskState_TASK_STATE_UNKNOWN, coder.Unknown, &schema.TaskEvent{})
}

// concludeLapsed waits for word of work that must not run twice, and lets go
// of all else.
func (k *Keeper) concludeLapsed(t *task, l *lease) {
	if !t.repeatable() && k.now-t.unclearSince < giveUpAfter {
		return
	}
	l.ending = endUnheard
	k.conclude(t, l)
}

func (k *Keeper) recordEnd(t *task, s schema.TaskState, c coder.Code, e *schema.TaskEvent) {
	e.Task = t.id
	e.Incarnation = t.incarnation
	e.State = s
	e.Worker = t.worker
	e.ResultCode = int32(c)
	k.record(t, e)
	if t.lease == nil || t.spec == nil {
		return
	}
	if s == schema.TaskState_TASK_STATE_EVICTED {
		k.tell(Event{kind: EventEvicted, worker: t.worker, task: t.placed(), code: c, ranFor: ranFor(t.lease)})
		return
	}
	k.tellEnd(t, c, t.lease)
}

func (k *Keeper) tellEnd(t *task, c coder.Code, l *lease) {
	if t.spec == nil {
		return
	}
	k.tell(Event{kind: EventEnded, worker: t.worker, task: t.placed(), code: c, ranFor: ranFor(l)})
}

func ranFor(l *lease) clock.Millis {
	if l.report == nil {
		return 0
	}
	return clock.Millis(l.report.RanFor)
}
