package placer

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/throttler"
)

// Control returns the throttle and evict actions that bring services back under their
// tolerated slowdown. workers lists every worker in its current state.
func (p *Placer) Control(now clock.Millis, workers []Worker) []throttler.Action {
	if !p.mechanisms.has(Throttling) {
		return nil
	}
	p.sync(workers)
	views := make([]throttler.View, 0, len(p.index.byName))
	for name, e := range p.index.byName {
		sampledUntil := p.lastServiceSample[name]
		if sampledUntil == 0 || !e.hasService() && p.throttledTasks[name] == 0 {
			continue
		}
		pressure := p.pressure(e, sampledUntil)
		views = append(views, throttler.NewView(name, pressure, sampledUntil, p.candidates(now, e, p.throttler.NeedsAction(pressure))))
	}
	slices.SortFunc(views, func(a, b throttler.View) int { return cmp.Compare(a.Worker(), b.Worker()) })
	return p.throttler.Step(now, views)
}

// candidates returns the batch tasks of a worker that the throttler may act on, each with
// its contribution to the worker's pressure. If no action is needed, it returns only the
// tasks that are already throttled, so that they can be relaxed.
func (p *Placer) candidates(now clock.Millis, e *indexedWorker, needsAction bool) []throttler.Candidate {
	if !needsAction && p.throttledTasks[e.worker.name] == 0 {
		return nil
	}
	var out []throttler.Candidate
	load := e.load(0)
	for _, t := range e.worker.residents {
		r := p.runs[t.id]
		if t.kind != Batch || r == nil || r.endedAt != 0 {
			continue
		}
		if !needsAction {
			if r.sharePermille < fullShare {
				out = append(out, throttler.NewCandidate(t.id, 0, 0, r.sharePermille))
			}
			continue
		}
		share := coresOf(t.size) / coresOf(e.worker.capacity) * float64(r.sharePermille) / fullShare
		out = append(out, throttler.NewCandidate(t.id, p.pressureContribution(e, share, t.class, load), t.unsavedWork(now), r.sharePermille))
	}
	return out
}

// pressureContribution returns the slowdown that a class causes to the services of a
// worker, as a fraction of what they tolerate; the largest over all service classes.
// share is the fraction of the worker's processors that the class uses.
func (p *Placer) pressureContribution(e *indexedWorker, share float64, class string, load float64) float64 {
	highest := 0.0
	for _, v := range e.loads {
		if v.services > 0 {
			highest = max(highest, share*p.effect(v.class, p.learner.Class(class), load).Mean()/p.toleratedSlowdown(v.class, v.tolerance))
		}
	}
	return highest
}
