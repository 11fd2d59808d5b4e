package placer

import (
	"github.com/cespare/xxhash/v2"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sharer"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// pendingTask is a waiting task with the size to grant.
	pendingTask struct {
		task Task
		// class is the number of the task's class in the Learner.
		class int
		need  sizer.Size
		// seed is a hash of the task's id; it selects the workers that are examined first.
		seed uint64
	}

	// failedSize is a size that could not be placed in this round. If class is anyClass, no
	// eligible worker had room; otherwise the eligible workers with room ran services that
	// tasks of this class would slow too much.
	failedSize struct {
		size  sizer.Size
		class int
	}

	// round is the state of one call of Place.
	round struct {
		now         clock.Millis
		workers     int
		failed      []failedSize
		evicted     map[string]bool
		out         []Decision
		scratch     []*indexedWorker
		preemptions int
		// unplaced holds the tasks that found no room, for which a worker may be held.
		unplaced []unplacedTask
	}

	// unplacedTask is a task that found no room, with its priority raised by its wait.
	unplacedTask struct {
		pending  *pendingTask
		priority float64
	}
)

const (
	// candidateLimit is about how many workers are compared by cost for a task.
	candidateLimit = 32
	anyClass       = -1
	// maxFailedSizes is the most failedSizes that are kept in a round.
	maxFailedSizes = 16
	// reserveDivisor sets the reserve for urgent work: 1/reserveDivisor of each worker.
	reserveDivisor = 16
	// maxPreemptions is the most tasks in a round that evict others.
	maxPreemptions = 8
)

// Place assigns waiting tasks to workers. workers lists every worker in its current
// state. Tasks without a decision keep waiting.
func (p *Placer) Place(now clock.Millis, waiting []Task, workers []Worker) []Decision {
	p.sync(workers)
	p.releaseStaleHolds(waiting)
	clear(p.estimates)
	r := &round{now: now, workers: len(workers), evicted: map[string]bool{}}
	pending, requests := p.pendingTasks(now, waiting)
	if !p.mechanisms.has(Fairness) {
		for i := range pending {
			p.placeOne(r, &pending[i], requests[i])
		}
		p.holdWorkers(r)
		return r.out
	}
	turns := p.sharer.Order(now, requests)
	for i, more := turns.Next(); more; i, more = turns.Next() {
		p.placeOne(r, &pending[i], requests[i])
	}
	p.holdWorkers(r)
	return r.out
}

// pendingTasks returns the waiting tasks that may be tried now, with their requests.
func (p *Placer) pendingTasks(now clock.Millis, waiting []Task) ([]pendingTask, []sharer.Request) {
	pending := make([]pendingTask, 0, len(waiting))
	requests := make([]sharer.Request, 0, len(waiting))
	remaining := p.remainingWork(now, waiting)
	for _, t := range waiting {
		if p.mechanisms.has(Quarantine) && !p.retryAllowed(now, t) {
			continue
		}
		need := p.grant(now, t)
		if !need.Fits(p.index.largestCapacity) {
			need = t.size
		}
		pending = append(pending, pendingTask{task: t, class: p.learner.Class(t.class), need: need, seed: xxhash.Sum64String(t.id)})
		requests = append(requests, sharer.NewRequest(t.id, t.team, t.work, t.kind.Tier(), need, t.priority, t.submitted, t.deadline, p.runTime(now, t), remaining[t.Group()]))
	}
	return pending, requests
}

// retryAllowed reports whether a task may be tried after earlier failures of its service
// or job. Services and watch jobs are retried after a backoff, however often they failed.
func (p *Placer) retryAllowed(now clock.Millis, t Task) bool {
	if t.kind == Service || t.kind == Watch {
		return p.quarantine.BackoffElapsed(now, t.work)
	}
	return p.quarantine.RetryAllowed(now, t.work)
}

// remainingWork returns, by group, the work in the waiting tasks of each submission, in
// core-seconds. A submission is complete only when its last task ends, so tasks of the same
// team, tier and priority band are placed by this work, least first.
func (p *Placer) remainingWork(now clock.Millis, waiting []Task) map[string]float64 {
	if !p.mechanisms.has(JobOrder) {
		return nil
	}
	left := map[string]float64{}
	for _, t := range waiting {
		left[t.Group()] += coresOf(t.size) * float64(p.runTime(now, t)) / float64(clock.Second)
	}
	return left
}

