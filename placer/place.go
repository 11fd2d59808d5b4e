package placer

import (
	"github.com/cespare/xxhash/v2"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sharer"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// want is a waiting task with what it is to be granted.
	want struct {
		task  Task
		class int
		need  sizer.Size
		seed  uint64
	}

	// failure is a size that found no place. Where the class is noClass, there
	// was no room for any; otherwise that class disturbs too much everywhere.
	failure struct {
		size  sizer.Size
		class int
	}

	// round is one call of Place.
	round struct {
		now      clock.Millis
		workers  int
		failed   []failure
		evicted  map[string]bool
		out      []Decision
		scratch  []*entry
		preempts int
	}
)

const (
	candidateLimit = 32
	noClass        = -1
	// failedLimit is how many sizes that found no place are remembered.
	failedLimit = 16
	// reservePart is the part of a worker that batch tasks leave free.
	reservePart = 16
	// maxPreempts bounds the tasks that evict others in one call.
	maxPreempts = 8
)

// Place decides for waiting tasks, given every worker as it is now. A task
// without a decision goes on waiting.
func (p *Placer) Place(now clock.Millis, waiting []Task, workers []Worker) []Decision {
	p.sync(workers)
	p.unhold(waiting)
	clear(p.guesses)
	r := &round{now: now, workers: len(workers), evicted: map[string]bool{}}
	wants, requests := p.wants(now, waiting)
	if !p.mechanisms.has(Fairness) {
		for i := range wants {
			p.placeOne(r, &wants[i], requests[i])
		}
		return r.out
	}
	turns := p.sharer.Turns(now, requests)
	for i, more := turns.Next(); more; i, more = turns.Next() {
		p.placeOne(r, &wants[i], requests[i])
	}
	return r.out
}

// wants gives the waiting tasks that may be tried now, with their requests.
func (p *Placer) wants(now clock.Millis, waiting []Task) ([]want, []sharer.Request) {
	wants := make([]want, 0, len(waiting))
	requests := make([]sharer.Request, 0, len(waiting))
	left := p.remaining(now, waiting)
	for _, t := range waiting {
		if p.mechanisms.has(Quarantine) && !p.ready(now, t) {
			continue
		}
		need := p.grant(now, t)
		if !need.Fits(p.index.largest) {
			need = t.size
		}
		wants = append(wants, want{task: t, class: p.learner.Class(t.class), need: need, seed: xxhash.Sum64String(t.id)})
		requests = append(requests, sharer.NewRequest(t.id, t.team, t.work, tierOf(t), need, t.priority, t.submitted, t.deadline, p.runTime(now, t), left[t.Group()]))
	}
	return wants, requests
}

// ready tells whether a task may be tried after failures of its service or
// job. Standing work is never given up.
func (p *Placer) ready(now clock.Millis, t Task) bool {
	if t.kind == Service || t.kind == Watch {
		return p.quarantine.Rested(now, t.work)
	}
	return p.quarantine.Ready(now, t.work)
}

// remaining gives the core-seconds that the waiting tasks of each submission
// need yet. Since the last task gates the whole, the one with the least left
// goes first among equals.
func (p *Placer) remaining(now clock.Millis, waiting []Task) map[string]float64 {
	if !p.mechanisms.has(JobOrder) {
		return nil
	}
	left := map[string]float64{}
	for _, t := range waiting {
		left[t.Group()] += coresOf(t.size) * float64(p.runTime(now, t)) / float64(clock.Second)
	}
	return left
}

func tierOf(t Task) sharer.Tier {
	switch t.kind {
	case Service:
		return sharer.TierService
	case Batch:
		return sharer.TierBatch
	}
	return sharer.TierUrgent
}

func (p *Placer) placeOne(r *round, w *want, q sharer.Request) {
	if p.mechanisms.has(Fairness) && !p.sharer.AdmitsRequest(q) {
		return
	}
	if !w.task.urgent() && r.hopeless(w) {
		return
	}
	e, found := p.best(r, w)
	if e != nil {
		p.decide(r, w, e, nil)
		return
	}
	if w.task.urgent() && p.mechanisms.has(Preemption) && r.preempts < maxPreempts {
		if e, victims := p.preempt(r, w); e != nil {
			r.preempts++
			p.decide(r, w, e, victims)
			return
		}
	}
	if !w.task.urgent() {
		r.fail(w, found)
		p.hold(r.now, w)
	}
}

func (p *Placer) decide(r *round, w *want, e *entry, victims []string) {
	p.release(w.task.id)
	t := w.task
	t.size = w.need
	p.take(e, t)
	r.out = append(r.out, NewDecision(t.id, e.worker.name, victims...).WithSize(w.need))
}

// hopeless tells whether a batch task no larger found no place in this call.
func (r *round) hopeless(w *want) bool {
	for _, f := range r.failed {
		if (f.class == noClass || f.class == w.class) && f.size.Fits(w.need) {
			return true
		}
	}
	return false
}

func (r *round) fail(w *want, foundRoom bool) {
	if len(r.failed) == failedLimit {
		return
	}
	f := failure{size: w.need, class: noClass}
	if foundRoom {
		f.class = w.class
	}
	r.failed = append(r.failed, f)
}

// best gives the worker with the lowest cost among a bounded number that have
// room, or nil, and whether any had room.
func (p *Placer) best(r *round, w *want) (*entry, bool) {
	passes := func(e *entry) bool { return p.allowed(r.now, w, e) }
	r.scratch = p.index.candidates(r.scratch[:0], w.need, w.seed+p.call, candidateLimit, passes)
	if len(r.scratch) == 0 {
		r.scratch = p.index.all(r.scratch, w.need, candidateLimit, passes)
	}
	var best *entry
	var lowest float64
	for _, e := range r.scratch {
		c, ok := p.cost(r.now, w, e)
		if !ok {
			continue
		}
		if best == nil || c < lowest || c == lowest && e.worker.name < best.worker.name {
			best, lowest = e, c
		}
	}
	return best, len(r.scratch) > 0
}

// allowed tells whether a worker takes a task that it has room for.
func (p *Placer) allowed(now clock.Millis, w *want, e *entry) bool {
	if e.worker.closed {
		return false
	}
	if p.mechanisms.has(Quarantine) && !p.sound(now, w, e) {
		return false
	}
	if w.task.urgent() {
		return true
	}
	if holder := p.holders[e.worker.name]; holder != "" && holder != w.task.id {
		return false
	}
	return !p.mechanisms.has(Reserve) || w.room(e.worker.capacity).Fits(e.free)
}

func (p *Placer) sound(now clock.Millis, w *want, e *entry) bool {
	name := e.worker.name
	return p.quarantine.Admits(now, name, w.task.kind == Batch) && !p.quarantine.Avoids(w.task.work, name)
}

// room gives what must be free on a worker for a batch task: its size and what
// is left for urgent work, or its size alone where both are more than the worker
// has.
func (w *want) room(capacity sizer.Size) sizer.Size {
	both := w.need.Add(reserveOf(capacity))
	if both.Fits(capacity) {
		return both
	}
	return w.need
}

func reserveOf(capacity sizer.Size) sizer.Size {
	return sizer.New(capacity.Millicores()/reservePart, capacity.MemoryBytes()/reservePart, 0)
}
