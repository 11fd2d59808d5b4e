package placer

import (
	"galenawharf.example/galenawharf/clock"
)

const (
	// holdAfter is how long a batch task waits before a worker is kept for it.
	holdAfter = 2 * clock.Minute
	// holdPart is the part of the workers that may be kept.
	holdPart = 20
)

// hold keeps a worker free of other batch tasks for one that waits for long,
// since smaller ones would for ever take the room before it.
func (p *Placer) hold(now clock.Millis, w *want) {
	if !p.mechanisms.has(Holding) || now-w.task.submitted < holdAfter || p.held[w.task.id] != "" {
		return
	}
	if len(p.held) >= max(len(p.index.byName)/holdPart, 1) {
		return
	}
	var best *entry
	for _, e := range p.index.byName {
		if e.worker.closed || !w.need.Fits(e.worker.capacity) || p.holders[e.worker.name] != "" {
			continue
		}
		if best == nil || roomier(e, best) {
			best = e
		}
	}
	if best != nil {
		p.held[w.task.id] = best.worker.name
		p.holders[best.worker.name] = w.task.id
	}
}

func roomier(e, than *entry) bool {
	a, b := e.free.Millicores(), than.free.Millicores()
	return a > b || a == b && e.worker.name < than.worker.name
}

// release ends the keeping of a worker for a task.
func (p *Placer) release(task string) {
	if name := p.held[task]; name != "" {
		delete(p.holders, name)
		delete(p.held, task)
	}
}

// unhold drops what is kept for tasks that no longer wait, or on workers that
// are gone.
func (p *Placer) unhold(waiting []Task) {
	if len(p.held) == 0 {
		return
	}
	waits := make(map[string]bool, len(p.held))
	for _, t := range waiting {
		if p.held[t.id] != "" {
			waits[t.id] = true
		}
	}
	for task, name := range p.held {
		e := p.index.byName[name]
		if !waits[task] || e == nil || e.worker.closed {
			p.release(task)
		}
	}
}
