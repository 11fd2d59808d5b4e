package scheduler

import (
	"cmp"
	"maps"
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
	// failureQuarantine is the failure score from which a worker gets nothing new;
	// two failed runs in a row without a done one.
	failureQuarantine = 1.9
	// failureForget is the time after which a quarantined worker gets one run to show
	// whether it is well again; the users' workers are ill for five to seven seconds.
	failureForget = 3 * clock.Second
	// candidates bounds the workers with room that are compared for a task that ends
	// by itself; the best of so many is nearly as good as the best of all.
	candidates = 64
	// awayPenalty, failurePenalty and avoidPenalty are shares of a whole worker.
	awayPenalty    = 1.0
	failurePenalty = 0.5
	avoidPenalty   = 1.0
	// disturbancePenalty weighs a serving task that loses a comfortable headroom against
	// free processors.
	disturbancePenalty = 4.0
	// disturbanceLimit is the disturbance that keeps a filler off a worker. Each
	// disturbancePatience of waiting allows as much more.
	disturbanceLimit    = 0.05
	disturbancePatience = 2 * clock.Second
	// imageBonus gathers the serving tasks of one image on few workers, so that
	// fillers which disturb that image find room on others.
	imageBonus = 1.0
)

// Place gives waiting tasks their workers. The runs start when the next batch is
// stored.
func (s *Scheduler) Place() {
	now := s.now()
	s.consultations, s.crowded = nil, false
	ds := s.demands(now)
	if len(ds) == 0 {
		return
	}
	// Rooms that are kept for long-running tasks are kept from those that would take
	// them, not from fillers.
	workers := s.usable(now)
	unkept := workers
	s.racks = racksOf(workers)
	var full misfits
	for _, d := range ds {
		if full.covers(&d.occurrence.job.spec, d.step) {
			continue
		}
		ws, filler := unkept, d.occurrence.job.spec.Steps[d.step].Filler
		if filler {
			ws = workers
		}
		left := s.placeDemand(d, ws, now)
		if !filler {
			unkept = left
		}
		if d.tasks[len(d.tasks)-1].state != pending {
			continue
		}
		s.crowded = s.crowded || filler
		if len(left) == len(ws) {
			full.note(&d.occurrence.job.spec, d.step)
		}
		if d.occurrence.job.spec.Queue.Advice != nil {
			s.noteConsultation(d, left, now)
		}
	}
}

// demands returns what waits for workers, the most urgent first.
func (s *Scheduler) demands(now clock.Millis) []demand {
	var ds []demand
	for j := range s.active {
		var r *rank
		for _, o := range j.occurrences {
			for i := range o.steps {
				d, ok := s.demandOf(o, i, now)
				if !ok {
					continue
				}
				if r == nil {
					n := s.rankOf(j)
					r = &n
				}
				d.rank = *r
				ds = append(ds, d)
			}
		}
	}
	slices.SortFunc(ds, func(a, b demand) int {
		return cmp.Or(a.rank.compare(b.rank), cmp.Compare(a.due, b.due),
			cmp.Compare(a.occurrence.job.spec.ID, b.occurrence.job.spec.ID), cmp.Compare(a.step, b.step))
	})
	return ds
}

func (s *Scheduler) demandOf(o *occurrence, i int, now clock.Millis) (demand, bool) {
	if o.done[i] == o.job.spec.Steps[i].Count || !o.ready(i) {
		return demand{}, false
	}
	d := demand{occurrence: o, step: i, due: o.job.due(o.number)}
	for _, t := range o.steps[i] {
		if t.state == pending && t.retryAt <= now {
			if t.waiting == 0 {
				t.waiting = now
			}
			d.tasks = append(d.tasks, t)
		}
	}
	return d, len(d.tasks) > 0
}

// usable returns the workers that may get a new run.
func (s *Scheduler) usable(now clock.Millis) []*worker {
	var ws []*worker
	for _, w := range s.ordered() {
		if !w.listed || w.info.Draining || w.lost || w.silent != 0 || w.inherits || w.upkeep ||
			now < w.blockedUntil || s.evacuated[w.info.DataCentre] {
			continue
		}
		if w.failures >= failureQuarantine && now-w.failedAt < failureForget {
			continue
		}
		ws = append(ws, w)
	}
	return ws
}

// ordered returns the workers by name, so that the same events lead to the same
// decisions.
func (s *Scheduler) ordered() []*worker {
	return slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int { return compareStrings(a.info.ID, b.info.ID) })
}

