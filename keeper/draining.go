package keeper

import (
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/schema"
)

const (
	// drainInterval is the time between two batches of stops, and drainBatch the number
	// of leases that a batch stops.
	drainInterval = 250 * clock.Millis(1)
	drainBatch    = 4

	// drainGrace is how long replicas keep running in a drained data centre, so that
	// their replacements elsewhere are up first.
	drainGrace = 5 * clock.Second

	// successorTimeout is how long a replica on a drained or leaving worker keeps running
	// if its replacement has not started.
	successorTimeout = 30 * clock.Second
)

// drain moves work off drained and leaving workers, services first. In a drained data
// centre it also moves waiting tasks to other shards.
func (k *Keeper) drain() {
	if k.now < k.nextDrainAt {
		return
	}
	k.nextDrainAt = k.now + drainInterval
	budget := drainBatch
	if k.drained && k.now-k.drainedAt < drainGrace {
		budget = 0
	}
	for _, kind := range []placer.Kind{placer.Service, placer.Watch, placer.Exclusive, placer.Batch} {
		budget = k.drainKind(kind, budget)
	}
	if k.drained {
		k.releaseUnits()
	}
	k.publishReleases()
	k.forwardOrphans()
	k.stopReplacedReplicas()
}

// drainKind moves work of a kind off drained and leaving workers, at most budget leases. It
// returns the rest of the budget.
func (k *Keeper) drainKind(kind placer.Kind, budget int) int {
	for _, h := range k.sortedHosts {
		if !k.drained && !h.leaving && !k.config.HostDrained(h.name) {
			continue
		}
		for _, l := range h.sorted() {
			if budget == 0 {
				return 0
			}
			if k.movable(l, kind) {
				k.moveOff(l)
				budget--
			}
		}
	}
	return budget
}

// moveOff stops a run so that its task starts elsewhere. The task of a service replica is
// instead detached from the lease, so that it starts on another worker before this run is
// stopped.
func (k *Keeper) moveOff(l *lease) {
	t := l.task
	if !t.isService() || !t.wanted || l.phase == phaseReady {
		k.stop(l, stopEvict)
		return
	}
	l.task = nil
	l.host.stale = true
	l.successor = t
	l.addedAt = k.now
	t.lease = nil
	t.state = stateWaiting
	k.waiting[t.id] = t
}

// stopReplacedReplicas stops replicas whose replacement runs or has taken longer than
// successorTimeout.
func (k *Keeper) stopReplacedReplicas() {
	for _, h := range k.sortedHosts {
		for _, l := range h.leases {
			s := l.successor
			if s == nil || l.stopReason != stopNone {
				continue
			}
			if s.lease != nil && s.lease.phase == phaseHeld || k.now-l.addedAt >= successorTimeout {
				l.stopReason = stopSurplus
				h.dirty = true
			}
		}
	}
}

// forwardOrphans writes a Rehome record for each orphan, which adds it to the shard of its
// unit.
func (k *Keeper) forwardOrphans() {
	for _, t := range sortedTasks(k.orphans) {
		if t.pending != "" {
			continue
		}
		t.pending = k.appendRecord(intentsStream, &schema.Record{Body: &schema.Record_Rehome{Rehome: &schema.Rehome{
			Unit: t.unit(), Tasks: []*schema.WaitingTask{t.waitingTask()},
		}}})
	}
}

// movable reports whether the run of a lease is of the given kind and may be moved. A task
// that must not run twice stays on its worker until it ends, unless its start order was not
// sent yet.
func (k *Keeper) movable(l *lease, kind placer.Kind) bool {
	t := l.task
	if t == nil || t.spec == nil || t.spec.kind != kind || l.stopReason != stopNone || !l.holdsCapacity() || l.phase == phasePlanned {
		return false
	}
	return l.phase == phaseReady || t.repeatable()
}

// releaseUnits records the release of units that have waiting tasks and no running one, to
// shards in data centres that are not drained.
func (k *Keeper) releaseUnits() {
	busy := map[string]bool{}
	for _, t := range k.tasks {
		if t.intent != nil && (t.state == stateGranted || t.pending != "" || t.lease != nil) {
			busy[t.unit()] = true
		}
	}
	for _, t := range sortedTasks(k.waiting) {
		unit := t.unit()
		if k.leavingShard(t) || t.intent == nil || busy[unit] || t.cancelled {
			continue
		}
		to := HomeOf(k.config, unit)
		if to == "" || to == k.shard {
			continue
		}
		busy[unit] = true
		e := &schema.TaskEvent{
			Shard: k.shard, Epoch: k.epoch, Task: unit, To: to, Hop: k.hop(unit) + 1,
			State: schema.TaskState_TASK_STATE_RELEASED,
		}
		k.record(t, e)
	}
}

// applyRelease applies a RELEASED event: the tasks of the unit no longer start in this
// shard, and publishReleases writes the unit's move. The event is ignored if one of them
// runs or the hop is not the next one.
func (k *Keeper) applyRelease(id string, e *schema.TaskEvent) {
	unit := e.GetTask()
	for _, t := range k.unitTasks(unit) {
		if t.pending == id {
			t.pending = ""
		}
		k.enqueue(t)
	}
	for _, t := range k.unitTasks(unit) {
		if t.state == stateGranted {
			return
		}
	}
	if _, released := k.released[unit]; released || e.GetHop() != k.hop(unit)+1 {
		return
	}
	k.released[unit] = unitRelease{to: e.GetTo(), hop: e.GetHop()}
}

// hop returns how often a unit has moved, up to the offset of "intents" that the keeper has
// applied. The register may have read further, so moves whose verdicts are still pending in
// the keeper don't count.
func (k *Keeper) hop(unit string) int64 {
	for _, v := range k.pendingVerdicts {
		if v.rehome.GetUnit() == unit && v.rehome.GetHop() > 0 {
			return v.rehome.GetHop() - 1
		}
	}
	return k.register.hop(unit)
}

// publishReleases writes a Rehome record with the new shard and the waiting tasks of each
// released unit to "intents". A new owner of this shard writes it again.
func (k *Keeper) publishReleases() {
	units := slices.Sorted(maps.Keys(k.released))
	for _, unit := range units {
		d := k.released[unit]
		if d.pending != "" {
			continue
		}
		m := &schema.Rehome{Unit: unit, Hop: d.hop, To: d.to}
		for _, t := range k.unitTasks(unit) {
			if t.state != stateWaiting {
				continue
			}
			m.Tasks = append(m.Tasks, t.waitingTask())
		}
		d.pending = k.appendRecord(intentsStream, &schema.Record{Body: &schema.Record_Rehome{Rehome: m}})
		k.released[unit] = d
	}
}

// unitTasks returns the shard's tasks of a unit, the waiting ones first.
func (k *Keeper) unitTasks(unit string) []*task {
	if t := k.tasks[unit]; t != nil {
		return []*task{t}
	}
	var all []*task
	for _, t := range sortedTasks(k.waiting) {
		if t.intent != nil && t.unit() == unit {
			all = append(all, t)
		}
	}
	for _, t := range sortedTasks(k.tasks) {
		if t.intent != nil && t.unit() == unit && t.state != stateWaiting {
			all = append(all, t)
		}
	}
	return all
}
