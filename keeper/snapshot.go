package keeper

import (
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

const (
	stateEnded = "ended"
)

// State returns a snapshot of the shard, which replaces all records applied so far. While
// events or verdicts are pending, it returns none and false.
func (k *Keeper) State() (*schema.ShardState, bool) {
	if len(k.pendingEvents) > 0 || len(k.pendingVerdicts) > 0 {
		return nil, false
	}
	s := &schema.ShardState{Shard: k.shard, IntentsNext: int64(k.intentsNext)}
	for _, t := range sortedTasks(k.tasks) {
		s.Tasks = append(s.Tasks, k.taskRecord(t))
	}
	for _, id := range slices.Sorted(maps.Keys(k.results)) {
		r := k.results[id]
		s.Tasks = append(s.Tasks, &schema.TaskRecord{
			Id: id, State: stateEnded, ResultCode: int32(r.code), Answer: r.answer, EndedMillis: int64(r.at), Ran: r.ran,
		})
	}
	for _, unit := range slices.Sorted(maps.Keys(k.released)) {
		d := k.released[unit]
		s.Released = append(s.Released, &schema.ReleasedUnit{Unit: unit, To: d.to, Hop: d.hop})
	}
	return s, true
}

func (k *Keeper) taskRecord(t *task) *schema.TaskRecord {
	return &schema.TaskRecord{
		Id: t.id, Task: t.waitingTask(), State: t.state, Worker: t.worker, Boot: t.boot, Ran: t.ran, Cancelled: t.cancelled,
		Reservation: &schema.Reservation{
			Millicores: t.reserved.Millicores(), MemoryBytes: t.reserved.MemoryBytes(), Accelerators: t.reserved.Accelerators(),
		},
		Stray: k.orphans[t.id] != nil,
	}
}

// Restore replaces the keeper's state by a snapshot. Afterwards the caller applies the
// events from the offset of the snapshot on, and the verdicts on "intents" from the
// snapshot's IntentsNext on. Until then the register must not have applied any record from
// IntentsNext on.
func (k *Keeper) Restore(s *schema.ShardState) {
	k.clear()
	k.loadSpecs()
	k.epoch = -1
	k.intentsNext = provider.Offset(s.GetIntentsNext())
	k.intentsRead = k.intentsNext
	for _, r := range s.GetTasks() {
		k.restoreTask(r)
	}
	for _, u := range s.GetReleased() {
		k.released[u.GetUnit()] = unitRelease{to: u.GetTo(), hop: u.GetHop()}
	}
	k.updateReplicas()
}

func (k *Keeper) restoreTask(r *schema.TaskRecord) {
	if r.GetState() == stateEnded || r.GetState() == stateUnknown {
		code := coder.Code(r.GetResultCode())
		if r.GetState() == stateUnknown {
			code = coder.Unknown
		}
		k.results[r.GetId()] = result{code: code, ran: r.GetRan(), at: clock.Millis(r.GetEndedMillis()), answer: r.GetAnswer()}
	}
	if r.GetState() == stateEnded {
		return
	}
	w, v := r.GetTask(), r.GetReservation()
	t := &task{
		id:          r.GetId(),
		intent:      w.GetIntent(),
		state:       r.GetState(),
		incarnation: w.GetIncarnation(),
		worker:      r.GetWorker(),
		boot:        r.GetBoot(),
		reserved:    sizer.New(v.GetMillicores(), v.GetMemoryBytes(), v.GetAccelerators()),
		checkpoint:  w.GetCheckpoint(),
		failures:    int(w.GetFailures()),
		submittedAt: clock.Millis(w.GetSubmittedMillis()),
		cancelled:   r.GetCancelled(),
		ran:         r.GetRan(),
	}
	k.updateSpec(t)
	k.tasks[t.id] = t
	if t.state == stateWaiting {
		k.waiting[t.id] = t
	}
	if r.GetStray() {
		k.orphans[t.id] = t
	}
	k.enqueue(t)
}
