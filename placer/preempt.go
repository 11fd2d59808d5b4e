package placer

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

// maxPreemptWorkers is the most workers that are searched for victims.
const maxPreemptWorkers = 64

// preempt returns the worker, of at most maxPreemptWorkers, on which making room for an
// urgent task loses the least work, and the batch tasks to evict there.
func (p *Placer) preempt(r *round, w *pendingTask) (*indexedWorker, []string) {
	var best *indexedWorker
	var victims []string
	lowest, examined := 0.0, 0
	for b := bucketCount - 1; b >= 0 && examined < maxPreemptWorkers; b-- {
		for _, bucket := range [...][]*indexedWorker{p.index.plain[b], p.index.withAccelerators[b]} {
			for _, e := range bucket[:min(len(bucket), maxPreemptWorkers-examined)] {
				examined++
				ids, lost, ok := p.victims(r, w, e)
				if ok && (best == nil || lost < lowest || lost == lowest && e.worker.name < best.worker.name) {
					best, victims, lowest = e, ids, lost
				}
			}
		}
	}
	for _, v := range victims {
		r.evicted[v] = true
	}
	return best, victims
}

// victims returns the batch tasks to evict so that an urgent task fits, and the cost of
// the evictions in core-seconds. It returns false if evicting all of them is not
// enough, or if the worker may not get the task: it is closed, too small or held, or
// quarantine refuses it.
func (p *Placer) victims(r *round, w *pendingTask, e *indexedWorker) ([]string, float64, bool) {
	if e.worker.closed || !w.need.Fits(e.worker.capacity) || !p.holdAdmits(w, e) || p.mechanisms.has(Quarantine) && !p.quarantineAdmits(r.now, w, e) {
		return nil, 0, false
	}
	var batch []Task
	for _, t := range e.worker.residents {
		if t.kind == Batch && !r.evicted[t.id] {
			batch = append(batch, t)
		}
	}
	p.sortVictims(r.now, batch)
	free, lost := e.free, 0.0
	var ids []string
	for _, t := range batch {
		if w.need.Fits(free) {
			break
		}
		if !reducesShortage(t.size, w.need, free) {
			continue
		}
		free = free.Add(t.size)
		lost += t.unsavedWork(r.now) + evictionCost
		ids = append(ids, t.id)
	}
	return ids, lost, w.need.Fits(free)
}

// evictionCost is the fixed cost of an eviction, in core-seconds.
const evictionCost = 10

// sortVictims sorts batch tasks into the order of their eviction: tasks of teams over their
// quota first, then those with the least unsaved work per core.
func (p *Placer) sortVictims(now clock.Millis, batch []Task) {
	slices.SortFunc(batch, func(a, b Task) int {
		x, y := p.sharer.OverQuota(a.team), p.sharer.OverQuota(b.team)
		if x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.unsavedWork(now)/coresOf(a.size), b.unsavedWork(now)/coresOf(b.size)), cmp.Compare(a.id, b.id))
	})
}

// reducesShortage reports whether a task of the given size uses any of the resources of
// which less is free than needed.
func reducesShortage(size, need, free sizer.Size) bool {
	return need.Millicores() > free.Millicores() && size.Millicores() > 0 ||
		need.MemoryBytes() > free.MemoryBytes() && size.MemoryBytes() > 0 ||
		need.Accelerators() > free.Accelerators() && size.Accelerators() > 0
}
