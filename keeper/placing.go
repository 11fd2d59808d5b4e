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
	// ramp bounds how fast work starts in a data centre that is back.
	ramp struct {
		from  clock.Millis
		until clock.Millis
	}
)

const (
	rampTime     = clock.Minute
	rampInterval = 250 * clock.Millis(1)
	rampFirst    = 1
	rampDoubling = 10 * clock.Second
)

func (r *ramp) begin(now clock.Millis) {
	r.from = now
	r.until = now + rampTime
}

// most gives how many starts one round may decide, and the time to the next.
func (r *ramp) most(now clock.Millis, all int) (int, clock.Millis) {
	if now >= r.until {
		return all, placeInterval
	}
	return min(all, rampFirst<<int((now-r.from)/rampDoubling)), rampInterval
}

// placeWaiting decides where waiting tasks run.
func (k *Keeper) placeWaiting() {
	if k.now < k.placeAt || len(k.waiting) == 0 || !k.authority.starts || k.drained {
		return
	}
	candidates := k.candidates()
	if len(candidates) == 0 {
		return
	}
	most, interval := k.ramp.most(k.now, len(candidates))
	k.placeAt = k.now + interval
	tasks := make([]placer.Task, 0, most)
	for _, t := range candidates[:most] {
		tasks = append(tasks, t.placed())
	}
	for _, d := range k.place(k.now, tasks, k.workers()) {
		k.grant(d)
	}
	k.parkUnfit(candidates)
}

// candidates gives the tasks that may start now, most pressing first.
func (k *Keeper) candidates() []*task {
	busy := map[string]bool{}
	used := k.usedByTeam()
	var all []*task
	for _, t := range sortedTasks(k.waiting) {
		if k.startable(t) {
			all = append(all, t)
		}
	}
	slices.SortStableFunc(all, func(a, b *task) int {
		return cmp.Or(
			cmp.Compare(a.spec.kind, b.spec.kind),
			cmp.Compare(b.spec.priority, a.spec.priority),
			cmp.Compare(a.submitted, b.submitted))
	})
	return slices.DeleteFunc(all, func(t *task) bool {
		x := t.intent.GetExclusiveKey()
		if x != "" && busy[x] {
			return true
		}
		busy[x] = true
		return !k.withinQuota(t, used)
	})
}

func (k *Keeper) startable(t *task) bool {
	if t.spec == nil || !t.wanted || t.pending != "" || t.lease != nil || t.cancelled {
		return false
	}
	if k.now < t.notBefore || k.now >= t.deadline() {
		return false
	}
	if k.left(t) {
		return false
	}
	return k.exclusive[t.intent.GetExclusiveKey()] == nil
}

// usedByTeam counts what each team's work holds in the shard.
func (k *Keeper) usedByTeam() map[string]sizer.Size {
	used := map[string]sizer.Size{}
	for _, h := range k.ordered {
		for team, size := range h.seen().teams {
			used[team] = used[team].Add(size)
		}
	}
	return used
}

// withinQuota tells whether a team may hold the task too, and counts it.
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

// workers gives the workers as the placer sees them.
func (k *Keeper) workers() []placer.Worker {
	all := make([]placer.Worker, 0, len(k.ordered))
	for _, h := range k.ordered {
		if !h.listed {
			continue
		}
		v := h.seen()
		all = append(all, placer.NewWorker(h.name, k.dataCentre, h.rack, h.capacity, v.free, v.residents, !k.open(h)))
	}
	return all
}

// open tells whether a worker may be given something: its inventory was taken
// in this epoch, it answers, and it isn't leaving.
func (k *Keeper) open(h *host) bool {
	return h.listed && h.taken == k.epoch && h.failures == 0 && k.now-h.heard < suspectAfter &&
		k.mayStart(h) && !k.closed(k.now, h.name)
}

// grant carries out a decision, if it still holds what a grant must.
func (k *Keeper) grant(d placer.Decision) {
	t := k.waiting[d.Task()]
	h := k.hosts[d.Worker()]
	if t == nil || h == nil || !k.startable(t) || !k.open(h) {
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
	l := &lease{task: t, size: size, phase: phasePlanned, boot: h.clock.stamp.Boot, granted: k.now, lapseBy: clock.Never}
	l.incarnation = t.name()
	l.incarnation.Number++
	h.put(l)
	h.dirty = true
	t.lease = l
	if x := t.intent.GetExclusiveKey(); x != "" {
		k.exclusive[x] = t
	}
	k.record(t, &schema.TaskEvent{
		Task: t.id, Incarnation: l.incarnation.Number, State: schema.TaskState_TASK_STATE_STARTING,
		Worker: h.name, Boot: l.boot, Checkpoint: t.checkpoint, Reservation: t.reservation(),
	})
	if t.service() {
		k.startReplica(t, h, l)
	}
}

// startReplica goes on before the record is read back.
func (k *Keeper) startReplica(t *task, h *host, l *lease) {
	t.incarnation = l.incarnation.Number
	t.state = stateGranted
	t.worker = h.name
	t.boot = l.boot
	t.reserved = l.size
	delete(k.waiting, t.id)
	k.move(l, leaseRecord)
}

// evict stops a task that may be resumed.
func (k *Keeper) evict(h *host, id string) {
	t := k.tasks[id]
	if t == nil || t.lease == nil || h.leases[t.lease.incarnation] != t.lease {
		return
	}
	if t.repeatable() && t.lease.stopFor == stopNot {
		k.stop(t.lease, stopEvict)
	}
}

// parkUnfit ends work that is larger than any worker.
func (k *Keeper) parkUnfit(candidates []*task) {
	if k.now-k.tookAt < neverFitsAfter || len(k.ordered) == 0 {
		return
	}
	for _, t := range candidates {
		if !k.fitsSome(t.spec.size) {
			k.park(t, coder.NeverFits)
		}
	}
}

// park ends a waiting task that will not be tried again.
func (k *Keeper) park(t *task, c coder.Code) {
	if t.intent == nil || t.pending != "" || t.lease != nil {
		return
	}
	k.record(t, &schema.TaskEvent{
		Task: t.id, Incarnation: t.incarnation,
		State: schema.TaskState_TASK_STATE_PARKED, ResultCode: int32(c),
	})
}

func (k *Keeper) fitsSome(s sizer.Size) bool {
	for _, h := range k.ordered {
		if s.Fits(h.capacity) {
			return true
		}
	}
	return false
}
