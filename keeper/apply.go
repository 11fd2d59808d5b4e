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

// ApplyIntent takes what a record of "intents" came to.
func (k *Keeper) ApplyIntent(v Verdict) {
	if v.offset < k.intentsNext {
		return
	}
	if v.home == k.shard || v.from == k.shard || v.drops(k) {
		k.verdicts = append(k.verdicts, v)
	}
	k.intentsRead = max(k.intentsRead, v.offset+1)
	k.catchUp()
}

// catchUp applies what was read of both streams in an order that its writers
// could have seen: an event when all that its writer knew of "intents" is
// known here too, and the leaving of a unit when its release is.
func (k *Keeper) catchUp() {
	for k.applyNextVerdict() || k.applyNextEvent() {
	}
	if len(k.verdicts) == 0 {
		k.intentsNext = k.intentsRead
	}
	for k.applyNextEvent() {
	}
}

func (k *Keeper) applyNextVerdict() bool {
	if len(k.verdicts) == 0 {
		return false
	}
	v := k.verdicts[0]
	k.intentsNext = max(k.intentsNext, v.offset)
	if unit := v.rehome.GetUnit(); v.from == k.shard && k.released[unit].hop != v.rehome.GetHop() {
		return false
	}
	k.intentsNext = v.offset + 1
	k.verdicts = slices.Delete(k.verdicts, 0, 1)
	k.applyVerdict(v)
	return true
}

func (k *Keeper) applyNextEvent() bool {
	if len(k.queue) == 0 || k.queue[0].GetTask().GetIntentsNext() > int64(k.intentsNext) {
		return false
	}
	rec := k.queue[0]
	k.queue = slices.Delete(k.queue, 0, 1)
	k.applyEvent(rec)
	return true
}

func (k *Keeper) applyVerdict(v Verdict) {
	switch {
	case v.rehome != nil:
		k.applyRehome(v)
	case v.home != k.shard:
	case v.intent != nil:
		k.arrive(&schema.WaitingTask{Intent: v.intent, SubmittedMillis: int64(v.at)})
	case v.cancel != nil:
		if t := k.tasks[v.cancel.GetKey()]; t != nil {
			t.cancelled = true
			k.touch(t)
		}
	}
}

func (k *Keeper) arrive(w *schema.WaitingTask) {
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
		submitted:   clock.Millis(w.GetSubmittedMillis()),
		cancelled:   k.register.cancelled(id),
	}
	k.resolve(t)
	k.tasks[id] = t
	k.waiting[id] = t
	k.touch(t)
}

func (k *Keeper) applyRehome(v Verdict) {
	if v.home == k.shard {
		for _, w := range v.moved {
			k.arrive(w)
		}
		return
	}
	for _, w := range v.moved {
		k.drop(w.GetIntent().GetKey())
	}
	if v.from != k.shard {
		return
	}
	delete(k.released, v.rehome.GetUnit())
	for _, t := range k.unitTasks(v.rehome.GetUnit()) {
		if t.state == stateWaiting {
			k.strays[t.id] = t
		}
	}
}

func (k *Keeper) drop(id string) {
	delete(k.tasks, id)
	delete(k.waiting, id)
	delete(k.touched, id)
	delete(k.unclear, id)
	delete(k.strays, id)
}

// ApplyEvent takes a record of the data centre's stream that was written under
// the epoch of its shard at its place; records of other shards are passed over.
func (k *Keeper) ApplyEvent(rec *schema.Record) {
	if e := rec.GetTask(); e == nil || e.GetShard() != k.shard {
		return
	}
	k.queue = append(k.queue, rec)
	k.catchUp()
}

func (k *Keeper) applyEvent(rec *schema.Record) {
	e := rec.GetTask()
	if e.GetState() == schema.TaskState_TASK_STATE_RELEASED {
		k.applyRelease(rec.GetId(), e)
		return
	}
	t := k.tasks[e.GetTask()]
	if t == nil && strings.HasPrefix(e.GetTask(), prefixService) {
		t = k.replica(e.GetTask())
	}
	if t == nil {
		return
	}
	if t.pending == rec.GetId() {
		t.pending = ""
	}
	k.touch(t)
	if t.service() {
		k.applyReplica(t, e)
		return
	}
	k.applyTask(t, rec, e)
}

