package keeper

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// ramp limits how fast tasks start in a data centre after its drain was lifted.
	ramp struct {
		from  clock.Millis
		until clock.Millis
	}
)

const (
	// After a drain is lifted, rampInitial tasks may start per rampInterval. Their number
	// doubles every rampDoubling; the limit ends after rampDuration.
	rampDuration = clock.Minute
	rampInterval = 250 * clock.Millis(1)
	rampInitial  = 1
	rampDoubling = 10 * clock.Second
)

func (r *ramp) begin(now clock.Millis) {
	r.from = now
	r.until = now + rampDuration
}

// limit returns how many of a number of candidates may start in one round of placement, and
// the time until the next round.
func (r *ramp) limit(now clock.Millis, all int) (int, clock.Millis) {
	if now >= r.until {
		return all, placeInterval
	}
	return min(all, rampInitial<<int((now-r.from)/rampDoubling)), rampInterval
}

// placeWaiting assigns waiting tasks to workers.
func (k *Keeper) placeWaiting() {
	if k.now < k.nextPlaceAt || len(k.waiting) == 0 || !k.authority.starts || k.drained {
		return
	}
	candidates := k.candidates()
	if len(candidates) == 0 {
		return
	}
	limit, interval := k.ramp.limit(k.now, len(candidates))
	k.nextPlaceAt = k.now + interval
	tasks := make([]placer.Task, 0, limit)
	for _, t := range candidates[:limit] {
		tasks = append(tasks, t.placerTask())
	}
	for _, d := range k.place(k.now, tasks, k.workers()) {
		k.grant(d)
	}
	k.parkOversized(candidates)
}

// candidates returns the waiting tasks that may start now, in order of tier, priority with
// the wait, and time of submission: at most one per exclusive key, within the quotas of
// their teams.
func (k *Keeper) candidates() []*task {
	keysTaken := map[string]bool{}
	used := k.usedByTeam()
	var all []*task
	for _, t := range sortedTasks(k.waiting) {
		if k.startable(t) {
			all = append(all, t)
		}
	}
	slices.SortStableFunc(all, func(a, b *task) int {
		return cmp.Or(
			cmp.Compare(a.spec.kind.Tier(), b.spec.kind.Tier()),
			cmp.Compare(a.agedRank(), b.agedRank()),
			cmp.Compare(a.submittedAt, b.submittedAt))
	})
	return slices.DeleteFunc(all, func(t *task) bool {
		x := t.intent.GetExclusiveKey()
		if x != "" && keysTaken[x] {
			return true
		}
		keysTaken[x] = true
		return !k.withinQuota(t, used)
	})
}

// startable reports whether a waiting task may start now, apart from its team's quota.
func (k *Keeper) startable(t *task) bool {
	if t.spec == nil || !t.wanted || t.pending != "" || t.lease != nil || t.cancelled {
		return false
	}
	if k.now < t.notBefore || k.now >= t.deadline() {
		return false
	}
	if k.leavingShard(t) {
		return false
	}
	return k.exclusiveHolders[t.intent.GetExclusiveKey()] == nil
}

// usedByTeam returns the total size of the leases in the shard, by team.
func (k *Keeper) usedByTeam() map[string]sizer.Size {
	used := map[string]sizer.Size{}
	for _, h := range k.sortedHosts {
		for team, size := range h.allocation().byTeam {
			used[team] = used[team].Add(size)
		}
	}
	return used
}

// withinQuota reports whether the task fits its team's quota and, if so, adds it to used.
func (k *Keeper) withinQuota(t *task, used map[string]sizer.Size) bool {
	team, known := k.config.Team(t.spec.team)
	if !known {
		return true
	}
	sum := used[t.spec.team].Add(t.spec.size)
	if !sum.Fits(team.Quota.Size()) {
		return false
	}
	used[t.spec.team] = sum
	return true
}

