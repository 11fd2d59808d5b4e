package scheduler

import (
	"cmp"
	"math"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// demand is a step of an occurrence with tasks that wait for a worker.
	demand struct {
		occurrence *occurrence
		step       int
		tasks      []*task
		rank       rank
		due        clock.Millis
	}
)

const (
	// quarantineScore is the failure score from which a worker gets no new runs except
	// probe runs: that of two consecutive failed runs, or of a stalled one.
	quarantineScore = 1.9
	// quarantineTime is the time from the last failure until a quarantined worker gets a
	// single probe run. It is shorter than the faults of the customers' workers, which
	// last five to seven seconds, so the first probe runs may fail.
	quarantineTime = 3 * clock.Second
	// maxCandidates bounds the suitable workers that are compared for a task that ends by
	// itself and prefers no rack; the best of these is nearly as good as the best of all.
	maxCandidates = 32
)

// Place is PlaceUpTo without a limit.
func (s *Scheduler) Place() { s.PlaceUpTo(math.MaxInt) }

// PlaceUpTo assigns workers to pending tasks in one round, the most urgent jobs first. The
// runs start when the next batch is stored. It stops after limit runs, or more if the last of them
// belong to a gang, and reports whether it has stopped for that reason.
func (s *Scheduler) PlaceUpTo(limit int) bool {
	defer s.holdTime()()
	now := s.now()
	defer s.endCapRound(now)
	defer s.endPacking(now)
	s.startsLeft = limit
	s.round++
	s.consultations, s.fillersWaiting = nil, false
	ds := s.demands(now)
	defer s.checkFiniteWaits(ds, now)
	if len(ds) == 0 {
		s.noteWaiting(nil)
		return false
	}
	available := s.availableWorkers(now)
	s.updateShares(ds, available)
	// Workers that are reserved for long-running tasks get no other tasks except fillers,
	// which use no reserved processors.
	workers := s.placeTrials(ds, available, now)
	s.racks = racksOf(workers)
	s.keepRoom(workers, now)
	r := &placementRound{now: now, workers: workers, unreserved: workers}
	finite := slices.IndexFunc(ds, func(d demand) bool { return d.rank.finite != 0 })
	if finite < 0 {
		finite = len(ds)
	}
	s.waits.demands = ds[:finite]
	defer func() { s.waits.demands = nil }()
	s.placeAll(ds[:finite], r)
	s.rescueLastingFillers(ds[:finite], r.workers, now)
	if finite < len(ds) && s.startsLeft > 0 {
		s.placeHolders(ds[finite:], now)
		s.placeAll(ds[finite:], r)
		s.rescueFillers(ds[finite:], r.workers, now)
	}
	return s.startsLeft <= 0
}

// placeAll places demands in the order of their ranks, and between tenants by their fair shares.
func (s *Scheduler) placeAll(ds []demand, r *placementRound) {
	if s.sharesRoom() {
		s.placeByShare(ds, r)
		return
	}
	for _, d := range ds {
		if s.startsLeft <= 0 {
			return
		}
		s.placeNext(d, r)
	}
}

// placeNext places the next demand of a round. It returns false if some of its tasks found no room.
func (s *Scheduler) placeNext(d demand, r *placementRound) bool {
	if len(d.tasks) == 0 {
		return true
	}
	defer func() {
		d.occurrence.blocked[d.step] = s.startsLeft > 0 && d.tasks[len(d.tasks)-1].state == pending
	}()
	spec := &d.occurrence.job.spec
	if r.unplaced.covers(spec, d.step) {
		s.placeBeside(d, r.now)
		s.noteNoRoom(d, r.now)
		return d.tasks[len(d.tasks)-1].state != pending
	}
	ws, filler := r.unreserved, spec.Steps[d.step].Filler
	if filler {
		ws = r.workers
	}
	remaining := s.placeDemand(d, ws, r.now)
	if !filler {
		r.unreserved = remaining
	}
	if d.tasks[len(d.tasks)-1].state != pending || s.startsLeft <= 0 || s.capRound.isWaiting(d) {
		return true
	}
	s.fillersWaiting = s.fillersWaiting || filler
	s.noteNoRoom(d, r.now)
	if len(remaining) == len(ws) {
		r.unplaced.add(spec, d.step)
	}
	if spec.Queue.Advice != nil {
		// The policy also has to admit the tasks to the workers that this demand has reserved.
		s.queueConsultation(d, ws, r.now)
	}
	return false
}

// holdTime stops the scheduler's clock until the returned function is called, so that the decisions
// of a round agree on the time and predictions for it are made once.
func (s *Scheduler) holdTime() func() {
	now, running := s.now(), s.now
	s.now = func() clock.Millis { return now }
	return func() { s.now = running }
}

