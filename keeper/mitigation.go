package keeper

import (
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/provider"
)

// fullShare is all of a task's processors, in thousandths.
const fullShare = 1000

// Workers returns the workers of the last SetHosts and their allocations.
func (k *Keeper) Workers() []placer.Worker { return k.workers() }

// Throttle sets the share of its processors, in thousandths, that a running task may use.
// The order is retried until the worker confirms it.
func (k *Keeper) Throttle(task string, permille int) {
	t := k.tasks[task]
	if t == nil || t.lease == nil || permille < 1 || permille > fullShare {
		return
	}
	t.lease.targetShare = permille
	t.lease.host.dirty = true
}

// Evict stops the run of a task. A task that must not run twice is left running.
func (k *Keeper) Evict(task string) {
	if t := k.tasks[task]; t != nil && t.lease != nil {
		k.evict(t.lease.host, task)
	}
}

// Park gives up the waiting tasks of a batch job, with the result coder.Parked. The job is
// not retried until its declaration changes. Without authority Park has no effect.
func (k *Keeper) Park(job string) {
	if !k.authority.holds(k.now) {
		return
	}
	for _, t := range sortedTasks(k.waiting) {
		if t.spec != nil && t.spec.work == job && (t.spec.kind == placer.Batch || t.spec.kind == placer.Exclusive) {
			k.park(t, coder.Parked)
		}
	}
}

// sendThrottle sends the throttle order of the first lease whose share the worker has not
// confirmed, and reports whether there was one.
func (k *Keeper) sendThrottle(h *host, all []*lease) bool {
	for _, l := range all {
		if l.phase != phaseHeld || l.targetShare == l.confirmedShare {
			continue
		}
		k.send(h, &Order{kind: OrderThrottle, task: provider.TaskOrder{Incarnation: l.incarnation, Permille: l.targetShare}})
		return true
	}
	return false
}

// confirmThrottle stores the share that the worker has confirmed.
func (k *Keeper) confirmThrottle(h *host, o *Order) {
	if l := h.leases[o.task.Incarnation]; l != nil {
		l.confirmedShare = o.task.Permille
	}
}
