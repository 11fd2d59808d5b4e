package keeper

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// Step gives what is to be done at a moment under an authority. The records of
// the data centre's stream up to the claim that gave the authority must have
// been applied. A holder whose authority has run out passes it as it is; one
// that lost the shard passes NoAuthority.
func (k *Keeper) Step(now clock.Millis, a Authority) Actions {
	k.now = max(k.now, now)
	k.authority = a
	if a.epoch != k.epoch {
		k.take(a.epoch)
	}
	k.purge()
	if a.holds(k.now) && len(k.queue) == 0 && len(k.verdicts) == 0 {
		k.watchLeases()
		for _, t := range k.takeTouched() {
			k.settle(t)
		}
		k.expireWaiting()
		k.drain()
		k.propose()
		k.placeWaiting()
		for _, h := range k.ordered {
			k.order(h)
		}
	}
	out := k.out
	k.out = Actions{}
	return out
}

// take begins an epoch: what other owners granted is unclear until each worker
// has been asked.
func (k *Keeper) take(epoch int64) {
	k.epoch = epoch
	k.tookAt = k.now
	k.out = Actions{}
	for _, h := range k.ordered {
		h.clearLeases()
		h.taken = -1
		h.inflight = nil
		h.retryAt = 0
		h.heard = k.now
	}
	clear(k.exclusive)
	clear(k.unclear)
	for unit, d := range k.released {
		d.pending = ""
		k.released[unit] = d
	}
	for _, t := range sortedTasks(k.tasks) {
		t.pending = ""
		t.lease = nil
		t.unclearSince = 0
		k.touch(t)
	}
	if epoch < 0 {
		return
	}
	for _, t := range sortedTasks(k.tasks) {
		if t.state == stateGranted {
			k.inherit(t)
		}
	}
}

// inherit gives a granted task a lease of which nothing is known: it may run,
// and ends at the latest when the longest lease that another owner can have
// given is over.
func (k *Keeper) inherit(t *task) {
	h := k.host(t.worker)
	l := &lease{
		incarnation: t.name(),
		task:        t,
		phase:       phaseUnclear,
		boot:        t.boot,
		lapseBy:     max(k.now, k.authority.clearAt) + ShortLease + 2*ShortLease*provider.RateMarginPermille/1000,
		granted:     k.now,
		size:        t.reserved,
	}
	if t.service() {
		l.lapseBy = clock.Never
	}
	h.put(l)
	h.taken = -1
	t.lease = l
	if x := t.intent.GetExclusiveKey(); x != "" {
		k.exclusive[x] = t
	}
}

// watchLeases finds leases that have ended for certain on workers that don't
// answer, and replicas that need a second place.
func (k *Keeper) watchLeases() {
	for _, h := range k.ordered {
		if o := h.inflight; o != nil && k.now-o.sent >= orderTimeout {
			k.miss(h, o)
		}
		if k.now-h.heard < suspectAfter {
			continue
		}
		for _, l := range h.sorted() {
			k.watchLease(h, l)
		}
	}
	for _, t := range sortedTasks(k.unclear) {
		if k.now-t.unclearSince >= giveUpAfter {
			k.touch(t)
		}
	}
}

func (k *Keeper) watchLease(h *host, l *lease) {
	if l.task != nil && l.task.service() {
		k.replaceReplica(l)
		return
	}
	if !l.ordered() || !l.holds() || !k.lapsed(h, l) {
		return
	}
	k.move(l, leaseLapse)
	if l.task == nil {
		h.remove(l)
		return
	}
	k.touch(l.task)
	if !l.task.repeatable() {
		l.task.unclearSince = k.now
		k.unclear[l.task.id] = l.task
	}
}

func (k *Keeper) lapsed(h *host, l *lease) bool {
	if l.timed && h.clock.known() && h.clock.stamp.Boot == l.boot {
		return h.clock.lapsed(k.now, l.until)
	}
	return k.now >= l.lapseBy
}

// replaceReplica lets a replica on a worker that doesn't answer run elsewhere
// too. What the worker may still run keeps its room until the worker is back.
func (k *Keeper) replaceReplica(l *lease) {
	t := l.task
	if !l.ordered() {
		return
	}
	l.task = nil
	l.stopFor = stopSurplus
	l.host.stale = true
	t.lease = nil
	t.state = stateWaiting
	k.waiting[t.id] = t
}

// settle takes the next step of one task that something happened to.
func (k *Keeper) settle(t *task) {
	if t.pending != "" && !t.service() {
		return
	}
	l := t.lease
	switch {
	case t.state == stateUnknown, k.left(t):
		return
	case l != nil && l.phase == phasePlanned:
		k.removeLease(l)
	case t.state == stateGranted && l == nil:
		k.inherit(t)
	case l != nil && l.ending != endNot:
		k.conclude(t, l)
	case l != nil && l.phase == phaseLapsed:
		k.concludeLapsed(t, l)
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
	case !t.wanted && t.service():
		k.drop(t.id)
	}
}

// stop has a lease end: at once where its order never left.
func (k *Keeper) stop(l *lease, why stopReason) {
	l.stopFor = why
	k.mark(l)
	if l.phase == phaseReady && l.task != nil {
		l.ending = endNotStarted
		k.move(l, leaseEnd)
		k.touch(l.task)
	}
}

// mark has the next step look for an order about a lease.
func (k *Keeper) mark(l *lease) {
	l.host.dirty = true
	l.host.stale = true
}

func (k *Keeper) removeLease(l *lease) {
	l.host.remove(l)
	if t := l.task; t != nil {
		t.lease = nil
		if x := t.intent.GetExclusiveKey(); x != "" && k.exclusive[x] == t && t.state == stateWaiting {
			delete(k.exclusive, x)
		}
	}
	l.task = nil
}

// expireWaiting ends work whose deadline passed before it ran.
func (k *Keeper) expireWaiting() {
	for _, t := range sortedTasks(k.waiting) {
		if t.pending == "" && t.lease == nil && t.intent != nil && !k.left(t) && k.now >= t.deadline() {
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
	if k.now < k.purgeAt {
		return
	}
	k.purgeAt = k.now + purgeInterval
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
			k.drop(id)
		}
	}
	for id, r := range k.recent {
		if r.at+recentRetention < k.now {
			delete(k.recent, id)
		}
	}
}