// placeDemand places the tasks of a demand and returns the workers for the next one.
func (s *Scheduler) placeDemand(d demand, ws []*worker, now clock.Millis) []*worker {
	step := &d.occurrence.job.spec.Steps[d.step]
	if d.occurrence.awaitsAdvice(d.step, now) {
		return ws
	}
	if step.Gang {
		s.placeGang(d, ws, now)
		return ws
	}
	for _, t := range d.tasks {
		w := s.choose(t, ws)
		if w == nil {
			if step.LongRunning {
				return s.reserve(t, ws)
			}
			return ws
		}
		s.assign(t, w, now)
	}
	return ws
}

// reserve keeps the room of one worker for a long-running task that fits nowhere yet:
// of the workers where it will fit when shorter tasks have ended, the one with the
// most room. It returns the others.
func (s *Scheduler) reserve(t *task, ws []*worker) []*worker {
	best, bestFree := -1, int64(0)
	for i, w := range ws {
		step := t.spec()
		if w.info.Service != t.job().spec.Queue.Service || !w.hasLabel(step.Label) || t.denied(w) || w.memory+step.Memory > w.info.Memory || w.gpu+step.GPU > w.info.GPU {
			continue
		}
		if step.PerWorker > 0 && w.countOf(t) >= step.PerWorker {
			continue
		}
		passing := int64(0)
		for _, o := range w.tasks {
			if !o.spec().LongRunning && !o.spec().Filler {
				passing += o.spec().CPU
			}
		}
		free := w.info.CPU - w.cpu
		if free+passing >= step.CPU && (best < 0 || free > bestFree) {
			best, bestFree = i, free
		}
	}
	if best < 0 {
		return ws
	}
	return slices.Delete(slices.Clone(ws), best, best+1)
}

// placeGang places all tasks of a gang or none.
func (s *Scheduler) placeGang(d demand, ws []*worker, now clock.Millis) {
	if len(d.tasks) != d.occurrence.job.spec.Steps[d.step].Count {
		// Members of the former run are still held.
		for _, t := range d.occurrence.steps[d.step] {
			if t.held() && !t.stopping {
				s.stop(t)
			}
		}
		return
	}
	attempt, checkpoint := 0, ""
	for _, t := range d.tasks {
		attempt = max(attempt, t.attempt)
		if t.checkpoint > checkpoint {
			checkpoint = t.checkpoint
		}
	}
	if !s.seatGang(d, ws, now) {
		return
	}
	for _, t := range d.tasks {
		w := t.worker
		t.attempt, t.checkpoint = attempt, checkpoint
		s.assign(t, w, now)
	}
}

// seatGang gives each task of a gang a worker, or none. A gang that is slow over
// several racks is kept to one until it has waited as long as the detour would take.
func (s *Scheduler) seatGang(d demand, ws []*worker, now clock.Millis) bool {
	step := &d.occurrence.job.spec.Steps[d.step]
	if !step.Colocate || len(s.racks) <= 1 {
		return s.seatOn(d, ws)
	}
	free := map[string]int64{}
	for _, w := range ws {
		if w.info.Service == d.occurrence.job.spec.Queue.Service {
			free[w.info.Rack] += max(w.info.CPU-w.cpu, 0)
		}
	}
	racks := slices.SortedFunc(maps.Keys(free), func(a, b string) int { return cmp.Or(cmp.Compare(free[b], free[a]), cmp.Compare(a, b)) })
	for _, r := range racks {
		if free[r] < int64(step.Count)*step.CPU {
			break
		}
		if s.seatOn(d, slices.DeleteFunc(slices.Clone(ws), func(w *worker) bool { return w.info.Rack != r })) {
			return true
		}
	}
	return now-d.tasks[0].waiting >= s.detour(step) && s.seatOn(d, ws)
}

// seatOn gives each task of a gang one of the workers, or none.
func (s *Scheduler) seatOn(d demand, ws []*worker) bool {
	for i, t := range d.tasks {
		w := s.choose(t, ws)
		if w == nil {
			for _, c := range d.tasks[:i] {
				s.release(c)
			}
			return false
		}
		t.worker = w
		w.add(t)
	}
	return true
}

// assign gives a task to a worker.
func (s *Scheduler) assign(t *task, w *worker, now clock.Millis) {
	t.attempt++
	w.remove(t)
	t.state, t.worker, t.placed, t.pace = placed, w, now, 100
	t.percent, t.progressed, t.stalled, t.confirmed, t.stopping, t.settling = 0, now, false, 0, false, 0
	t.sending, t.unclear, t.recorded, t.waiting, t.slowSince, t.paceOpen = 0, false, false, 0, 0, false
	w.add(t)
	s.explore(t.spec(), w)
	if w.failures >= failureQuarantine {
		w.probedAt = now
	}
	w.leaseEnd = max(w.leaseEnd, leaseBound(now, s.leaseLength))
	s.touch(t.job())
	s.orders = append(s.orders, s.order(Start, t))
	s.emit(logger.RunPlaced, logger.String("task", t.name().String()), logger.Int("attempt", int64(t.attempt)), logger.String("worker", w.info.ID))
}

