package keeper

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

// order gives a worker its next order. There is one at a time, so that orders
// come in the sequence of their fences.
func (k *Keeper) order(h *host) {
	if h.inflight != nil || k.now < h.retryAt || h.address == "" {
		return
	}
	if h.taken != k.epoch || k.now >= h.inventoryAt {
		k.send(h, &Order{kind: OrderInventory})
		return
	}
	if h.dirty && k.orderLease(h) {
		return
	}
	h.dirty = false
	if k.now >= h.contactAt {
		k.extend(h)
		return
	}
	if k.now >= h.checkpointAt {
		k.checkpoint(h)
		return
	}
	if k.now >= h.usageAt {
		h.usageAt = k.now + usageInterval
		k.send(h, &Order{kind: OrderUsage, since: h.usageSince})
	}
}

func (k *Keeper) send(h *host, o *Order) {
	k.fences++
	o.worker = h.name
	o.address = h.address
	o.sent = k.now
	o.fence = provider.Fence{Shard: k.shard, Epoch: k.epoch, Sequence: k.fences}
	o.start.Fence = o.fence
	o.lease.Fence = o.fence
	o.task.Fence = o.fence
	h.inflight = o
	k.out.orders = append(k.out.orders, o)
}

// orderLease gives the most pressing order about one lease: what frees room
// goes before what takes it.
func (k *Keeper) orderLease(h *host) bool {
	all := h.sorted()
	for _, l := range all {
		if l.stopFor != stopNot && l.phase == phaseHeld {
			k.move(l, leaseStop)
			k.sendTask(h, OrderStop, l)
			return true
		}
	}
	if k.throttle(h, all) {
		return true
	}
	for _, l := range all {
		if l.phase == phaseReady && k.start(h, l) {
			return true
		}
	}
	for _, l := range all {
		if l.phase == phaseEnded && l.task == nil {
			k.sendTask(h, OrderForget, l)
			return true
		}
	}
	return false
}

func (k *Keeper) sendTask(h *host, kind OrderKind, l *lease) {
	k.send(h, &Order{kind: kind, task: provider.TaskOrder{Incarnation: l.incarnation}})
}

// start orders a run, with a lease that ends before the authority unless a
// second run does no harm.
func (k *Keeper) start(h *host, l *lease) bool {
	t := l.task
	if t == nil || !k.mayStart(h) {
		return false
	}
	l.until = k.leaseEnd(h, t.service())
	if l.until <= h.clock.stamp.Reading {
		return false
	}
	l.timed = true
	l.boot = h.clock.stamp.Boot
	l.lapseBy = k.now + ShortLease + 2*ShortLease*provider.RateMarginPermille/1000
	l.checkpointed = k.now
	k.move(l, leaseSend)
	k.send(h, &Order{kind: OrderStart, start: provider.StartOrder{
		Incarnation: l.incarnation,
		Size:        sizer.DocumentOf(l.size),
		Class:       t.spec.class,
		Boot:        l.boot,
		LeaseUntil:  l.until,
		StartBy:     h.clock.least(k.now + startWithin),
		Checkpoint:  t.checkpoint,
		Payload:     t.intent.GetPayload(),
		RunTime:     int64(t.spec.runTime),
	}})
	return true
}

func (k *Keeper) mayStart(h *host) bool {
	return k.authority.starts && !k.drained && !k.config.HostDrained(h.name) && !h.leaving
}

// leaseEnd gives the end of a lease that begins now by the worker's clock.
func (k *Keeper) leaseEnd(h *host, service bool) int64 {
	if service {
		return h.clock.least(k.now + LongLease)
	}
	return h.clock.least(min(k.now+ShortLease, k.authority.until))
}

// extend is the heartbeat of a worker. Short leases are moved each time, long
// ones when a quarter of theirs is over.
func (k *Keeper) extend(h *host) {
	h.contactAt = k.now + heartbeatInterval
	o := &Order{kind: OrderExtend}
	o.lease.Boot = h.clock.stamp.Boot
	service := k.now >= h.longAt
	if service {
		h.longAt = k.now + LongLease/4
	}
	o.lease.LeaseUntil = k.leaseEnd(h, service)
	for _, l := range h.sorted() {
		if l.phase != phaseHeld || l.task == nil || l.task.service() != service {
			continue
		}
		o.lease.Tasks = append(o.lease.Tasks, l.incarnation)
		l.until = max(l.until, o.lease.LeaseUntil)
		l.lapseBy = k.now + ShortLease + 2*ShortLease*provider.RateMarginPermille/1000
	}
	if service {
		h.contactAt = k.now
	}
	k.send(h, o)
}

// checkpoint has one run save its state, or looks again later.
func (k *Keeper) checkpoint(h *host) {
	l := k.checkpointDue(h)
	if l == nil {
		h.checkpointAt = k.now + checkpointInterval
		return
	}
	l.checkpointed = k.now
	k.sendTask(h, OrderCheckpoint, l)
}

// checkpointDue gives a lease whose state is to be saved.
func (k *Keeper) checkpointDue(h *host) *lease {
	for _, l := range h.sorted() {
		if l.phase != phaseHeld || l.task == nil || l.task.spec == nil || l.stopFor != stopNot {
			continue
		}
		every := l.task.spec.checkpoint
		if every > 0 && k.now-l.checkpointed >= max(every, clock.Second) {
			return l
		}
	}
	return nil
}