// demands returns the steps with pending tasks, the most urgent first.
func (s *Scheduler) demands(now clock.Millis) []demand {
	var ds []demand
	for j := range s.active {
		var r *rank
		idle := false
		for _, o := range j.occurrences {
			for i := range o.steps {
				d, ok := s.demandOf(o, i, now)
				if !ok {
					continue
				}
				if r == nil {
					n := s.rankOf(j)
					r, idle = &n, n.lateness == uselessLateness && !j.hasRuns()
				}
				d.rank = *r
				if r.finite == 0 {
					ds = append(ds, d.splitByWait()...)
					continue
				}
				if idle && !j.spec.Steps[i].Gang {
					first, rest := d.splitFirst()
					ds, d = append(ds, first), rest
				}
				if len(d.tasks) > 0 {
					ds = append(ds, d)
				}
			}
		}
	}
	slices.SortFunc(ds, func(a, b demand) int {
		return cmp.Or(a.rank.compare(b.rank), cmp.Compare(a.due, b.due),
			cmp.Compare(a.occurrence.job.spec.ID, b.occurrence.job.spec.ID), cmp.Compare(a.step, b.step))
	})
	return ds
}

// splitFirst splits off the first task of a demand whose job has nothing running, which goes before
// further tasks of other jobs.
func (d *demand) splitFirst() (first, rest demand) {
	first, rest = *d, *d
	first.rank.begun, first.rank.idleSince = 0, max(d.tasks[0].waitingSince, d.occurrence.job.runEndedAt)
	first.tasks, rest.tasks = d.tasks[:1:1], d.tasks[1:]
	return first, rest
}

// splitByWait splits a demand of a long-running job by the wait periods of its tasks. A gang is not split.
func (d demand) splitByWait() []demand {
	if d.occurrence.job.spec.Steps[d.step].Gang {
		d.rank.waitPeriod = slices.MinFunc(d.tasks, compareWaitPeriods).waitPeriod()
		return []demand{d}
	}
	slices.SortStableFunc(d.tasks, compareWaitPeriods)
	var ds []demand
	for rest := d.tasks; len(rest) > 0; {
		part := d
		part.rank.waitPeriod = rest[0].waitPeriod()
		n := 1
		for n < len(rest) && rest[n].waitPeriod() == part.rank.waitPeriod {
			n++
		}
		part.tasks, rest = rest[:n:n], rest[n:]
		ds = append(ds, part)
	}
	return ds
}

// waitPeriod returns the period by which a waiting task of a long-running job takes its turn: that in which
// it began to wait, or an earlier one if it has had a run.
func (t *task) waitPeriod() clock.Millis {
	since := t.waitingSince
	if t.attempt > 0 {
		since -= restartLead
	}
	return since / waitPeriodLength
}

func compareWaitPeriods(a, b *task) int { return cmp.Compare(a.waitPeriod(), b.waitPeriod()) }

func (s *Scheduler) demandOf(o *occurrence, i int, now clock.Millis) (demand, bool) {
	if o.done[i]+o.runs[i] >= o.job.spec.Steps[i].Count || !o.ready(i) {
		return demand{}, false
	}
	d := demand{occurrence: o, step: i, due: s.dueAt(o, now)}
	for _, t := range o.steps[i] {
		if t.state == pending && t.retryAt <= now {
			if t.waitingSince == 0 {
				t.waitingSince = now
			}
			d.tasks = append(d.tasks, t)
		}
	}
	return d, len(d.tasks) > 0
}

// availableWorkers returns the workers that may get a new run.
func (s *Scheduler) availableWorkers(now clock.Millis) []*worker {
	var ws []*worker
	for _, w := range s.sortedWorkers() {
		if s.unavailability(w, now) == notExcluded {
			w.availableIn = s.round
			ws = append(ws, w)
		}
	}
	return ws
}

// placeDemand places the tasks of a demand. It returns the workers that remain available
// to the next demands: all of ws, except one that it reserved.
func (s *Scheduler) placeDemand(d demand, ws []*worker, now clock.Millis) []*worker {
	step := &d.occurrence.job.spec.Steps[d.step]
	if s.waitsForCap(d, d.tasks) || d.occurrence.lacksTickets(d.step, now) {
		return ws
	}
	if step.Gang {
		s.placeGang(d, ws, now)
		return ws
	}
	for i, t := range d.tasks {
		if s.startsLeft <= 0 {
			return ws
		}
		w := s.chooseWorker(t, ws)
		if w == nil {
			if step.LongRunning && !step.Filler {
				return s.reserve(s.withinCap(d.tasks[i:]), ws)
			}
			return ws
		}
		s.assign(t, w, now)
		if s.waitsForCap(d, d.tasks[i+1:]) {
			return ws
		}
	}
	return ws
}

