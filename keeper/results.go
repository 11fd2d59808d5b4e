package keeper

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/provider"
)

// ApplyResult applies the result of an order. Results that are duplicate, of an earlier epoch,
// or of an order that has already timed out are ignored.
func (k *Keeper) ApplyResult(now clock.Millis, r Result) {
	k.now = max(k.now, now)
	o := r.order
	h := k.hosts[o.worker]
	if h == nil || h.inflight != o || o.fence.Epoch != k.epoch {
		return
	}
	h.dirty = true
	if r.err != nil {
		k.orderFailed(h, r)
		return
	}
	h.inflight = nil
	h.failures = 0
	h.lastContactAt = k.now
	k.updateClock(h, r)
	for _, report := range r.reply.Reports {
		k.applyReport(h, r.reply.Stamp.Boot, report)
	}
	switch o.kind {
	case OrderInventory:
		k.applyInventory(h, r.inventory)
	case OrderStart:
		k.confirmRunning(h, h.leases[o.start.Incarnation])
	case OrderStop:
		k.stopAnswered(h, o)
	case OrderThrottle:
		k.confirmThrottle(h, o)
	case OrderCheckpoint:
		k.checkpointSaved(h, o, r.reply)
	case OrderForget:
		if l := h.leases[o.task.Incarnation]; l != nil {
			h.remove(l)
		}
	case OrderUsage:
		k.applyUsage(h, r.usage)
	}
	if r.reply.Ended > k.endedLeases(h) {
		h.inventoryEpoch = -1
	}
}

// updateClock stores the worker's clock reading from an answer. If the worker has
// rebooted, it ends the leases of the earlier boot.
func (k *Keeper) updateClock(h *host, r Result) {
	stamp := r.stamp()
	h.clock = clockBounds{stamp: stamp, sent: r.order.sent, received: k.now}
	for _, l := range h.sorted() {
		if l.boot == stamp.Boot || l.boot == "" {
			continue
		}
		switch l.phase {
		case phasePlanned:
		case phaseReady:
			k.endLease(h, l, endNotStarted)
		default:
			k.endLease(h, l, endUnreported)
		}
	}
}

// endLease marks a lease as ended; later calls for the same lease have no effect. The end
// of a task's run is recorded by the next step.
func (k *Keeper) endLease(h *host, l *lease, kind endKind) {
	if l.end != endNone {
		return
	}
	l.end = kind
	k.transition(l, leaseTransitionEnd)
	if l.task == nil {
		if kind != endReported {
			h.remove(l)
		}
		return
	}
	k.enqueue(l.task)
}

// orderFailed handles an order that returned an error. Some errors show that the worker
// answered, which counts as contact with it.
func (k *Keeper) orderFailed(h *host, r Result) {
	switch coder.Of(r.err) {
	case coder.Fenced, coder.LeaseLapsed, coder.NotRun, coder.NotFound:
		h.lastContactAt = k.now
	}
	k.orderUnclear(h, r.order)
}

// orderUnclear handles an order that failed or got no answer: the worker may or may not
// have carried it out. An inventory is requested to find out; its higher fence also makes
// the worker refuse the order if it arrives late.
func (k *Keeper) orderUnclear(h *host, o *Order) {
	h.inflight = nil
	h.failures++
	h.retryAt = k.now + min(minOrderRetry<<min(h.failures-1, 5), maxOrderRetry)
	h.dirty = true
	if o.kind != OrderUsage {
		h.inventoryEpoch = -1
	}
	if l := h.leases[o.Incarnation()]; l != nil && (o.kind == OrderStart || o.kind == OrderStop) {
		k.transition(l, leaseTransitionUnclear)
	}
}

// confirmRunning applies a worker's confirmation that it runs a lease's task.
func (k *Keeper) confirmRunning(h *host, l *lease) {
	if l == nil || !k.transition(l, leaseTransitionConfirm) || l.confirmed {
		return
	}
	l.confirmed = true
	if t := l.task; t != nil && t.spec != nil {
		k.emit(Event{kind: EventStarted, worker: h.name, task: t.placerTask()})
	}
}