// workers returns the listed workers and their allocations.
func (k *Keeper) workers() []placer.Worker {
	all := make([]placer.Worker, 0, len(k.sortedHosts))
	for _, h := range k.sortedHosts {
		if !h.listed {
			continue
		}
		v := h.allocation()
		all = append(all, placer.NewWorker(h.name, k.dataCentre, h.rack, h.capacity, v.free, v.residents, !k.schedulable(h)))
	}
	return all
}

// schedulable reports whether a worker may get new tasks: its inventory was taken in this
// epoch, it answers, and it is neither leaving, drained nor cordoned.
func (k *Keeper) schedulable(h *host) bool {
	return h.listed && h.inventoryEpoch == k.epoch && h.failures == 0 && k.now-h.lastContactAt < suspectAfter &&
		k.startsAllowed(h) && !k.cordoned(k.now, h.name)
}

// grant carries out a placement decision: it evicts the victims, adds a lease and records
// the start. If the task is no longer startable, or the victims still hold the capacity, it
// adds no lease and the task waits for a later decision.
func (k *Keeper) grant(d placer.Decision) {
	t := k.waiting[d.Task()]
	h := k.hosts[d.Worker()]
	if t == nil || h == nil || !k.startable(t) || !k.schedulable(h) {
		return
	}
	for _, id := range d.Victims() {
		k.evict(h, id)
	}
	size := d.Size()
	if size.IsZero() {
		size = t.spec.size
	}
	if !size.Fits(h.free()) {
		return
	}
	l := &lease{task: t, size: size, phase: phasePlanned, boot: h.clock.stamp.Boot, addedAt: k.now, expiredBy: clock.Never}
	l.incarnation = t.lastRun()
	l.incarnation.Number++
	h.put(l)
	h.dirty = true
	t.lease = l
	if x := t.intent.GetExclusiveKey(); x != "" {
		k.exclusiveHolders[x] = t
	}
	k.record(t, &schema.TaskEvent{
		Task: t.id, Incarnation: l.incarnation.Number, State: schema.TaskState_TASK_STATE_STARTING,
		Worker: h.name, Boot: l.boot, Checkpoint: t.checkpoint, Reservation: t.reservation(),
	})
	if t.isService() {
		k.startReplica(t, h, l)
	}
}

// startReplica makes the start order of a service replica due before its record is read
// back.
func (k *Keeper) startReplica(t *task, h *host, l *lease) {
	t.incarnation = l.incarnation.Number
	t.state = stateGranted
	t.worker = h.name
	t.boot = l.boot
	t.reserved = l.size
	delete(k.waiting, t.id)
	k.transition(l, leaseTransitionRecord)
}

// evict stops the run of a task on a worker if the task may run again.
func (k *Keeper) evict(h *host, id string) {
	t := k.tasks[id]
	if t == nil || t.lease == nil || h.leases[t.lease.incarnation] != t.lease {
		return
	}
	if t.repeatable() && t.lease.stopReason == stopNone {
		k.stop(t.lease, stopEvict)
	}
}

// parkOversized parks candidates that are larger than every worker, once neverFitsDelay of
// the epoch has passed.
func (k *Keeper) parkOversized(candidates []*task) {
	if k.now-k.epochStart < neverFitsDelay || len(k.sortedHosts) == 0 {
		return
	}
	for _, t := range candidates {
		if !k.fitsAnyWorker(t.spec.size) {
			k.park(t, coder.NeverFits)
		}
	}
}

// park records that a waiting task is given up, with the result code c.
func (k *Keeper) park(t *task, c coder.Code) {
	if t.intent == nil || t.pending != "" || t.lease != nil {
		return
	}
	k.record(t, &schema.TaskEvent{
		Task: t.id, Incarnation: t.incarnation,
		State: schema.TaskState_TASK_STATE_PARKED, ResultCode: int32(c),
	})
}

func (k *Keeper) fitsAnyWorker(s sizer.Size) bool {
	for _, h := range k.sortedHosts {
		if s.Fits(h.capacity) {
			return true
		}
	}
	return false
}
