package placer

import (
	"galenawharf.example/galenawharf/clock"
)

// Weights of the parts of a cost, in cores for which nothing useful is done.
const (
	serviceWeight     = 8
	excessWeight      = 40
	sameWorkerWeight  = 8
	sameRackWeight    = 6
	sameCentreWeight  = 0.5
	freshWeight       = 3
	spareWeight       = 0.5
	emptyWeight       = 0.5
	acceleratorWeight = 4

	// leastWorkers is over how many workers of a data centre the replicas of a
	// service are spread at least.
	leastWorkers = 6
	// loadOfSparing is the load at which a disturbance is judged as such.
	loadOfSparing = 0.8
	// caution is how many deviations above the mean an effect is taken at.
	caution = 0.5
	// patience is the wait after which a batch task may disturb a service
	// twice as much.
	patience = 20 * clock.Minute
)

// cost gives what it costs to run a task on a worker; false where it would
// disturb a service beyond what that tolerates.
func (p *Placer) cost(now clock.Millis, w *want, e *entry) (float64, bool) {
	c := p.packing(w, e)
	if p.mechanisms.has(Spread) && w.task.kind == Service {
		c += p.crowding(w.task.work, e)
	}
	if !p.mechanisms.has(Interference) {
		return c, true
	}
	harm, ok := p.harm(now, w, e)
	return c + harm + p.suffering(w, e) + p.sparing(w, e), ok
}

// packing prefers workers that are nearly full, and keeps accelerators for
// those who need them.
func (p *Placer) packing(w *want, e *entry) float64 {
	left := e.free.Sub(w.need)
	capacity := e.worker.capacity
	c := emptyWeight * float64(left.Millicores()) / float64(max(capacity.Millicores(), 1))
	c += emptyWeight * float64(left.MemoryBytes()) / float64(max(capacity.MemoryBytes(), 1))
	if left.Accelerators() > 0 && w.need.Accelerators() == 0 {
		return c + acceleratorWeight
	}
	return c + emptyWeight*float64(left.Accelerators())
}

// crowding grows with the replicas of the same service nearby: those of a
// worker beyond its fair part, and those of a rack as a part of all. A worker
// without a service is better left to batch tasks that would disturb one.
func (p *Placer) crowding(work string, e *entry) float64 {
	here := e.replicas(work)
	centre := p.index.places[place{e.worker.dataCentre, work}]
	fair := 1 + centre/leastWorkers
	c := sameWorkerWeight * float64(max(here+1-fair, 0))
	c += sameRackWeight * float64(p.index.places[place{e.worker.rack, work}]) / float64(centre+1)
	c += sameCentreWeight * float64(centre)
	if !e.serves() {
		c += freshWeight
	}
	return c
}

// sparing keeps batch tasks that disturb no service off workers without one,
// so that these stay free for tasks that would.
func (p *Placer) sparing(w *want, e *entry) float64 {
	if w.task.urgent() || e.serves() {
		return 0
	}
	worst := 0.0
	for v := range p.serving {
		worst = max(worst, p.effect(v, w.class, loadOfSparing).Mean())
	}
	return spareWeight * coresOf(w.need) * max(1-worst, 0)
}

// harm gives what the task does to those on the worker.
func (p *Placer) harm(now clock.Millis, w *want, e *entry) (float64, bool) {
	cores := coresOf(w.need)
	part := cores / coresOf(e.worker.capacity)
	load := e.load(cores)
	hot := p.mechanisms.has(Throttling) && p.throttler.Hot(e.worker.name)
	c := 0.0
	for _, v := range e.loads {
		bears := p.bears(v.class, v.tolerance)
		more := part * p.effect(v.class, w.class, load).Upper(caution)
		if v.services == 0 {
			c += v.cores * more
			continue
		}
		c += serviceWeight * more * float64(v.services)
		disturbs := !w.task.urgent() && more > bears*leastHarm
		if hot && disturbs {
			return 0, false
		}
		excess := p.slowdown(e, v.class, load) + more - bears
		if excess <= 0 {
			continue
		}
		if disturbs && excess > bears*p.leniency(now, w) {
			return 0, false
		}
		c += excessWeight * excess * float64(v.services)
	}
	return c, true
}

// leastHarm is the part of a tolerance below which a task counts as harmless.
const leastHarm = 0.05

// leniency grows with the wait of a batch task, so that it never starves.
func (p *Placer) leniency(now clock.Millis, w *want) float64 {
	return float64(max(now-w.task.submitted, 0)) / float64(patience)
}

// suffering gives what those on the worker do to the task.
func (p *Placer) suffering(w *want, e *entry) float64 {
	cores := coresOf(w.need)
	s := p.slowdown(e, w.class, e.load(cores))
	if w.task.kind != Service {
		return cores * s
	}
	return serviceWeight*s + excessWeight*max(s-p.bears(w.class, w.task.tolerance), 0)
}

// slowdown gives how much those on a worker slow a class down.
func (p *Placer) slowdown(e *entry, victim int, load float64) float64 {
	capacity := coresOf(e.worker.capacity)
	s := 0.0
	for _, a := range e.loads {
		s += a.cores / capacity * p.effect(victim, a.class, load).Mean()
	}
	return s
}