func (p *Placer) placeOne(r *round, w *pendingTask, q sharer.Request) {
	if p.mechanisms.has(Fairness) && !p.sharer.AdmitsRequest(q) {
		p.releaseHold(w.task.id)
		return
	}
	if !w.task.urgent() && r.alreadyFailed(w) {
		p.addUnplaced(r, w, q)
		return
	}
	e, foundRoom := p.bestWorker(r, w)
	if e != nil {
		p.decide(r, w, e, nil)
		return
	}
	if w.task.urgent() && p.mechanisms.has(Preemption) && r.preemptions < maxPreemptions {
		if e, victims := p.preempt(r, w); e != nil {
			r.preemptions++
			p.decide(r, w, e, victims)
			return
		}
	}
	if !w.task.urgent() {
		r.recordFailure(w, foundRoom)
	}
	p.addUnplaced(r, w, q)
}

func (p *Placer) decide(r *round, w *pendingTask, e *indexedWorker, victims []string) {
	p.releaseHold(w.task.id)
	t := w.task
	t.size = w.need
	p.allocate(e, t)
	r.out = append(r.out, NewDecision(t.id, e.worker.name, victims...).WithSize(w.need))
}

// alreadyFailed reports whether a batch task of this size or a smaller one could not be
// placed earlier in this round.
func (r *round) alreadyFailed(w *pendingTask) bool {
	for _, f := range r.failed {
		if (f.class == anyClass || f.class == w.class) && f.size.Fits(w.need) {
			return true
		}
	}
	return false
}

func (r *round) recordFailure(w *pendingTask, foundRoom bool) {
	if len(r.failed) == maxFailedSizes {
		return
	}
	f := failedSize{size: w.need, class: anyClass}
	if foundRoom {
		f.class = w.class
	}
	r.failed = append(r.failed, f)
}

// bestWorker returns the worker with the lowest cost among about candidateLimit eligible
// workers with room, or nil. It also reports whether any eligible worker had room. Only if
// the candidates of the index include none does it search all workers.
func (p *Placer) bestWorker(r *round, w *pendingTask) (*indexedWorker, bool) {
	passes := func(e *indexedWorker) bool { return p.eligible(r.now, w, e) }
	r.scratch = p.index.candidates(r.scratch[:0], w.need, w.seed+p.generation, candidateLimit, passes)
	if len(r.scratch) == 0 {
		r.scratch = p.index.all(r.scratch, w.need, candidateLimit, passes)
	}
	var best *indexedWorker
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

// eligible reports whether a worker accepts a task that it has room for.
func (p *Placer) eligible(now clock.Millis, w *pendingTask, e *indexedWorker) bool {
	if e.worker.closed {
		return false
	}
	if p.mechanisms.has(Quarantine) && !p.quarantineAdmits(now, w, e) {
		return false
	}
	if !p.holdAdmits(w, e) {
		return false
	}
	if w.task.urgent() {
		return true
	}
	return !p.mechanisms.has(Reserve) || w.requiredFree(e.worker.capacity).Fits(e.free)
}

func (p *Placer) quarantineAdmits(now clock.Millis, w *pendingTask, e *indexedWorker) bool {
	name := e.worker.name
	return p.quarantine.Admits(now, name, w.task.kind == Batch) && !p.quarantine.Avoids(w.task.work, name)
}

// requiredFree returns what must be free on a worker for a batch task: its size plus the
// reserve for urgent work, or its size alone if both together exceed the worker's
// capacity.
func (w *pendingTask) requiredFree(capacity sizer.Size) sizer.Size {
	both := w.need.Add(urgentReserve(capacity))
	if both.Fits(capacity) {
		return both
	}
	return w.need
}

func urgentReserve(capacity sizer.Size) sizer.Size {
	return sizer.New(capacity.Millicores()/reserveDivisor, capacity.MemoryBytes()/reserveDivisor, 0)
}
