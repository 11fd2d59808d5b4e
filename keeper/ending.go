package keeper

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// endKind is how a lease ended.
	endKind int
)

// How a lease ended.
const (
	// endNone is a lease that has not ended.
	endNone endKind = iota
	// endReported is a lease whose run ended as the worker reported.
	endReported
	// endNotStarted is a lease whose run certainly never started and never will.
	endNotStarted
	// endUnreported is a lease whose run may have started and certainly runs no longer,
	// with no report from the worker.
	endUnreported
)

// recordLeaseEnd records how the lease of a granted task ended.
func (k *Keeper) recordLeaseEnd(t *task, l *lease) {
	if t.isService() {
		k.endReplica(t, l)
		return
	}
	if t.state != stateGranted {
		k.removeLease(l)
		return
	}
	switch l.end {
	case endReported:
		k.recordReportedEnd(t, l.report)
	case endNotStarted:
		k.recordEnd(t, schema.TaskState_TASK_STATE_LOST, coder.NotRun, &schema.TaskEvent{NotStarted: true, Checkpoint: t.checkpoint})
	case endUnreported:
		k.recordUnreportedEnd(t)
	}
}

// endReplica makes a service replica wait again after its lease has ended. The end is not
// recorded in the log.
func (k *Keeper) endReplica(t *task, l *lease) {
	t.lease = nil
	l.task = nil
	t.state = stateWaiting
	k.waiting[t.id] = t
	if l.end == endReported && l.report.Phase == provider.PhaseFailed {
		t.failures++
		t.notBefore = k.now + backoff(t.failures)
		k.emitEnded(t, coder.Failed, l)
	}
	k.markDirty(l)
	if l.end != endReported {
		l.host.remove(l)
	}
	k.enqueue(t)
}

func (k *Keeper) recordReportedEnd(t *task, r *provider.TaskReport) {
	switch r.Phase {
	case provider.PhaseSucceeded:
		k.recordEnd(t, schema.TaskState_TASK_STATE_SUCCEEDED, coder.OK, &schema.TaskEvent{Answer: r.Answer})
	case provider.PhaseFailed:
		k.recordFailure(t, r)
	case provider.PhaseStopped:
		k.recordStop(t, r)
	default:
		t.checkpoint = r.Checkpoint
		k.recordUnreportedEnd(t)
	}
}

func (k *Keeper) recordFailure(t *task, r *provider.TaskReport) {
	switch {
	case !t.repeatable():
		k.recordEnd(t, schema.TaskState_TASK_STATE_FAILED, coder.Failed, &schema.TaskEvent{Answer: r.Answer})
	case t.failures+1 >= maxFailures && t.spec.kind != placer.Watch:
		k.recordEnd(t, schema.TaskState_TASK_STATE_PARKED, coder.Parked, &schema.TaskEvent{Answer: r.Answer})
	default:
		k.recordEnd(t, schema.TaskState_TASK_STATE_RETRYING, coder.Failed, &schema.TaskEvent{Checkpoint: r.Checkpoint})
	}
}

func (k *Keeper) recordStop(t *task, r *provider.TaskReport) {
	if t.cancelled {
		k.recordEnd(t, schema.TaskState_TASK_STATE_CANCELLED, coder.Cancelled, &schema.TaskEvent{})
		return
	}
	k.recordEnd(t, schema.TaskState_TASK_STATE_EVICTED, coder.OK, &schema.TaskEvent{Checkpoint: r.Checkpoint})
}

// recordUnreportedEnd records the end of a run on which there is no result. The task runs
// again from its last checkpoint; if it must not run twice, its state becomes unknown.
func (k *Keeper) recordUnreportedEnd(t *task) {
	if t.repeatable() {
		k.recordEnd(t, schema.TaskState_TASK_STATE_LOST, coder.Unknown, &schema.TaskEvent{Checkpoint: t.checkpoint})
		return
	}
	k.recordEnd(t, schema.TaskState_TASK_STATE_UNKNOWN, coder.Unknown, &schema.TaskEvent{})
}

// recordExpiry records the end of a run whose lease has expired. For a task that must not
// run twice it first waits unresolvedTimeout for the worker's report.
func (k *Keeper) recordExpiry(t *task, l *lease) {
	if !t.repeatable() && k.now-t.unresolvedSince < unresolvedTimeout {
		return
	}
	l.end = endUnreported
	k.recordLeaseEnd(t, l)
}

// recordEnd records the end of a task's run with the state s and the code c, and emits the
// event for it. e has the other fields of the record.
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
		k.emit(Event{kind: EventEvicted, worker: t.worker, task: t.placerTask(), code: c, ranFor: ranFor(t.lease)})
		return
	}
	k.emitEnded(t, c, t.lease)
}

func (k *Keeper) emitEnded(t *task, c coder.Code, l *lease) {
	if t.spec == nil {
		return
	}
	k.emit(Event{kind: EventEnded, worker: t.worker, task: t.placerTask(), code: c, ranFor: ranFor(l)})
}

// ranFor returns how long a run took by the worker's report, 0 without a report.
func ranFor(l *lease) clock.Millis {
	if l.report == nil {
		return 0
	}
	return clock.Millis(l.report.RanFor)
}
