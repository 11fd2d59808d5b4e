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
	return slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
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
	w.leaseEnd = max(w.leaseEnd, LeaseBound(now, s.leaseLength))
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
