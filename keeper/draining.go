package keeper

import (
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/schema"
)

const (
	// drainInterval is the time from one round of stops to the next, and
	// drainRound how many leases a round stops.
	drainInterval = 250 * clock.Millis(1)
	drainRound    = 4

	// drainGrace is how long replicas go on in a drained data centre, so that
	// those elsewhere are up before.
	drainGrace = 5 * clock.Second

	// successorWait is the longest that a replica on a drained worker waits
	// for another to run.
	successorWait = 30 * clock.Second
)

// drain moves work off drained and leaving workers, services first, and sends
// what waits in a drained data centre to others.
func (k *Keeper) drain() {
	if k.now < k.drainAt {
		return
	}
	k.drainAt = k.now + drainInterval
	left := drainRound
	if k.drained && k.now-k.drainedAt < drainGrace {
		left = 0
	}
	for _, kind := range []placer.Kind{placer.Service, placer.Watch, placer.Exclusive, placer.Batch} {
		left = k.drainKind(kind, left)
	}
	if k.drained {
		k.releaseUnits()
	}
	k.announce()
	k.forward()
	k.succeed()
}

func (k *Keeper) drainKind(kind placer.Kind, left int) int {
	for _, h := range k.ordered {
		if !k.drained && !h.leaving && !k.config.HostDrained(h.name) {
			continue
		}
		for _, l := range h.sorted() {
			if left == 0 {
				return 0
			}
			if k.leaves(l, kind) {
				k.moveOff(l)
				left--
			}
		}
	}
	return left
}

// moveOff stops a run, or has another one of a replica begin first.
func (k *Keeper) moveOff(l *lease) {
	t := l.task
	if !t.service() || !t.wanted || l.phase == phaseReady {
		k.stop(l, stopEvict)
		return
	}
	l.task = nil
	l.host.stale = true
	l.successor = t
	l.granted = k.now
	t.lease = nil
	t.state = stateWaiting
	k.waiting[t.id] = t
}

// succeed stops replicas whose successors run.
func (k *Keeper) succeed() {
	for _, h := range k.ordered {
		for _, l := range h.leases {
			s := l.successor
			if s == nil || l.stopFor != stopNot {
				continue
			}
			if s.lease != nil && s.lease.phase == phaseHeld || k.now-l.granted >= successorWait {
				l.stopFor = stopSurplus
				h.dirty = true
			}
		}
	}
}

// forward sends tasks after their unit.
func (k *Keeper) forward() {
	for _, t := range sortedTasks(k.strays) {
		if t.pending != "" {
			continue
		}
		t.pending = k.append(intentsStream, &schema.Record{Body: &schema.Record_Rehome{Rehome: &schema.Rehome{
			Unit: t.unit(), Tasks: []*schema.WaitingTask{t.waitingTask()},
		}}})
	}
}

// leaves tells whether a lease of a kind is to be moved. Work that must not
// run twice ends where it is.
func (k *Keeper) leaves(l *lease, kind placer.Kind) bool {
	t := l.task
	if t == nil || t.spec == nil || t.spec.kind != kind || l.stopFor != stopNot || !l.holds() || l.phase == phasePlanned {
		return false
	}
	return l.phase == phaseReady || t.repeatable()
}

// releaseUnits lets go of units of which nothing runs.
func (k *Keeper) releaseUnits() {
	busy := map[string]bool{}
	for _, t := range k.tasks {
		if t.intent != nil && (t.state == stateGranted || t.pending != "" || t.lease != nil) {
			busy[t.unit()] = true
		}
	}
	for _, t := range sortedTasks(k.waiting) {
		unit := t.unit()
		if k.left(t) || t.intent == nil || busy[unit] || t.cancelled {
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

// applyRelease takes the end of the shard's say over a unit.
func (k *Keeper) applyRelease(id string, e *schema.TaskEvent) {
	unit := e.GetTask()
	for _, t := range k.unitTasks(unit) {
		if t.pending == id {
			t.pending = ""
		}
		k.touch(t)
	}
	for _, t := range k.unitTasks(unit) {
		if t.state == stateGranted {
			return
		}
	}
	if _, left := k.released[unit]; left || e.GetHop() != k.hop(unit)+1 {
		return
	}
	k.released[unit] = departure{to: e.GetTo(), hop: e.GetHop()}
}

// hop gives how often a unit had moved at the place in "intents" that the
// keeper has come to; the register may be further.
func (k *Keeper) hop(unit string) int64 {
	for _, v := range k.verdicts {
		if v.rehome.GetUnit() == unit && v.rehome.GetHop() > 0 {
			return v.rehome.GetHop() - 1
		}
	}
	return k.register.hop(unit)
}

// announce says where released units have gone. A later owner says it again.
func (k *Keeper) announce() {
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
		d.pending = k.append(intentsStream, &schema.Record{Body: &schema.Record_Rehome{Rehome: m}})
		k.released[unit] = d
	}
}

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
