package keeper

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

// sendNextOrder sends a worker its next order. A worker has one order in flight at a
// time, so that orders arrive in the sequence of their fences.
func (k *Keeper) sendNextOrder(h *host) {
	if h.inflight != nil || k.now < h.retryAt || h.address == "" {
		return
	}
	if h.inventoryEpoch != k.epoch || k.now >= h.nextInventoryAt {
		k.send(h, &Order{kind: OrderInventory})
		return
	}
	if h.dirty && k.sendLeaseOrder(h) {
		return
	}
	h.dirty = false
	if k.now >= h.nextHeartbeatAt {
		k.sendExtend(h)
		return
	}
	if k.now >= h.nextCheckpointAt {
		k.sendCheckpoint(h)
		return
	}
	if k.now >= h.nextUsageAt {
		h.nextUsageAt = k.now + usageInterval
		k.send(h, &Order{kind: OrderUsage, since: h.usageSince})
	}
}

func (k *Keeper) send(h *host, o *Order) {
	k.orderCount++
	o.worker = h.name
	o.address = h.address
	o.sent = k.now
	o.fence = provider.Fence{Shard: k.shard, Epoch: k.epoch, Sequence: k.orderCount}
	o.start.Fence = o.fence
	o.lease.Fence = o.fence
	o.task.Fence = o.fence
	h.inflight = o
	k.out.orders = append(k.out.orders, o)
}

// sendLeaseOrder sends the most urgent order about a single lease and reports whether one
// was due. Stops and throttles come before starts, since they free capacity.
func (k *Keeper) sendLeaseOrder(h *host) bool {
	all := h.sorted()
	for _, l := range all {
		if l.stopReason != stopNone && l.phase == phaseHeld {
			k.transition(l, leaseTransitionStop)
			k.sendTaskOrder(h, OrderStop, l)
			return true
		}
	}
	if k.sendThrottle(h, all) {
		return true
	}
	for _, l := range readyByWait(all) {
		if k.sendStart(h, l) {
			return true
		}
	}
	for _, l := range all {
		if l.phase == phaseEnded && l.task == nil {
			k.sendTaskOrder(h, OrderForget, l)
			return true
		}
	}
	return false
}

// readyByWait returns the leases whose start order may be sent, the oldest first.
func readyByWait(all []*lease) []*lease {
	var ready []*lease
	for _, l := range all {
		if l.phase == phaseReady {
			ready = append(ready, l)
		}
	}
	slices.SortStableFunc(ready, func(a, b *lease) int { return cmp.Compare(a.addedAt, b.addedAt) })
	return ready
}

func (k *Keeper) sendTaskOrder(h *host, kind OrderKind, l *lease) {
	k.send(h, &Order{kind: kind, task: provider.TaskOrder{Incarnation: l.incarnation}})
}

// sendStart orders the start of a run and reports whether the order was sent. The lease
// ends no later than the owner's authority, except for service replicas, of which a second
// copy is harmless.
func (k *Keeper) sendStart(h *host, l *lease) bool {
	t := l.task
	if t == nil || !k.startsAllowed(h) {
		return false
	}
	l.until = k.leaseUntil(h, t.isService())
	if l.until <= h.clock.stamp.Reading {
		return false
	}
	l.untilKnown = true
	l.boot = h.clock.stamp.Boot
	l.expiredBy = k.now + ShortLease + 2*ShortLease*provider.RateMarginPermille/1000
	l.checkpointOrderedAt = k.now
	k.transition(l, leaseTransitionSend)
	k.send(h, &Order{kind: OrderStart, start: provider.StartOrder{
		Incarnation: l.incarnation,
		Size:        sizer.DocumentOf(l.size),
		Class:       t.spec.class,
		Boot:        l.boot,
		LeaseUntil:  l.until,
		StartBy:     h.clock.lowerBound(k.now + maxStartDelay),
		Checkpoint:  t.checkpoint,
		Payload:     t.intent.GetPayload(),
		RunTime:     int64(t.spec.runTime),
	}})
	return true
}

// startsAllowed reports whether tasks may start on a worker, which is the case unless it is
// drained or leaving, or starts in the data centre are not allowed.
func (k *Keeper) startsAllowed(h *host) bool {
	return k.authority.starts && !k.drained && !k.config.HostDrained(h.name) && !h.leaving
}

// leaseUntil returns the end of a lease that begins now, by the worker's clock.
func (k *Keeper) leaseUntil(h *host, service bool) int64 {
	if service {
		return h.clock.lowerBound(k.now + LongLease)
	}
	return h.clock.lowerBound(min(k.now+ShortLease, k.authority.until))
}

// sendExtend sends a worker its heartbeat, an order that extends leases: usually the short
// ones, and the long ones of service replicas whenever a quarter of LongLease has passed.
// An extension counts from when it is sent, since the worker may carry it out without its
// answer arriving.
func (k *Keeper) sendExtend(h *host) {
	h.nextHeartbeatAt = k.now + heartbeatInterval
	o := &Order{kind: OrderExtend}
	o.lease.Boot = h.clock.stamp.Boot
	service := k.now >= h.nextServiceExtendAt
	if service {
		h.nextServiceExtendAt = k.now + LongLease/4
	}
	o.lease.LeaseUntil = k.leaseUntil(h, service)
	for _, l := range h.sorted() {
		if l.phase != phaseHeld || l.task == nil || l.task.isService() != service {
			continue
		}
		o.lease.Tasks = append(o.lease.Tasks, l.incarnation)
		l.until = max(l.until, o.lease.LeaseUntil)
		l.expiredBy = k.now + ShortLease + 2*ShortLease*provider.RateMarginPermille/1000
	}
	if service {
		h.nextHeartbeatAt = k.now
	}
	k.send(h, o)
}

// sendCheckpoint orders one run to save its state, or schedules the next search if no
// checkpoint is due.
func (k *Keeper) sendCheckpoint(h *host) {
	l := k.checkpointDue(h)
	if l == nil {
		h.nextCheckpointAt = k.now + checkpointSearchInterval
		return
	}
	l.checkpointOrderedAt = k.now
	k.sendTaskOrder(h, OrderCheckpoint, l)
}

// checkpointDue returns a lease whose checkpoint is due, or nil.
func (k *Keeper) checkpointDue(h *host) *lease {
	for _, l := range h.sorted() {
		if l.phase != phaseHeld || l.task == nil || l.task.spec == nil || l.stopReason != stopNone {
			continue
		}
		every := l.task.spec.checkpointInterval
		if every > 0 && k.now-l.checkpointOrderedAt >= max(every, clock.Second) {
			return l
		}
	}
	return nil
}
