package scheduler

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/packer"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// packing is what is known of tasks that end by themselves, have waited for roomWait and fit on no
	// worker, and the room that is kept for them; docs/design/packing.md.
	packing struct {
		// waiting are these tasks as of the last rounds of placing, found those of the current one.
		waiting, found []*task
		// pools has the sizes of the waiting tasks by service; it is empty while none wait.
		pools        map[string]*waitingSizes
		reservations []*reservation
		// nextSearch is when workers are next searched for tasks for which none had room.
		nextSearch clock.Millis
		// candidates is reused by withReserved.
		candidates []*worker
		lines      lineBudget
	}

	// reservation keeps the room of a worker for a task, which is forecast to fit there at at.
	reservation struct {
		task   *task
		worker *worker
		at     clock.Millis
	}

	// waitingSizes are the sizes of waiting tasks: those that contain none of the others, and the
	// largest of each resource.
	waitingSizes struct {
		smallest []sizer.Size
		largest  sizer.Size
	}
)

const (
	// roomWait is the wait from which a task that fits on no worker may get a reservation.
	roomWait = 300 * clock.Millis(1)
	// reservationGrace is how long a reservation outlasts its forecast before it moves.
	reservationGrace = clock.Second
	// reservedShare bounds the reserved workers, as a share of those available. It and the two above
	// are requirements of docs/design/packing.md.
	reservedShare = 0.1
	// roomSearchInterval is the time between searches for reservations while some tasks fit on no
	// worker even without the runs that end there; it is that of searchInterval.
	roomSearchInterval = searchInterval
	// maxSmallest bounds the sizes that a score compares.
	maxSmallest = 8
)

// keepRoom establishes the reservations of the last round again, and adds those that are due.
func (s *Scheduler) keepRoom(ws []*worker, now clock.Millis) {
	p := &s.packing
	p.waiting = slices.DeleteFunc(p.waiting, func(t *task) bool { return !t.waitsForRoom() })
	p.collectSizes()
	if len(p.waiting) == 0 && len(p.reservations) == 0 {
		return
	}
	avoided := map[*task]*worker{}
	for _, r := range slices.Clone(p.reservations) {
		if why := s.lapse(r, now); why != "" {
			avoided[r.task] = r.worker
			s.dropReservation(r, why, now)
		}
	}
	limit := max(1, int(reservedShare*float64(len(ws))))
	for len(p.reservations) > limit {
		s.dropReservation(p.reservations[len(p.reservations)-1], "fewer-workers", now)
	}
	s.reserveRoom(ws, avoided, limit-len(p.reservations), now)
	for _, r := range p.reservations {
		s.holdRoom(r, now)
	}
}

// endPacking notes at the end of a round which tasks wait for room. What the round has not come to
// waits as before.
func (s *Scheduler) endPacking(now clock.Millis) {
	p := &s.packing
	if s.startsLeft > 0 {
		p.waiting = p.waiting[:0]
	}
	p.waiting = append(slices.DeleteFunc(p.waiting, func(t *task) bool { return t.noRoomIn == s.round }), p.found...)
	p.found = p.found[:0]
	p.collectSizes()
	for _, r := range slices.Clone(p.reservations) {
		if !r.task.waitsForRoom() {
			s.dropReservation(r, "not-needed", now)
		}
	}
}

// waitsForRoom reports whether a task may wait for a worker with room.
func (t *task) waitsForRoom() bool {
	return t.state == pending && t.waitingSince != 0 && !t.job().phase.final() && !t.isSuspect()
}

// noteNoRoom notes the tasks of a demand for which a round of placing has found no worker.
func (s *Scheduler) noteNoRoom(d demand, now clock.Millis) {
	step := &d.occurrence.job.spec.Steps[d.step]
	if step.Gang || step.Filler || step.LongRunning || !s.mayStart(d.tasks[0], now) {
		return
	}
	for _, t := range d.tasks {
		if t.waitsForRoom() && now-t.waitingSince >= roomWait {
			t.noRoomIn = s.round
			s.packing.found = append(s.packing.found, t)
		}
	}
}

// mayStart reports whether a task waits neither for the cap of its tenant nor for a ticket.
func (s *Scheduler) mayStart(t *task, now clock.Millis) bool {
	return !t.occurrence.lacksTickets(t.step, now) && s.admitsStart(t.job().spec.Tenant, t.spec().Size())
}

