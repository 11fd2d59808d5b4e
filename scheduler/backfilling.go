package scheduler

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/packer"
	"galenawharf.example/galenawharf/sizer"
)

// lineBudget bounds the lines about reservations.
type lineBudget struct {
	since clock.Millis
	lines int
}

const (
	// maxReservationLines bounds the lines about reservations a second; docs/design/packing.md.
	maxReservationLines = 10
	// maxPackingCandidates is maxCandidates while larger tasks wait, for which the tightest worker
	// counts rather than a good one.
	maxPackingCandidates = 2 * maxCandidates
)

// holdRoom reserves the room of a worker in this round.
func (s *Scheduler) holdRoom(r *reservation, now clock.Millis) {
	w := r.worker
	w.reservedIn, w.reserved, w.leaving = s.round, r.task.spec().held(), resourceSize{}
	for _, t := range w.tasks {
		if !t.spec().LongRunning && s.runEnd(t, now) <= r.at {
			w.leaving = w.leaving.plus(t.spec().held())
		}
	}
}

// placeHolders starts the tasks that fit on the workers reserved for them, and removes them from the
// demands. The tasks of the demands come after the long-running ones.
func (s *Scheduler) placeHolders(ds []demand, now clock.Millis) {
	placedAny := false
	for _, r := range slices.Clone(s.packing.reservations) {
		t, w := r.task, r.worker
		if s.startsLeft <= 0 {
			break
		}
		if t.retryAt > now || w.availableIn != s.round || w.isOnTrial() || !s.mayStart(t, now) || !s.admitted(t, w) || !s.canRun(t, t.spec(), w, s.tolerance(t)) {
			continue
		}
		s.assign(t, w, now)
		placedAny = true
	}
	if !placedAny {
		return
	}
	for i := range ds {
		ds[i].tasks = slices.DeleteFunc(ds[i].tasks, func(t *task) bool { return t.state != pending })
	}
}

// placeBeside places the tasks of a demand, for which all other workers lack room, on reserved ones if
// they end there in time or leave the room free.
func (s *Scheduler) placeBeside(d demand, now clock.Millis) {
	step := &d.occurrence.job.spec.Steps[d.step]
	if len(s.packing.reservations) == 0 || step.Filler || step.Gang || s.waitsForCap(d, d.tasks) || d.occurrence.lacksTickets(d.step, now) {
		return
	}
	ws := s.withReserved(nil)
	for i, t := range d.tasks {
		if s.startsLeft <= 0 || t.isSuspect() {
			return
		}
		w := s.bestWorker(t, ws)
		if w == nil {
			return
		}
		s.assign(t, w, now)
		if s.waitsForCap(d, d.tasks[i+1:]) {
			return
		}
	}
}

// withReserved returns the given workers and the reserved ones. Whether a task may start beside a
// reservation depends on its run time too, so that a failed search does not rule these out for others.
func (s *Scheduler) withReserved(ws []*worker) []*worker {
	p := &s.packing
	if len(p.reservations) == 0 {
		return ws
	}
	p.candidates = append(p.candidates[:0], ws...)
	for _, r := range p.reservations {
		p.candidates = append(p.candidates, r.worker)
	}
	return p.candidates
}

// noteStart accounts for a run that has been assigned to a worker.
func (s *Scheduler) noteStart(t *task, w *worker, now clock.Millis) {
	if r := t.reservation; r != nil {
		why := ""
		if r.worker != w {
			why = "placed-elsewhere"
		}
		s.dropReservation(r, why, now)
	}
	if r := w.reservation; r != nil && w.reservedIn == s.round && !t.spec().LongRunning && now+s.forecast(t, w) <= r.at {
		w.leaving = w.leaving.plus(t.spec().held())
	}
}

// dropReservation ends a reservation, which has been used if there is no reason.
func (s *Scheduler) dropReservation(r *reservation, why string, now clock.Millis) {
	p := &s.packing
	p.reservations = slices.DeleteFunc(p.reservations, func(o *reservation) bool { return o == r })
	r.task.reservation, r.worker.reservation, r.worker.reservedIn = nil, nil, 0
	p.nextSearch = 0
	s.searches.noteChange(r.worker)
	e := logger.ReservationDropped
	switch why {
	case "":
		e = logger.ReservationUsed
	case "late", "no-room":
		e = logger.ReservationMoves
	}
	s.logReservation(e, r, why, now)
}

