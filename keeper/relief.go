package keeper

import (
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/provider"
)

// wholeShare is all of a task's processors, in thousandths.
const wholeShare = 1000

// Workers gives the workers as the placer sees them.
func (k *Keeper) Workers() []placer.Worker { return k.workers() }

// Throttle sets the share of its processors, in thousandths, that a running
// task may use. The worker is asked until it has confirmed.
func (k *Keeper) Throttle(task string, permille int) {
	t := k.tasks[task]
	if t == nil || t.lease == nil || permille < 1 || permille > wholeShare {
		return
	}
	t.lease.share = permille
	t.lease.host.dirty = true
}

// Evict stops a running task that may be resumed.
func (k *Keeper) Evict(task string) {
	if t := k.tasks[task]; t != nil && t.lease != nil {
		k.evict(t.lease.host, task)
	}
}

// Park ends the waiting tasks of a batch job that is not tried again until it
// is changed.
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

// throttle orders the first share that the worker has not confirmed.
func (k *Keeper) throttle(h *host, all []*lease) bool {
	for _, l := range all {
		if l.phase != phaseHeld || l.share == l.sharing {
			continue
		}
		k.send(h, &Order{kind: OrderThrottle, task: provider.TaskOrder{Incarnation: l.incarnation, Permille: l.share}})
		return true
	}
	return false
}

// throttled notes the share that the worker has confirmed.
func (k *Keeper) throttled(h *host, o *Order) {
	if l := h.leases[o.task.Incarnation]; l != nil {
		l.sharing = o.task.Permille
	}
}