// applyInventory updates the leases from a worker's inventory of running and ended runs. A
// run that the inventory leaves out and that the worker never confirmed on the same boot
// didn't start and never will: the fence of the inventory is higher than that of any
// earlier order, so the worker refuses the start order if it still arrives.
func (k *Keeper) applyInventory(h *host, inv provider.Inventory) {
	h.inventoryEpoch = k.epoch
	h.nextInventoryAt = k.now + inventoryInterval
	reported := map[provider.Incarnation]bool{}
	for _, r := range inv.Tasks {
		reported[r.Incarnation] = true
		k.applyReport(h, inv.Stamp.Boot, r)
	}
	for _, l := range h.sorted() {
		if l.phase == phaseEnded && l.task == nil && !reported[l.incarnation] {
			h.remove(l)
		}
		if !l.mayHaveStarted() || reported[l.incarnation] || l.phase == phaseEnded {
			continue
		}
		kind := endNotStarted
		if l.confirmed || l.boot != inv.Stamp.Boot {
			kind = endUnreported
		}
		k.endLease(h, l, kind)
	}
}

// applyReport updates the lease of a run that the worker reports as running or ended.
func (k *Keeper) applyReport(h *host, boot string, r provider.TaskReport) {
	l := h.leases[r.Incarnation]
	if l == nil || r.Phase == provider.PhaseRunning && !l.holdsCapacity() {
		l = k.addFoundLease(h, r)
	}
	l.size = r.Size.Size()
	h.stale = true
	l.boot = boot
	l.untilKnown = true
	l.until = max(l.until, r.LeaseUntil)
	if r.Phase == provider.PhaseRunning {
		k.confirmRunning(h, l)
		return
	}
	l.report = &r
	k.endLease(h, l, endReported)
	k.recordLateResult(r)
}

// addFoundLease adds a lease for a reported run that has none. If the run is the one that
// the log has granted, the lease is attached to its task; otherwise the run is stopped.
func (k *Keeper) addFoundLease(h *host, r provider.TaskReport) *lease {
	l := &lease{incarnation: r.Incarnation, phase: phaseUnclear, addedAt: k.now, stopReason: stopSurplus, expiredBy: clock.Never}
	h.put(l)
	t := k.tasks[r.Incarnation.Task]
	if t != nil && t.state == stateGranted && t.incarnation == r.Incarnation.Number && t.lease == nil {
		l.task = t
		l.stopReason = stopNone
		t.lease = l
	}
	return l
}

// recordLateResult records the result of a task in the state unknown whose worker reports
// the end of its run after all.
func (k *Keeper) recordLateResult(r provider.TaskReport) {
	t := k.tasks[r.Incarnation.Task]
	if t == nil || t.state != stateUnknown || t.incarnation != r.Incarnation.Number || t.pending != "" {
		return
	}
	switch r.Phase {
	case provider.PhaseSucceeded, provider.PhaseFailed:
		k.recordReportedEnd(t, &r)
	}
}

// stopAnswered handles the answer to a stop order. It marks the lease as unclear and
// requests an inventory.
func (k *Keeper) stopAnswered(h *host, o *Order) {
	l := h.leases[o.task.Incarnation]
	if l == nil || l.phase != phaseStopping {
		return
	}
	// Stopping a run that had already ended gets the same answer: only the worker's
	// report shows which of the two happened.
	k.transition(l, leaseTransitionUnclear)
	h.inventoryEpoch = -1
}

func (k *Keeper) checkpointSaved(h *host, o *Order, r provider.Reply) {
	l := h.leases[o.task.Incarnation]
	if l == nil || l.task == nil {
		return
	}
	l.task.checkpoint = r.Checkpoint
}

// applyUsage emits an event for each usage sample of a known task.
func (k *Keeper) applyUsage(h *host, u provider.UsageReport) {
	for _, s := range u.Samples {
		h.usageSince = max(h.usageSince, s.Until)
		if t, known := k.placedTask(s.Incarnation.Task); known {
			k.emit(Event{kind: EventUsage, worker: h.name, task: t, usage: s, reading: u.Stamp.Reading})
		}
	}
}

// endedLeases returns how many leases on the worker are known to have ended.
func (k *Keeper) endedLeases(h *host) int {
	n := 0
	for _, l := range h.leases {
		if l.phase == phaseEnded {
			n++
		}
	}
	return n
}

// placedTask returns a task of the shard, or one that has ended recently, as a placer.Task,
// and whether there is one.
func (k *Keeper) placedTask(id string) (placer.Task, bool) {
	if t := k.tasks[id]; t != nil && t.spec != nil {
		return t.placerTask(), true
	}
	r, known := k.recentlyEnded[id]
	return r.task, known
}