// choose returns the best worker for a task, or nil if it has to wait.
func (s *Scheduler) choose(t *task, ws []*worker) *worker {
	var best *worker
	var bestScore float64
	step := t.spec()
	tolerance, seen := s.tolerance(t), 0
	s.rotation++
	for i := range ws {
		w := ws[(i+s.rotation)%len(ws)]
		if !s.admitted(t, w) || !s.suits(t, step, w, tolerance) {
			continue
		}
		if score := s.score(t, step, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
		if seen++; seen >= candidates && !step.LongRunning && step.Rack == "" && !step.Colocate {
			break
		}
	}
	return best
}

// hasRoom reports whether a worker would suit a task, whatever the policy of its
// queue says of workers that it was not asked about.
func (s *Scheduler) hasRoom(t *task, ws []*worker) bool {
	step, tolerance := t.spec(), s.tolerance(t)
	return slices.ContainsFunc(ws, func(w *worker) bool { return s.suits(t, step, w, tolerance) })
}

// suits reports whether a worker has what a task needs, and room for it.
func (s *Scheduler) suits(t *task, step *Step, w *worker, tolerance float64) bool {
	switch {
	case w.info.Service != t.job().spec.Queue.Service, !w.hasLabel(step.Label), !w.fits(step), t.denied(w):
		return false
	case step.PerWorker > 0 && w.countOf(t) >= step.PerWorker:
		return false
	case step.Rack != "" && !w.hasLabel(step.Rack) && s.racks[step.Rack] && !s.worthDetour(t, step):
		return false
	case w.failures >= failureQuarantine && w.probedAt >= w.failedAt:
		// One run at a time shows whether it is well again.
		return false
	default:
		return !step.Filler || !s.overdue(w) && s.disturbance(step, w) <= tolerance
	}
}

// worthDetour reports whether a task has waited for room beside its data as long as a
// run elsewhere would take longer: until then waiting on may end sooner.
func (s *Scheduler) worthDetour(t *task, step *Step) bool {
	return t.waiting != 0 && s.now()-t.waiting >= s.detour(step)
}

// detour returns how much longer a task is expected to take away from its data, or a
// gang spread over racks.
func (s *Scheduler) detour(step *Step) clock.Millis {
	return clock.Millis((s.remoteFactor - 1) * float64(step.Estimate))
}

func racksOf(ws []*worker) map[string]bool {
	racks := map[string]bool{}
	for _, w := range ws {
		racks[w.info.Rack] = true
	}
	return racks
}

// overdue reports whether a serving task of the worker is over its objective.
func (s *Scheduler) overdue(w *worker) bool {
	return w.serving > 0 && len(s.servingGroups(w)) > 0 && w.overdue
}

// tolerance returns how much a filler may disturb the tasks beside it.
func (s *Scheduler) tolerance(t *task) float64 {
	return disturbanceLimit * (1 + float64(s.now()-t.waiting)/float64(disturbancePatience))
}

func (w *worker) countOf(t *task) int {
	n := 0
	for _, o := range w.tasks {
		if o.occurrence == t.occurrence && o.step == t.step {
			n++
		}
	}
	return n
}

// score rates a worker by the share of its processors that stays free.
func (s *Scheduler) score(t *task, step *Step, w *worker) float64 {
	total := float64(max(w.info.CPU, 1))
	free := float64(w.info.CPU-w.cpu-w.fillerCPU) / total
	switch {
	case step.Filler:
		free -= disturbancePenalty * s.disturbance(step, w)
	case step.Objective > 0:
		free += imageBonus * w.imageShare(step.Image)
	}
	if step.Rack != "" && !w.hasLabel(step.Rack) {
		free -= awayPenalty
	}
	free -= failurePenalty * w.failures
	if w.due {
		free -= duePenalty
	}
	if t.avoid == w.info.ID {
		free -= avoidPenalty
	}
	return free
}

// imageShare returns the share of the worker's serving tasks that are of an image.
func (w *worker) imageShare(image string) float64 {
	if w.serving == 0 {
		return 0
	}
	n := 0
	for _, t := range w.tasks {
		if t.spec().Objective > 0 && t.spec().Image == image {
			n++
		}
	}
	return float64(n) / float64(w.serving)
}
