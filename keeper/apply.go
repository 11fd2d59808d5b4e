package keeper

import (
	"slices"
	"strings"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

const (
	intentsStream = provider.StreamIntents
)

// ApplyIntent applies the Register's verdict on a record of "intents". The caller passes
// the verdicts on all records, in order.
func (k *Keeper) ApplyIntent(v Verdict) {
	if v.offset < k.intentsNext {
		return
	}
	if v.home == k.shard || v.from == k.shard || v.movesTaskOf(k) {
		k.pendingVerdicts = append(k.pendingVerdicts, v)
	}
	k.intentsRead = max(k.intentsRead, v.offset+1)
	k.applyPending()
}

// applyPending applies the records read from both streams in causal order: an event after
// all records of "intents" that its writer had read, and the move of a unit after the event
// that released it.
func (k *Keeper) applyPending() {
	for k.applyNextVerdict() || k.applyNextEvent() {
	}
	if len(k.pendingVerdicts) == 0 {
		k.intentsNext = k.intentsRead
	}
	for k.applyNextEvent() {
	}
}

func (k *Keeper) applyNextVerdict() bool {
	if len(k.pendingVerdicts) == 0 {
		return false
	}
	v := k.pendingVerdicts[0]
	k.intentsNext = max(k.intentsNext, v.offset)
	if unit := v.rehome.GetUnit(); v.from == k.shard && k.released[unit].hop != v.rehome.GetHop() {
		return false
	}
	k.intentsNext = v.offset + 1
	k.pendingVerdicts = slices.Delete(k.pendingVerdicts, 0, 1)
	k.applyVerdict(v)
	return true
}

func (k *Keeper) applyNextEvent() bool {
	if len(k.pendingEvents) == 0 || k.pendingEvents[0].GetTask().GetIntentsNext() > int64(k.intentsNext) {
		return false
	}
	rec := k.pendingEvents[0]
	k.pendingEvents = slices.Delete(k.pendingEvents, 0, 1)
	k.applyEvent(rec)
	return true
}

// applyVerdict adds a submitted task, marks one as cancelled or moves the tasks of a unit.
func (k *Keeper) applyVerdict(v Verdict) {
	switch {
	case v.rehome != nil:
		k.applyRehome(v)
	case v.home != k.shard:
	case v.intent != nil:
		k.addTask(&schema.WaitingTask{Intent: v.intent, SubmittedMillis: int64(v.at)})
	case v.cancel != nil:
		if t := k.tasks[v.cancel.GetKey()]; t != nil {
			t.cancelled = true
			k.enqueue(t)
		}
	}
}

// addTask adds a waiting task, unless the shard has one with the same key that has not
// ended.
func (k *Keeper) addTask(w *schema.WaitingTask) {
	id := w.GetIntent().GetKey()
	if have, known := k.tasks[id]; known && !ended(have.state) {
		return
	}
	delete(k.results, id)
	t := &task{
		id:          id,
		intent:      w.GetIntent(),
		state:       stateWaiting,
		incarnation: w.GetIncarnation(),
		ran:         w.GetIncarnation() > 0,
		checkpoint:  w.GetCheckpoint(),
		failures:    int(w.GetFailures()),
		submittedAt: clock.Millis(w.GetSubmittedMillis()),
		cancelled:   k.register.cancelled(id),
	}
	k.updateSpec(t)
	k.tasks[id] = t
	k.waiting[id] = t
	k.enqueue(t)
}

// applyRehome adds the moved tasks if the unit moves to this shard and removes them if it
// leaves. Waiting tasks of a unit that left without them become orphans.
func (k *Keeper) applyRehome(v Verdict) {
	if v.home == k.shard {
		for _, w := range v.moved {
			k.addTask(w)
		}
		return
	}
	for _, w := range v.moved {
		k.removeTask(w.GetIntent().GetKey())
	}
	if v.from != k.shard {
		return
	}
	delete(k.released, v.rehome.GetUnit())
	for _, t := range k.unitTasks(v.rehome.GetUnit()) {
		if t.state == stateWaiting {
			k.orphans[t.id] = t
		}
	}
}

func (k *Keeper) removeTask(id string) {
	delete(k.tasks, id)
	delete(k.waiting, id)
	delete(k.toReconcile, id)
	delete(k.unresolved, id)
	delete(k.orphans, id)
}

// ApplyEvent applies a record of the data centre's stream. The caller leaves out records
// whose epoch is not the one that their shard had at the offset of the record, since a
// former owner wrote them. Records of other shards are ignored.
func (k *Keeper) ApplyEvent(rec *schema.Record) {
	if e := rec.GetTask(); e == nil || e.GetShard() != k.shard {
		return
	}
	k.pendingEvents = append(k.pendingEvents, rec)
	k.applyPending()
}

func (k *Keeper) applyEvent(rec *schema.Record) {
	e := rec.GetTask()
	if e.GetState() == schema.TaskState_TASK_STATE_RELEASED {
		k.applyRelease(rec.GetId(), e)
		return
	}
	t := k.tasks[e.GetTask()]
	if t == nil && strings.HasPrefix(e.GetTask(), prefixService) {
		t = k.replicaTask(e.GetTask())
	}
	if t == nil {
		return
	}
	if t.pending == rec.GetId() {
		t.pending = ""
	}
	k.enqueue(t)
	if t.isService() {
		k.applyReplica(t, e)
		return
	}
	k.applyTask(t, rec, e)
}

// applyTask applies an event of a task other than a service replica. Events that don't
// match the task's state or incarnation are ignored, such as duplicates.
func (k *Keeper) applyTask(t *task, rec *schema.Record, e *schema.TaskEvent) {
	event := transitionOfRecord[e.GetState()]
	want := t.incarnation
	if event == transitionStart {
		want++
	}
	if k.leavingShard(t) {
		return
	}
	if e.GetIncarnation() != want {
		return
	}
	next, ok := k.taskMachine.next(t.state, event)
	if !ok {
		return
	}
	t.state = next
	switch {
	case event == transitionStart:
		k.applyStart(t, e)
	case ended(next):
		k.applyEnd(t, rec, e)
	default:
		k.returnToWaiting(t, e)
	}
}

// leavingShard reports whether a waiting task is to move to another shard: its unit is
// released, or it is an orphan.
func (k *Keeper) leavingShard(t *task) bool {
	if t.intent == nil || t.state != stateWaiting {
		return false
	}
	if _, released := k.released[t.unit()]; released {
		return true
	}
	return k.orphans[t.id] != nil
}

// applyReplica applies a STARTING event of a service replica. Replicas start before their
// record is read back, so the record may be older than the keeper's state.
func (k *Keeper) applyReplica(t *task, e *schema.TaskEvent) {
	if e.GetState() != schema.TaskState_TASK_STATE_STARTING || e.GetIncarnation() <= t.incarnation {
		return
	}
	if l := t.lease; l != nil {
		l.task = nil
		l.stopReason = stopSurplus
		k.markDirty(l)
		t.lease = nil
	}
	t.state = stateGranted
	k.applyStart(t, e)
}

func (k *Keeper) applyStart(t *task, e *schema.TaskEvent) {
	t.incarnation = e.GetIncarnation()
	t.worker = e.GetWorker()
	t.boot = e.GetBoot()
	r := e.GetReservation()
	t.reserved = sizer.New(r.GetMillicores(), r.GetMemoryBytes(), r.GetAccelerators())
	t.ran = true
	delete(k.waiting, t.id)
	if x := t.intent.GetExclusiveKey(); x != "" {
		k.exclusiveHolders[x] = t
	}
	if l := t.lease; l != nil && l.incarnation == t.lastRun() {
		k.transition(l, leaseTransitionRecord)
		k.markDirty(l)
	}
}

// returnToWaiting makes a task wait again whose run was evicted, was lost or failed.
func (k *Keeper) returnToWaiting(t *task, e *schema.TaskEvent) {
	t.checkpoint = e.GetCheckpoint()
	t.worker = ""
	if e.GetNotStarted() && t.incarnation == 1 {
		t.ran = false
	}
	if e.GetState() == schema.TaskState_TASK_STATE_RETRYING {
		t.failures++
		t.notBefore = k.now + backoff(t.failures)
	}
	k.detachLease(t)
	k.waiting[t.id] = t
}

// applyEnd stores the result of a task that has ended and removes the task. A task whose
// outcome is unknown stays, so that a late report can still decide it.
func (k *Keeper) applyEnd(t *task, rec *schema.Record, e *schema.TaskEvent) {
	t.code = coder.Code(e.GetResultCode())
	t.answer = e.GetAnswer()
	t.endedAt = clock.Millis(rec.GetAtMillis())
	delete(k.waiting, t.id)
	k.detachLease(t)
	k.results[t.id] = result{code: t.code, ran: t.ran, at: t.endedAt, answer: t.answer}
	if t.state == stateUnknown {
		return
	}
	if t.spec != nil {
		k.recentlyEnded[t.id] = endedTask{task: t.placerTask(), at: k.now}
	}
	k.removeTask(t.id)
}

// detachLease separates a task from its lease, after the end of the run was recorded. The
// worker is then ordered to forget the run.
func (k *Keeper) detachLease(t *task) {
	delete(k.unresolved, t.id)
	t.unresolvedSince = 0
	if x := t.intent.GetExclusiveKey(); x != "" && k.exclusiveHolders[x] == t {
		delete(k.exclusiveHolders, x)
	}
	if t.lease == nil {
		return
	}
	t.lease.task = nil
	k.markDirty(t.lease)
	t.lease = nil
}

// backoff returns how long a task waits after a number of failed runs.
func backoff(failures int) clock.Millis {
	d := minBackoff
	for range failures - 1 {
		d = min(2*d, maxBackoff)
	}
	return d
}
