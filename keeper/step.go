package keeper

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// Step returns what to do at the time now under an authority. The caller must have
// applied the data centre's stream up to the claim that granted the authority. An owner
// whose authority has expired passes it unchanged; one that lost the shard passes
// NoAuthority.
func (k *Keeper) Step(now clock.Millis, a Authority) Actions {
	k.now = max(k.now, now)
	k.authority = a
	if a.epoch != k.epoch {
		k.beginEpoch(a.epoch)
	}
	k.purge()
	if a.holds(k.now) && len(k.pendingEvents) == 0 && len(k.pendingVerdicts) == 0 {
		k.checkLeases()
		for _, t := range k.takeToReconcile() {
			k.reconcile(t)
		}
		k.expireWaiting()
		k.drain()
		k.submitWatchJobs()
		k.placeWaiting()
		for _, h := range k.sortedHosts {
			k.sendNextOrder(h)
		}
	}
	out := k.out
	k.out = Actions{}
	return out
}

// beginEpoch starts an epoch. Runs granted by earlier owners are unclear until their
// worker has sent an inventory.
func (k *Keeper) beginEpoch(epoch int64) {
	k.epoch = epoch
	k.epochStart = k.now
	k.out = Actions{}
	for _, h := range k.sortedHosts {
		h.clearLeases()
		h.inventoryEpoch = -1
		h.inflight = nil
		h.retryAt = 0
		h.lastContactAt = k.now
	}
	clear(k.exclusiveHolders)
	clear(k.unresolved)
	for unit, d := range k.released {
		d.pending = ""
		k.released[unit] = d
	}
	for _, t := range sortedTasks(k.tasks) {
		t.pending = ""
		t.lease = nil
		t.unresolvedSince = 0
		k.enqueue(t)
	}
	if epoch < 0 {
		return
	}
	for _, t := range sortedTasks(k.tasks) {
		if t.state == stateGranted {
			k.inheritLease(t)
		}
	}
}

// inheritLease adds an unclear lease for a granted task: the task may be running, and
// ends at the latest when the longest lease that an earlier owner can have granted has
// expired.
func (k *Keeper) inheritLease(t *task) {
	h := k.host(t.worker)
	l := &lease{
		incarnation: t.lastRun(),
		task:        t,
		phase:       phaseUnclear,
		boot:        t.boot,
		lapseBy:     max(k.now, k.authority.clearAt) + ShortLease + 2*ShortLease*provider.RateMarginPermille/1000,
		grantedAt:   k.now,
		size:        t.reserved,
	}
	if t.isService() {
		l.lapseBy = clock.Never
	}
	h.put(l)
	h.inventoryEpoch = -1
	t.lease = l
	if x := t.intent.GetExclusiveKey(); x != "" {
		k.exclusiveHolders[x] = t
	}
}

// checkLeases times out unanswered orders. On silent workers it finds leases that have
// certainly expired and replicas that need a replacement. It also enqueues tasks whose
// unresolvedTimeout has passed.
func (k *Keeper) checkLeases() {
	for _, h := range k.sortedHosts {
		if o := h.inflight; o != nil && k.now-o.sent >= orderTimeout {
			k.orderUnanswered(h, o)
		}
		if k.now-h.lastContactAt < suspectAfter {
			continue
		}
		for _, l := range h.sorted() {
			k.checkLease(h, l)
		}
	}
	for _, t := range sortedTasks(k.unresolved) {
		if k.now-t.unresolvedSince >= unresolvedTimeout {
			k.enqueue(t)
		}
	}
}

func (k *Keeper) checkLease(h *host, l *lease) {
	if l.task != nil && l.task.isService() {
		k.replaceReplica(l)
		return
	}
	if !l.orderSent() || !l.holdsCapacity() || !k.lapsed(h, l) {
		return
	}
	k.transition(l, leaseLapse)
	if l.task == nil {
		h.remove(l)
		return
	}
	k.enqueue(l.task)
	if !l.task.repeatable() {
		l.task.unresolvedSince = k.now
		k.unresolved[l.task.id] = l.task
	}
}

