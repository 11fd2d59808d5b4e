package placer

import "slices"

// sync takes the workers as they are now into the index.
func (p *Placer) sync(workers []Worker) {
	p.call++
	for _, w := range workers {
		p.syncOne(w)
	}
	if len(p.index.byName) == len(workers) {
		return
	}
	var gone []string
	for name, e := range p.index.byName {
		if e.seen != p.call {
			gone = append(gone, name)
		}
	}
	// The order of a shelf follows from that of removals.
	slices.Sort(gone)
	for _, name := range gone {
		e := p.index.byName[name]
		p.drop(e)
		p.index.remove(e)
		delete(p.index.byName, name)
	}
}

func (p *Placer) syncOne(w Worker) {
	e := p.index.byName[w.name]
	if e == nil {
		e = &entry{worker: w, dirty: true}
		p.index.byName[w.name] = e
		p.index.insert(e)
	}
	e.seen = p.call
	if !e.dirty && w.revision != 0 && w.revision == e.revision {
		return
	}
	p.drop(e)
	e.worker = w
	e.revision = w.revision
	e.dirty = false
	p.index.setFree(e, w.free)
	for _, t := range w.residents {
		p.count(e, t)
	}
	if !w.capacity.Fits(p.index.largest) {
		p.index.largest = w.capacity
	}
}

// count adds a task to what is known of its worker, team and service.
func (p *Placer) count(e *entry, t Task) {
	e.add(t, p.learner.Class(t.class))
	p.sharer.Hold(t.team, t.size)
	if t.kind != Service {
		return
	}
	p.serving[p.learner.Class(t.class)] = true
	p.index.places[place{e.worker.rack, t.work}]++
	p.index.places[place{e.worker.dataCentre, t.work}]++
}

// drop takes all that a worker holds out of the counts.
func (p *Placer) drop(e *entry) {
	for _, h := range e.holdings {
		p.sharer.Release(h.team, h.size)
	}
	for _, w := range e.works {
		p.uncount(place{e.worker.rack, w.work}, w.count)
		p.uncount(place{e.worker.dataCentre, w.work}, w.count)
	}
	e.loads = e.loads[:0]
	e.works = e.works[:0]
	e.holdings = e.holdings[:0]
}

func (p *Placer) uncount(at place, n int) {
	p.index.places[at] -= n
	if p.index.places[at] <= 0 {
		delete(p.index.places, at)
	}
}

// take puts a task on a worker until the next sync.
func (p *Placer) take(e *entry, t Task) {
	p.count(e, t)
	p.index.setFree(e, e.free.Sub(t.size))
	e.dirty = true
}