// reserve reserves a worker for each of the tasks of a long-running step that fit nowhere yet: of the
// workers where one will fit once the tasks that end by themselves have ended, those that lack the
// least room. It returns the other workers.
func (s *Scheduler) reserve(ts []*task, ws []*worker) []*worker {
	type candidate struct {
		worker   *worker
		shortage float64
	}
	t, step := ts[0], ts[0].spec()
	var cs []candidate
	for _, w := range ws {
		if w.info.Service != t.job().spec.Queue.Service || !w.hasLabel(step.Label) || t.denied(w) || w.isProbing() || s.isReservedForLasting(w) {
			continue
		}
		if step.PerWorker > 0 && w.countOfStep(t) >= step.PerWorker {
			continue
		}
		if shortage, ok := w.shortageOf(step); ok {
			cs = append(cs, candidate{w, shortage})
		}
	}
	if len(cs) == 0 {
		return ws
	}
	slices.SortStableFunc(cs, func(a, b candidate) int { return cmp.Compare(a.shortage, b.shortage) })
	s.reserveCap(t, min(len(cs), len(ts)))
	for i, c := range cs[:min(len(cs), len(ts))] {
		if r := c.worker.reservation; r != nil {
			s.dropReservation(r, "long-running", s.now())
		}
		c.worker.reserveFor(ts[i], s.round, s.now())
	}
	return slices.DeleteFunc(slices.Clone(ws), s.isReservedForLasting)
}

// assign creates a new run of a task on a worker. Its record and its order are part of
// the next batch.
func (s *Scheduler) assign(t *task, w *worker, now clock.Millis) {
	s.noteLastingStart(t, w)
	t.attempt++
	s.startsLeft--
	w.removeTask(t)
	t.state, t.worker, t.placedAt, t.pace = placed, w, now, 100
	t.percent, t.progressedAt, t.stalled, t.confirmedAt, t.settled, t.stopping, t.unresolvedSince = 0, 0, false, 0, false, false, 0
	t.waitedSince, t.waitingSince = t.waitingSince, 0
	t.inherited, t.lossNoted, t.trialWorker, t.rescued = false, false, nil, false
	t.ordersInFlight, t.unclear, t.recorded, t.slowSince, t.paceUnknown = 0, false, false, 0, false
	w.addTask(t)
	s.noteStart(t, w, now)
	s.markExploring(t.spec(), w)
	if w.failures >= quarantineScore {
		w.probedAt, w.probe = now, t
	}
	w.leaseEnd = max(w.leaseEnd, LeaseBound(now, s.leaseLength))
	s.markDirty(t.job())
	s.orders = append(s.orders, s.newOrder(Start, t))
	s.emit(logger.RunPlaced, logger.String("task", t.name().String()), logger.Int("attempt", int64(t.attempt)), logger.String("worker", w.info.ID), logger.Int("born", w.info.Born))
}

// chooseWorker returns the best worker for a task, or nil if the task has to wait.
func (s *Scheduler) chooseWorker(t *task, ws []*worker) *worker {
	if t.isSuspect() {
		return s.cheapestWorker(t, ws)
	}
	spec := &t.job().spec
	if !spec.isCacheable(t.step) {
		return s.bestWorker(t, ws)
	}
	k, size := requirementsOf(spec, t.step)
	candidates, onlyChanged := s.searches.candidates(k, size, ws, s.now())
	if onlyChanged {
		candidates = s.withReserved(candidates)
	}
	best := s.bestWorker(t, candidates)
	if best == nil {
		s.searches.noteFailure(k, size, onlyChanged, s.now())
	}
	return best
}

// bestWorker returns the best of the given workers for a task, or nil if none is suitable.
func (s *Scheduler) bestWorker(t *task, ws []*worker) *worker {
	var best *worker
	var bestScore float64
	step := t.spec()
	tolerance, compared, limit := s.tolerance(t), 0, s.candidateLimit()
	s.searchOffset++
	for i := range ws {
		w := ws[(i+s.searchOffset)%len(ws)]
		if w.availableIn != s.round || w.isOnTrial() || s.reservedForOthers(t, step, w) || !s.admitted(t, w) || !s.canRun(t, step, w, tolerance) {
			continue
		}
		if score := s.score(t, step, w) - s.keptPenalty(w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
		if compared++; compared >= limit && !step.LongRunning && step.Rack == "" && !step.Colocate {
			break
		}
	}
	return best
}