func (k *Keeper) lapsed(h *host, l *lease) bool {
	if l.untilKnown && h.clock.known() && h.clock.stamp.Boot == l.boot {
		return h.clock.lapsed(k.now, l.until)
	}
	return k.now >= l.lapseBy
}

// replaceReplica lets a replica on a silent worker start on another one. What the silent
// worker may still be running keeps its capacity until the worker answers.
func (k *Keeper) replaceReplica(l *lease) {
	t := l.task
	if !l.orderSent() {
		return
	}
	l.task = nil
	l.stopFor = stopSurplus
	l.host.stale = true
	t.lease = nil
	t.state = stateWaiting
	k.waiting[t.id] = t
}

// reconcile takes the next step of a task according to its state, its lease and the
// configuration.
func (k *Keeper) reconcile(t *task) {
	if t.pending != "" && !t.isService() {
		return
	}
	l := t.lease
	switch {
	case t.state == stateUnknown, k.leavingShard(t):
		return
	case l != nil && l.phase == phasePlanned:
		k.removeLease(l)
	case t.state == stateGranted && l == nil:
		k.inheritLease(t)
	case l != nil && l.end != endNone:
		k.recordLeaseEnd(t, l)
	case l != nil && l.phase == phaseLapsed:
		k.recordLapse(t, l)
	case t.cancelled && t.state == stateWaiting:
		k.record(t, &schema.TaskEvent{
			Task: t.id, Incarnation: t.incarnation,
			State: schema.TaskState_TASK_STATE_CANCELLED, ResultCode: int32(coder.Cancelled),
		})
	case t.cancelled:
		k.stop(l, stopCancel)
	case !t.wanted && k.drained:
	case !t.wanted && l != nil:
		k.stop(l, stopSurplus)
	case !t.wanted && t.isService():
		k.removeTask(t.id)
	}
}

// stop marks a run to be stopped. If its start order was never sent, it ends at once.
func (k *Keeper) stop(l *lease, why stopReason) {
	l.stopFor = why
	k.markDirty(l)
	if l.phase == phaseReady && l.task != nil {
		l.end = endNotStarted
		k.transition(l, leaseEnd)
		k.enqueue(l.task)
	}
}

// markDirty makes the next step search the worker for due orders.
func (k *Keeper) markDirty(l *lease) {
	l.host.dirty = true
	l.host.stale = true
}

func (k *Keeper) removeLease(l *lease) {
	l.host.remove(l)
	if t := l.task; t != nil {
		t.lease = nil
		if x := t.intent.GetExclusiveKey(); x != "" && k.exclusiveHolders[x] == t && t.state == stateWaiting {
			delete(k.exclusiveHolders, x)
		}
	}
	l.task = nil
}

// expireWaiting parks waiting tasks whose deadline has passed.
func (k *Keeper) expireWaiting() {
	for _, t := range sortedTasks(k.waiting) {
		if t.pending == "" && t.lease == nil && t.intent != nil && !k.leavingShard(t) && k.now >= t.deadline() {
			code := coder.DeadlineTooShort
			if t.ran {
				code = coder.Failed
			}
			k.record(t, &schema.TaskEvent{
				Task: t.id, Incarnation: t.incarnation,
				State: schema.TaskState_TASK_STATE_PARKED, ResultCode: int32(code),
			})
		}
	}
}

func (k *Keeper) purge() {
	if k.now < k.nextPurgeAt {
		return
	}
	k.nextPurgeAt = k.now + purgeInterval
	for id, r := range k.results {
		if r.at+KeyRetention < k.now {
			delete(k.results, id)
			continue
		}
		if r.answer != nil && r.at+answerRetention < k.now {
			r.answer = nil
			k.results[id] = r
		}
	}
	for id, t := range k.tasks {
		if t.state == stateUnknown && k.results[id].at+answerRetention < k.now {
			k.removeTask(id)
		}
	}
	for id, r := range k.recentlyEnded {
		if r.at+endedTaskRetention < k.now {
			delete(k.recentlyEnded, id)
		}
	}
}