// lapse returns why a reservation can't be kept, or "" if it can.
func (s *Scheduler) lapse(r *reservation, now clock.Millis) string {
	w, t := r.worker, r.task
	switch e := s.unavailability(w, now); {
	case !t.waitsForRoom():
		return "not-needed"
	case s.workers[w.info.ID] != w || e != notExcluded && e != backingOff:
		return "worker-" + e.String()
	case !s.mayStart(t, now):
		return "may-not-start"
	case !s.suits(t, t.spec(), w) || !t.spec().Size().Fits(w.emptied(s.round)):
		return "no-room"
	case now > r.at+reservationGrace:
		return "late"
	default:
		return ""
	}
}

// suits reports whether a worker would do for a task that ends by itself if it had room.
func (s *Scheduler) suits(t *task, step *Step, w *worker) bool {
	return w.info.Service == t.job().spec.Queue.Service && w.hasLabel(step.Label) && !t.denied(w) && s.admitted(t, w) && !w.isProbing() &&
		(step.PerWorker == 0 || w.countOfStep(t) < step.PerWorker) && (step.Rack == "" || w.hasLabel(step.Rack) || !s.racks[step.Rack] || s.mayRunRemote(t, step))
}

// reserveRoom adds at most limit reservations. avoided are the workers from which tasks move.
func (s *Scheduler) reserveRoom(ws []*worker, avoided map[*task]*worker, limit int, now clock.Millis) {
	p := &s.packing
	if limit <= 0 || now < p.nextSearch {
		return
	}
	ts, needs := s.needs(limit, now)
	if len(needs) == 0 {
		return
	}
	ws = slices.DeleteFunc(slices.Clone(ws), func(w *worker) bool {
		return w.reservation != nil || w.reservedIn > 0 && w.reservedIn >= s.round-1 || !p.mayHold(w, s.round)
	})
	rooms := make([]packer.Room, len(ws))
	for i, w := range ws {
		rooms[i] = s.roomOf(w, now)
	}
	for i, t := range ts {
		needs[i].Suits = func(n int) bool { return avoided[t] != ws[n] && s.suits(t, t.spec(), ws[n]) }
	}
	rs := packer.Reserve(now, needs, rooms, limit)
	if len(rs) < min(limit, len(needs)) {
		p.nextSearch = now + roomSearchInterval
	}
	for _, r := range rs {
		w, t := ws[r.Room], ts[r.Need]
		w.reservation = &reservation{task: t, worker: w, at: r.At}
		t.reservation = w.reservation
		p.reservations = append(p.reservations, w.reservation)
		s.logReservation(logger.RoomReserved, w.reservation, "", now)
	}
}

// needs returns the waiting tasks without a reservation, at most limit of each step, and what they need.
func (s *Scheduler) needs(limit int, now clock.Millis) ([]*task, []packer.Need) {
	var ts []*task
	var needs []packer.Need
	var o *occurrence
	step, n, order, size := 0, 0, packer.Order{}, sizer.Size{}
	for _, t := range s.packing.waiting {
		if t.reservation != nil {
			continue
		}
		if t.occurrence != o || t.step != step {
			o, step, n, size = t.occurrence, t.step, 0, t.spec().Size()
			order = packer.Order{Priority: t.job().spec.Queue.Priority, Late: s.rankOf(t.job()).lateness == uselessLateness}
			if !s.mayStart(t, now) {
				n = limit
			}
		}
		if n >= limit {
			continue
		}
		n++
		order.Since = t.waitingSince
		ts, needs = append(ts, t), append(needs, packer.Need{Size: size, Order: order})
	}
	return ts, needs
}

// collectSizes sets the sizes of the waiting tasks.
func (p *packing) collectSizes() {
	clear(p.pools)
	if p.pools == nil {
		p.pools = map[string]*waitingSizes{}
	}
	var last *Step
	for _, t := range p.waiting {
		if t.spec() == last {
			continue
		}
		last = t.spec()
		service := t.job().spec.Queue.Service
		if p.pools[service] == nil {
			p.pools[service] = &waitingSizes{}
		}
		p.pools[service].add(last.Size())
	}
}

func (z *waitingSizes) add(size sizer.Size) {
	l := z.largest
	z.largest = sizer.New(max(l.Millicores(), size.Millicores()), max(l.MemoryBytes(), size.MemoryBytes()), max(l.Accelerators(), size.Accelerators()))
	if slices.ContainsFunc(z.smallest, func(o sizer.Size) bool { return o.Fits(size) }) {
		return
	}
	z.smallest = slices.DeleteFunc(z.smallest, size.Fits)
	if len(z.smallest) < maxSmallest {
		z.smallest = append(z.smallest, size)
	}
}

// mayHold reports whether a worker could hold one of the waiting tasks once the runs that end by
// themselves have ended.
func (p *packing) mayHold(w *worker, round int) bool {
	z := p.pools[w.info.Service]
	return z != nil && slices.ContainsFunc(z.smallest, func(o sizer.Size) bool { return o.Fits(w.emptied(round)) })
}
