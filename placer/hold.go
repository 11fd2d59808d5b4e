package placer

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sharer"
)

// hold is the task for which a worker is held, with its tier.
type hold struct {
	task string
	tier sharer.Tier
}

const (
	// holdAfter is how long a task waits before a worker is held for it.
	holdAfter = 2 * clock.Minute
	// heldWorkersDivisor limits the workers that are held for batch tasks, and those held for
	// urgent ones, to 1/heldWorkersDivisor of all workers each; one may always be held.
	heldWorkersDivisor = 20
)

// addUnplaced notes that a task found no room, if it has waited long enough for a worker to be held.
func (p *Placer) addUnplaced(r *round, w *pendingTask, q sharer.Request) {
	if p.mechanisms.has(Holding) && r.now-w.task.submitted >= holdAfter {
		r.unplaced = append(r.unplaced, unplacedTask{pending: w, priority: p.sharer.Priority(r.now, q)})
	}
}

// holdWorkers holds workers for the tasks that found no room in a round. Unlike the order in which
// they were tried, that of the holds doesn't depend on shares and on the work left, so that the
// holds reach each task as its wait grows.
func (p *Placer) holdWorkers(r *round) {
	slices.SortStableFunc(r.unplaced, func(a, b unplacedTask) int {
		return cmp.Or(
			cmp.Compare(a.pending.task.kind.Tier(), b.pending.task.kind.Tier()),
			cmp.Compare(b.priority, a.priority),
			cmp.Compare(a.pending.task.submitted, b.pending.task.submitted),
			cmp.Compare(a.pending.task.id, b.pending.task.id))
	})
	for _, u := range r.unplaced {
		p.holdWorker(r.now, u.pending)
	}
}

// holdWorker keeps other tasks off one worker until the long-waiting task w fits there.
// Without a hold, smaller tasks would keep taking the room as it becomes free and starve
// a large one.
func (p *Placer) holdWorker(now clock.Millis, w *pendingTask) {
	if name := p.heldWorker[w.task.id]; name != "" {
		if p.canTakeLater(now, w, p.index.byName[name]) {
			return
		}
		p.releaseHold(w.task.id)
	}
	if p.holds(w.task.urgent()) >= max(len(p.index.byName)/heldWorkersDivisor, 1) {
		return
	}
	var best *indexedWorker
	for _, e := range p.index.byName {
		if p.heldFor[e.worker.name].task != "" || !p.canTakeLater(now, w, e) {
			continue
		}
		if best == nil || hasMoreFreeCores(e, best) {
			best = e
		}
	}
	if best != nil {
		p.heldWorker[w.task.id] = best.worker.name
		p.heldFor[best.worker.name] = hold{task: w.task.id, tier: w.task.kind.Tier()}
	}
}

// holds returns the number of workers that are held for urgent tasks, or for batch tasks.
func (p *Placer) holds(urgent bool) int {
	n := 0
	for _, h := range p.heldFor {
		if urgent == (h.tier != sharer.TierBatch) {
			n++
		}
	}
	return n
}

// holdAdmits reports whether the hold on a worker, if any, lets a task start there: the task is a
// service, or of a lower tier than the one for which the worker is held, or it is that one.
func (p *Placer) holdAdmits(w *pendingTask, e *indexedWorker) bool {
	h, held := p.heldFor[e.worker.name]
	return !held || h.task == w.task.id || w.task.kind == Service || w.task.kind.Tier() < h.tier
}

// canTakeLater reports whether a worker accepts a task once all that ends by itself has ended there.
func (p *Placer) canTakeLater(now clock.Millis, w *pendingTask, e *indexedWorker) bool {
	if e.worker.closed || p.mechanisms.has(Quarantine) && !p.quarantineAdmits(now, w, e) {
		return false
	}
	need := w.need
	if !w.task.urgent() && p.mechanisms.has(Reserve) {
		need = w.requiredFree(e.worker.capacity)
	}
	return need.Fits(e.worker.capacity.Sub(e.standing))
}

// hasMoreFreeCores reports whether e has more free processors than other, or as many and a
// lower name, so that the result does not depend on the order of the comparisons.
func hasMoreFreeCores(e, other *indexedWorker) bool {
	a, b := e.free.Millicores(), other.free.Millicores()
	return a > b || a == b && e.worker.name < other.worker.name
}

// releaseHold ends the hold on the worker that is kept for a task, if any.
func (p *Placer) releaseHold(task string) {
	if name := p.heldWorker[task]; name != "" {
		delete(p.heldFor, name)
		delete(p.heldWorker, task)
	}
}

// releaseStaleHolds ends holds for tasks that no longer wait, and holds on workers that
// are closed or gone.
func (p *Placer) releaseStaleHolds(waiting []Task) {
	if len(p.heldWorker) == 0 {
		return
	}
	stillWaiting := make(map[string]bool, len(p.heldWorker))
	for _, t := range waiting {
		if p.heldWorker[t.id] != "" {
			stillWaiting[t.id] = true
		}
	}
	for task, name := range p.heldWorker {
		e := p.index.byName[name]
		if !stillWaiting[task] || e == nil || e.worker.closed {
			p.releaseHold(task)
		}
	}
}
