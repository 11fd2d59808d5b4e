package keeper

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// Step returns the actions to carry out at the time now under an authority. The caller must
// have applied the data centre's stream up to the claim that granted the authority. A
// daemon that still owns the shard passes its authority even after it has expired; a daemon
// that doesn't own the shard passes NoAuthority.
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

// beginEpoch starts an epoch. If the keeper has authority, it adds an unclear lease for
// each granted task, until the worker has sent an inventory.
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

// inheritLease adds a lease for a task that an earlier owner has granted. The task may be
// running; it certainly runs no longer once the longest lease that an earlier owner can
// have granted has expired. For service replicas no such time is assumed.
func (k *Keeper) inheritLease(t *task) {
	h := k.host(t.worker)
	l := &lease{
		incarnation: t.lastRun(),
		task:        t,
		phase:       phaseUnclear,
		boot:        t.boot,
		expiredBy:   max(k.now, k.authority.earlierExpiredAt) + ShortLease + 2*ShortLease*provider.RateMarginPermille/1000,
		addedAt:     k.now,
		size:        t.reserved,
	}
	if t.isService() {
		l.expiredBy = clock.Never
	}
	h.put(l)
	h.inventoryEpoch = -1
	t.lease = l
	if x := t.intent.GetExclusiveKey(); x != "" {
		k.exclusiveHolders[x] = t
	}
}

// checkLeases times out unanswered orders. On workers that have been silent for
// suspectAfter, it expires leases and replaces service replicas. It also enqueues tasks
// whose unresolvedTimeout has passed.
func (k *Keeper) checkLeases() {
	for _, h := range k.sortedHosts {
		if o := h.inflight; o != nil && k.now-o.sent >= orderTimeout {
			k.orderUnclear(h, o)
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

// checkLease replaces a service replica on a silent worker, or marks the lease of another
// task as expired if it certainly is.
func (k *Keeper) checkLease(h *host, l *lease) {
	if l.task != nil && l.task.isService() {
		k.replaceReplica(l)
		return
	}
	if !l.mayHaveStarted() || !l.holdsCapacity() || !k.leaseExpired(h, l) {
		return
	}
	k.transition(l, leaseTransitionExpire)
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

// leaseExpired reports whether a lease has certainly expired: by the worker's clock if its
// reading is known for the boot of the lease, otherwise by expiredBy.
func (k *Keeper) leaseExpired(h *host, l *lease) bool {
	if l.untilKnown && h.clock.known() && h.clock.stamp.Boot == l.boot {
		return h.clock.reached(k.now, l.until)
	}
	return k.now >= l.expiredBy
}

// replaceReplica makes the replica of a lease on a silent worker start on another worker.
// The lease keeps its capacity on the silent worker, which may still be running the
// replica, until that worker answers.
func (k *Keeper) replaceReplica(l *lease) {
	t := l.task
	if !l.mayHaveStarted() {
		return
	}
	l.task = nil
	l.stopReason = stopSurplus
	l.host.stale = true
	t.lease = nil
	t.state = stateWaiting
	k.waiting[t.id] = t
}

// reconcile compares a task's state with its lease and the configuration, and records the
// end of its run, stops it or removes it as needed.
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
		k.recordExpiry(t, l)
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

// stop marks a run to be stopped. If its start order was never sent, the lease ends at
// once.
func (k *Keeper) stop(l *lease, why stopReason) {
	l.stopReason = why
	k.markDirty(l)
	if l.phase == phaseReady && l.task != nil {
		l.end = endNotStarted
		k.transition(l, leaseTransitionEnd)
		k.enqueue(l.task)
	}
}

// markDirty makes the next step look for due orders about the leases of the worker.
func (k *Keeper) markDirty(l *lease) {
	l.host.dirty = true
	l.host.stale = true
}

// removeLease removes a lease from its worker and its task.
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

// purge drops results, answers and ended tasks whose retention has passed.
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