func (k *Keeper) applyTask(t *task, rec *schema.Record, e *schema.TaskEvent) {
	event := eventNames[e.GetState()]
	want := t.incarnation
	if event == eventStart {
		want++
	}
	if k.left(t) {
		return
	}
	if e.GetIncarnation() != want {
		return
	}
	next, ok := k.taskLife.next(t.state, event)
	if !ok {
		return
	}
	t.state = next
	switch {
	case event == eventStart:
		k.started(t, e)
	case ended(next):
		k.finish(t, rec, e)
	default:
		k.waitAgain(t, e)
	}
}

// left tells whether a task is on its way to another shard.
func (k *Keeper) left(t *task) bool {
	if t.intent == nil || t.state != stateWaiting {
		return false
	}
	if _, released := k.released[t.unit()]; released {
		return true
	}
	return k.strays[t.id] != nil
}

// applyReplica takes an event of a service replica, which is written after the
// order and may lag behind it.
func (k *Keeper) applyReplica(t *task, e *schema.TaskEvent) {
	if e.GetState() != schema.TaskState_TASK_STATE_STARTING || e.GetIncarnation() <= t.incarnation {
		return
	}
	if l := t.lease; l != nil {
		l.task = nil
		l.stopFor = stopSurplus
		k.mark(l)
		t.lease = nil
	}
	t.state = stateGranted
	k.started(t, e)
}

func (k *Keeper) started(t *task, e *schema.TaskEvent) {
	t.incarnation = e.GetIncarnation()
	t.worker = e.GetWorker()
	t.boot = e.GetBoot()
	r := e.GetReservation()
	t.reserved = sizer.New(r.GetMillicores(), r.GetMemoryBytes(), r.GetAccelerators())
	t.ran = true
	delete(k.waiting, t.id)
	if x := t.intent.GetExclusiveKey(); x != "" {
		k.exclusive[x] = t
	}
	if l := t.lease; l != nil && l.incarnation == t.name() {
		k.move(l, leaseRecord)
		k.mark(l)
	}
}

func (k *Keeper) waitAgain(t *task, e *schema.TaskEvent) {
	t.checkpoint = e.GetCheckpoint()
	t.worker = ""
	if e.GetNotStarted() && t.incarnation == 1 {
		t.ran = false
	}
	if e.GetState() == schema.TaskState_TASK_STATE_RETRYING {
		t.failures++
		t.notBefore = k.now + backoff(t.failures)
	}
	k.leave(t)
	k.waiting[t.id] = t
}

func (k *Keeper) finish(t *task, rec *schema.Record, e *schema.TaskEvent) {
	t.code = coder.Code(e.GetResultCode())
	t.answer = e.GetAnswer()
	t.endedAt = clock.Millis(rec.GetAtMillis())
	delete(k.waiting, t.id)
	k.leave(t)
	k.results[t.id] = result{code: t.code, ran: t.ran, at: t.endedAt, answer: t.answer}
	if t.state == stateUnknown {
		return
	}
	if t.spec != nil {
		k.recent[t.id] = recentTask{task: t.placed(), at: k.now}
	}
	k.drop(t.id)
}

// leave parts a task from its lease; what the worker still knows of it is
// forgotten there.
func (k *Keeper) leave(t *task) {
	delete(k.unclear, t.id)
	t.unclearSince = 0
	if x := t.intent.GetExclusiveKey(); x != "" && k.exclusive[x] == t {
		delete(k.exclusive, x)
	}
	if t.lease == nil {
		return
	}
	t.lease.task = nil
	k.mark(t.lease)
	t.lease = nil
}

func backoff(failures int) clock.Millis {
	d := firstBackoff
	for range failures - 1 {
		d = min(2*d, lastBackoff)
	}
	return d
}
