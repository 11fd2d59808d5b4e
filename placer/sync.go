package placer

import (
	"slices"

	"galenawharf.example/galenawharf/sizer"
)

// sync brings the index up to date with the current workers.
func (p *Placer) sync(workers []Worker) {
	p.generation++
	for _, w := range workers {
		p.syncOne(w)
	}
	if len(p.index.byName) == len(workers) {
		return
	}
	var gone []string
	for name, e := range p.index.byName {
		if e.generation != p.generation {
			gone = append(gone, name)
		}
	}
	// Removal reorders a bucket, so the order of removals must be deterministic.
	slices.Sort(gone)
	for _, name := range gone {
		e := p.index.byName[name]
		p.clearResidents(e)
		p.index.remove(e)
		delete(p.index.byName, name)
	}
}

func (p *Placer) syncOne(w Worker) {
	e := p.index.byName[w.name]
	if e == nil {
		e = &indexedWorker{worker: w, dirty: true}
		p.index.byName[w.name] = e
		p.index.insert(e)
	}
	e.generation = p.generation
	if !e.dirty && w.revision != 0 && w.revision == e.revision {
		return
	}
	p.clearResidents(e)
	e.worker = w
	e.revision = w.revision
	e.dirty = false
	p.index.setFree(e, w.free)
	for _, t := range w.residents {
		p.addResident(e, t)
	}
	if !w.capacity.Fits(p.index.largestCapacity) {
		p.index.largestCapacity = w.capacity
	}
}

// addResident adds a task to the totals of its worker, team and service.
func (p *Placer) addResident(e *indexedWorker, t Task) {
	e.addTask(t, p.learner.Class(t.class))
	p.sharer.Hold(t.team, t.size)
	if t.kind != Service {
		return
	}
	p.serviceClasses[p.learner.Class(t.class)] = true
	p.index.replicasInDomain[domainKey{e.worker.rack, t.work}]++
	p.index.replicasInDomain[domainKey{e.worker.dataCentre, t.work}]++
}

// clearResidents removes all tasks of a worker from the totals.
func (p *Placer) clearResidents(e *indexedWorker) {
	for _, h := range e.teamGrants {
		p.sharer.Release(h.team, h.size)
	}
	for _, w := range e.replicaCounts {
		p.removeReplicas(domainKey{e.worker.rack, w.work}, w.count)
		p.removeReplicas(domainKey{e.worker.dataCentre, w.work}, w.count)
	}
	e.standing = sizer.Size{}
	e.loads = e.loads[:0]
	e.replicaCounts = e.replicaCounts[:0]
	e.teamGrants = e.teamGrants[:0]
}

func (p *Placer) removeReplicas(key domainKey, n int) {
	p.index.replicasInDomain[key] -= n
	if p.index.replicasInDomain[key] <= 0 {
		delete(p.index.replicasInDomain, key)
	}
}

// allocate adds a task to the totals of a worker, until the next sync rebuilds them.
func (p *Placer) allocate(e *indexedWorker, t Task) {
	p.addResident(e, t)
	p.index.setFree(e, e.free.Sub(t.size))
	e.dirty = true
}