func (s *Scheduler) logReservation(e logger.Event, r *reservation, why string, now clock.Millis) {
	if s.packing.lines.allows(now) {
		s.emit(e, logger.String("task", r.task.name().String()), logger.String("worker", r.worker.info.ID),
			logger.Int("in-ms", int64(r.at-now)), logger.Int("waited-ms", int64(now-r.task.waitedFrom())), logger.String("why", why))
	}
}

// waitedFrom returns since when a task waits, or has waited for its newest run.
func (t *task) waitedFrom() clock.Millis {
	if t.waitingSince != 0 {
		return t.waitingSince
	}
	return t.waitedSince
}

func (b *lineBudget) allows(now clock.Millis) bool {
	if now-b.since >= clock.Second {
		b.since, b.lines = now, 0
	}
	b.lines++
	return b.lines <= maxReservationLines
}

// roomScore returns the free share of a worker's processors, or while larger tasks wait how well a task
// that ends by itself leaves room for them.
func (s *Scheduler) roomScore(t *task, step *Step, w *worker) float64 {
	if len(s.packing.pools) > 0 && !step.Filler && !step.LongRunning {
		size := step.Size()
		if z := s.packing.pools[t.job().spec.Queue.Service]; z != nil && !z.largest.Fits(size) {
			free := w.free()
			runs := [1]packer.Run{{Size: w.emptied(s.round).Sub(free)}}
			return packer.FitScore(size, packer.Room{Total: w.total(), Free: free, Runs: runs[:]}, z.smallest)
		}
	}
	return float64(w.info.CPU-w.cpu-w.fillerCPU) / float64(max(w.info.CPU, 1))
}

// candidateLimit returns how many suitable workers are compared for a task.
func (s *Scheduler) candidateLimit() int {
	if len(s.packing.pools) > 0 {
		return maxPackingCandidates
	}
	return maxCandidates
}

// roomOf returns the room of a worker with the forecast ends of its runs.
func (s *Scheduler) roomOf(w *worker, now clock.Millis) packer.Room {
	r := packer.Room{Total: w.total(), Free: w.free(), Runs: make([]packer.Run, 0, len(w.tasks))}
	for _, t := range w.tasks {
		if !t.spec().LongRunning {
			r.Runs = append(r.Runs, packer.Run{Size: t.spec().held().size(), End: s.runEnd(t, now)})
		}
	}
	return r
}

func (w *worker) total() sizer.Size {
	return resourceSize{w.info.CPU, w.info.Memory, w.info.GPU}.size()
}

// free returns the room that is free; it is negative where a worker has shrunk.
func (w *worker) free() sizer.Size {
	return resourceSize{w.info.CPU - w.cpu, w.info.Memory - w.memory, w.info.GPU - w.gpu}.size()
}

// emptied returns the room that is free once all runs that end by themselves have ended. It is
// computed once a round: runs that start in it and last come first.
func (w *worker) emptied(round int) sizer.Size {
	if w.emptiedIn != round {
		w.emptiedIn, w.emptiedRoom = round, w.total()
		for _, t := range w.tasks {
			if t.spec().LongRunning {
				w.emptiedRoom = w.emptiedRoom.Sub(t.spec().held().size())
			}
		}
	}
	return w.emptiedRoom
}

// held returns what a task of the step takes from the room of its worker.
func (s *Step) held() resourceSize {
	if s.Filler {
		return resourceSize{memory: s.Memory, gpu: s.GPU}
	}
	return resourceSize{s.CPU, s.Memory, s.GPU}
}

func (s resourceSize) plus(o resourceSize) resourceSize {
	return resourceSize{s.cpu + o.cpu, s.memory + o.memory, s.gpu + o.gpu}
}

func (s resourceSize) size() sizer.Size { return sizer.New(s.cpu, s.memory*sizer.MiB, s.gpu) }
