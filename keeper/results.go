package keeper

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/provider"
)

// Done takes the result of an order. One that comes late, or twice, or from an
// epoch that is over changes nothing.
func (k *Keeper) Done(now clock.Millis, r Result) {
	k.now = max(k.now, now)
	o := r.order
	h := k.hosts[o.worker]
	if h == nil || h.inflight != o || o.fence.Epoch != k.epoch {
		return
	}
	h.dirty = true
	if r.err != nil {
		k.failed(h, r)
		return
	}
	h.inflight = nil
	h.failures = 0
	h.heard = k.now
	k.read(h, r)
	for _, report := range r.reply.Reports {
		k.adoptOne(h, r.reply.Stamp.Boot, report)
	}
	switch o.kind {
	case OrderInventory:
		k.adopt(h, r.inventory)
	case OrderStart:
		k.confirm(h, h.leases[o.start.Incarnation])
	case OrderStop:
		k.stopped(h, o)
	case OrderThrottle:
		k.throttled(h, o)
	case OrderCheckpoint:
		k.saved(h, o, r.reply)
	case OrderForget:
		if l := h.leases[o.task.Incarnation]; l != nil {
			h.remove(l)
		}
	case OrderUsage:
		k.used(h, r.usage)
	}
	if r.reply.Ended > k.endedOn(h) {
		h.taken = -1
	}
}

// read takes the worker's clock from an answer. A new boot has ended all that
// ran before it.
func (k *Keeper) read(h *host, r Result) {
	stamp := r.stamp()
	h.clock = window{stamp: stamp, sent: r.order.sent, received: k.now}
	for _, l := range h.sorted() {
		if l.boot == stamp.Boot || l.boot == "" {
			continue
		}
		switch l.phase {
		case phasePlanned:
		case phaseReady:
			k.endLease(h, l, endNotStarted)
		default:
			k.endLease(h, l, endUnheard)
		}
	}
}

// endLease notes that a lease ended.
func (k *Keeper) endLease(h *host, l *lease, how ending) {
	if l.ending != endNot {
		return
	}
	l.ending = how
	k.move(l, leaseEnd)
	if l.task == nil {
		if how != endReported {
			h.remove(l)
		}
		return
	}
	k.touch(l.task)
}

func (k *Keeper) failed(h *host, r Result) {
	switch coder.Of(r.err) {
	case coder.Fenced, coder.LeaseLapsed, coder.NotRun, coder.NotFound:
		h.heard = k.now
	}
	k.miss(h, r.order)
}

// miss takes an order for unanswered: whether it was carried out is asked of
// the worker by an inventory, whose fence also keeps a late order from it.
func (k *Keeper) miss(h *host, o *Order) {
	h.inflight = nil
	h.failures++
	h.retryAt = k.now + min(firstRetry<<min(h.failures-1, 5), lastRetry)
	h.dirty = true
	if o.kind != OrderUsage {
		h.taken = -1
	}
	if l := h.leases[o.Incarnation()]; l != nil && (o.kind == OrderStart || o.kind == OrderStop) {
		k.move(l, leaseMiss)
	}
}

func (k *Keeper) confirm(h *host, l *lease) {
	if l == nil || !k.move(l, leaseConfirm) || l.confirmed {
		return
	}
	l.confirmed = true
	if t := l.task; t != nil && t.spec != nil {
		k.tell(Event{kind: EventStarted, worker: h.name, task: t.placed()})
	}
}

// adopt takes what a worker says that it runs and has ended. What it doesn't
// name never began and can't any more, since the inventory's fence is above
// that of every order before it.
func (k *Keeper) adopt(h *host, inv provider.Inventory) {
	h.taken = k.epoch
	h.inventoryAt = k.now + inventoryInterval
	named := map[provider.Incarnation]bool{}
	for _, r := range inv.Tasks {
		named[r.Incarnation] = true
		k.adoptOne(h, inv.Stamp.Boot, r)
	}
	for _, l := range h.sorted() {
		if l.phase == phaseEnded && l.task == nil && !named[l.incarnation] {
			h.remove(l)
		}
		if !l.ordered() || named[l.incarnation] || l.phase == phaseEnded {
			continue
		}
		how := endNotStarted
		if l.confirmed || l.boot != inv.Stamp.Boot {
			how = endUnheard
		}
		k.endLease(h, l, how)
	}
}

func (k *Keeper) adoptOne(h *host, boot string, r provider.TaskReport) {
	l := h.leases[r.Incarnation]
	if l == nil || r.Phase == provider.PhaseRunning && !l.holds() {
		l = k.foundLease(h, r)
	}
	l.size = r.Size.Size()
	h.stale = true
	l.boot = boot
	l.timed = true
	l.until = max(l.until, r.LeaseUntil)
	if r.Phase == provider.PhaseRunning {
		k.confirm(h, l)
		return
	}
	l.report = &r
	k.endLease(h, l, endReported)
	k.hearOfUnknown(r)
}

// foundLease gives the lease of a run that the keeper had none of. It goes to
// the task that the log has there, or is stopped.
func (k *Keeper) foundLease(h *host, r provider.TaskReport) *lease {
	l := &lease{incarnation: r.Incarnation, phase: phaseUnclear, granted: k.now, stopFor: stopSurplus, lapseBy: clock.Never}
	h.put(l)
	t := k.tasks[r.Incarnation.Task]
	if t != nil && t.state == stateGranted && t.incarnation == r.Incarnation.Number && t.lease == nil {
		l.task = t
		l.stopFor = stopNot
		t.lease = l
	}
	return l
}

// hearOfUnknown ends work that was given up on when its worker is back.
func (k *Keeper) hearOfUnknown(r provider.TaskReport) {
	t := k.tasks[r.Incarnation.Task]
	if t == nil || t.state != stateUnknown || t.incarnation != r.Incarnation.Number || t.pending != "" {
		return
	}
	switch r.Phase {
	case provider.PhaseSucceeded, provider.PhaseFailed:
		k.concludeReport(t, &r)
	}
}

func (k *Keeper) stopped(h *host, o *Order) {
	l := h.leases[o.task.Incarnation]
	if l == nil || l.phase != phaseStopping {
		return
	}
	// A stop of what had ended already gives the same answer: only the report
	// says which it was.
	k.move(l, leaseMiss)
	h.taken = -1
}

func (k *Keeper) saved(h *host, o *Order, r provider.Reply) {
	l := h.leases[o.task.Incarnation]
	if l == nil || l.task == nil {
		return
	}
	l.task.checkpoint = r.Checkpoint
}

func (k *Keeper) used(h *host, u provider.UsageReport) {
	for _, s := range u.Samples {
		h.usageSince = max(h.usageSince, s.Until)
		if t, known := k.placedTask(s.Incarnation.Task); known {
			k.tell(Event{kind: EventUsage, worker: h.name, task: t, usage: s, reading: u.Stamp.Reading})
		}
	}
}

// endedOn counts the leases that the worker is known to have ended.
func (k *Keeper) endedOn(h *host) int {
	n := 0
	for _, l := range h.leases {
		if l.phase == phaseEnded {
			n++
		}
	}
	return n
}

// placedTask gives a task that runs or has ended not long ago.
func (k *Keeper) placedTask(id string) (placer.Task, bool) {
	if t := k.tasks[id]; t != nil && t.spec != nil {
		return t.placed(), true
	}
	r, known := k.recent[id]
	return r.task, known
}
