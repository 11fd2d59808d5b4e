package placer

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/throttler"
)

// Control gives what relieves services that are disturbed, given every worker
// as it is now.
func (p *Placer) Control(now clock.Millis, workers []Worker) []throttler.Action {
	if !p.mechanisms.has(Throttling) {
		return nil
	}
	p.sync(workers)
	views := make([]throttler.View, 0, len(p.index.byName))
	for name, e := range p.index.byName {
		seen := p.sights[name]
		if seen == 0 || !e.serves() && p.slowed[name] == 0 {
			continue
		}
		pressure := p.pressure(e, seen)
		views = append(views, throttler.NewView(name, pressure, seen, p.culprits(now, e, p.throttler.Presses(pressure))))
	}
	slices.SortFunc(views, func(a, b throttler.View) int { return cmp.Compare(a.Worker(), b.Worker()) })
	return p.throttler.Step(now, views)
}

// culprits gives the batch tasks of a worker with what the removal of each
// would do for its services; where these are not pressed, only the tasks that
// are throttled.
func (p *Placer) culprits(now clock.Millis, e *entry, pressed bool) []throttler.Candidate {
	if !pressed && p.slowed[e.worker.name] == 0 {
		return nil
	}
	var out []throttler.Candidate
	load := e.load(0)
	for _, t := range e.worker.residents {
		r := p.runs[t.id]
		if t.kind != Batch || r == nil || r.ended != 0 {
			continue
		}
		if !pressed {
			if r.permille < wholeShare {
				out = append(out, throttler.NewCandidate(t.id, 0, 0, r.permille))
			}
			continue
		}
		part := coresOf(t.size) / coresOf(e.worker.capacity) * float64(r.permille) / wholeShare
		out = append(out, throttler.NewCandidate(t.id, p.relief(e, part, t.class, load), t.lost(now), r.permille))
	}
	return out
}

// relief gives the largest part of a tolerance that a class takes up.
func (p *Placer) relief(e *entry, part float64, class string, load float64) float64 {
	most := 0.0
	for _, v := range e.loads {
		if v.services > 0 {
			most = max(most, part*p.effect(v.class, p.learner.Class(class), load).Mean()/p.bears(v.class, v.tolerance))
		}
	}
	return most
}
