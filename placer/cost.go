package placer

import (
	"galenawharf.example/galenawharf/clock"
)

// Weights of the terms of a placement cost, in wasted cores.
const (
	serviceSlowdownWeight = 8
	excessSlowdownWeight  = 40
	sameWorkerWeight      = 8
	sameRackWeight        = 6
	sameCentreWeight      = 0.5
	firstServiceWeight    = 3
	serviceFreeWeight     = 0.5
	unusedWeight          = 0.5
	idleAcceleratorWeight = 4

	// minSpreadWorkers is the least number of workers of a data centre over which the
	// replicas of a service are spread.
	minSpreadWorkers = 6
	// referenceLoad is the worker load at which serviceFreeCost compares the effects of a
	// class on services.
	referenceLoad = 0.8
	// upperBoundDeviations is the number of standard deviations that are added to the mean
	// of an effect to get a cautious estimate of the slowdown that a new task causes.
	upperBoundDeviations = 0.5
	// doubleToleranceWait is the wait after which a batch task may slow a service to twice
	// the slowdown that the service tolerates.
	doubleToleranceWait = 20 * clock.Minute
)

// cost returns the cost of running a task on a worker. It returns false if a batch task
// would slow a service there by more than is allowed.
func (p *Placer) cost(now clock.Millis, w *pendingTask, e *indexedWorker) (float64, bool) {
	c := p.packingCost(w, e)
	if p.mechanisms.has(Spread) && w.task.kind == Service {
		c += p.antiAffinityCost(w.task.work, e)
	}
	if !p.mechanisms.has(Interference) {
		return c, true
	}
	caused, ok := p.interferenceCaused(now, w, e)
	return c + caused + p.interferenceSuffered(w, e) + p.serviceFreeCost(w, e), ok
}

// packingCost prefers nearly full workers, and keeps workers with free accelerators for
// tasks that need them.
func (p *Placer) packingCost(w *pendingTask, e *indexedWorker) float64 {
	left := e.free.Sub(w.need)
	capacity := e.worker.capacity
	c := unusedWeight * float64(left.Millicores()) / float64(max(capacity.Millicores(), 1))
	c += unusedWeight * float64(left.MemoryBytes()) / float64(max(capacity.MemoryBytes(), 1))
	if left.Accelerators() > 0 && w.need.Accelerators() == 0 {
		return c + idleAcceleratorWeight
	}
	return c + unusedWeight*float64(left.Accelerators())
}

// antiAffinityCost grows with the replicas of the same service on the worker beyond its
// fair share, with the share of the replicas that the rack holds, and with the replicas
// in the data centre. Workers without a service cost more, because they are better used
// for batch tasks that would interfere with one.
func (p *Placer) antiAffinityCost(work string, e *indexedWorker) float64 {
	onWorker := e.replicas(work)
	inCentre := p.index.replicasInDomain[domainKey{e.worker.dataCentre, work}]
	fairShare := 1 + inCentre/minSpreadWorkers
	c := sameWorkerWeight * float64(max(onWorker+1-fairShare, 0))
	c += sameRackWeight * float64(p.index.replicasInDomain[domainKey{e.worker.rack, work}]) / float64(inCentre+1)
	c += sameCentreWeight * float64(inCentre)
	if !e.hasService() {
		c += firstServiceWeight
	}
	return c
}

// serviceFreeCost makes a worker without a service more expensive for batch tasks that
// hardly slow services, so that it stays free for batch tasks that slow them more.
func (p *Placer) serviceFreeCost(w *pendingTask, e *indexedWorker) float64 {
	if w.task.urgent() || e.hasService() {
		return 0
	}
	worst := 0.0
	for v := range p.serviceClasses {
		worst = max(worst, p.effect(v, w.class, referenceLoad).Mean())
	}
	return serviceFreeWeight * coresOf(w.need) * max(1-worst, 0)
}

// interferenceCaused returns the cost of the slowdown that the task would cause to the
// worker's residents. It returns false for a batch task that would slow a service beyond
// its allowance, or, while the throttler is acting on the worker, by more than a
// negligible amount.
func (p *Placer) interferenceCaused(now clock.Millis, w *pendingTask, e *indexedWorker) (float64, bool) {
	cores := coresOf(w.need)
	share := cores / coresOf(e.worker.capacity)
	load := e.load(cores)
	mitigating := p.mechanisms.has(Throttling) && p.throttler.Mitigating(e.worker.name)
	c := 0.0
	for _, v := range e.loads {
		tolerated := p.toleratedSlowdown(v.class, v.tolerance)
		added := share * p.effect(v.class, w.class, load).UpperBound(upperBoundDeviations)
		if v.services == 0 {
			c += v.cores * added
			continue
		}
		c += serviceSlowdownWeight * added * float64(v.services)
		interferes := !w.task.urgent() && added > tolerated*negligibleInterference
		if mitigating && interferes {
			return 0, false
		}
		excess := p.slowdown(e, v.class, load) + added - tolerated
		if excess <= 0 {
			continue
		}
		if interferes && excess > tolerated*p.excessAllowance(now, w) {
			return 0, false
		}
		c += excessSlowdownWeight * excess * float64(v.services)
	}
	return c, true
}

// negligibleInterference is the fraction of a tolerance up to which the slowdown caused
// by a task is ignored.
const negligibleInterference = 0.05

// excessAllowance returns by how much a batch task may exceed a service's tolerance, as a
// multiple of the tolerance. It grows with the wait of the task, from 0 to 1 after
// doubleToleranceWait and beyond, so that the task is not starved.
func (p *Placer) excessAllowance(now clock.Millis, w *pendingTask) float64 {
	return float64(max(now-w.task.submitted, 0)) / float64(doubleToleranceWait)
}

// interferenceSuffered returns the cost of the slowdown that the worker's residents would
// cause to the task.
func (p *Placer) interferenceSuffered(w *pendingTask, e *indexedWorker) float64 {
	cores := coresOf(w.need)
	s := p.slowdown(e, w.class, e.load(cores))
	if w.task.kind != Service {
		return cores * s
	}
	return serviceSlowdownWeight*s + excessSlowdownWeight*max(s-p.toleratedSlowdown(w.class, w.task.tolerance), 0)
}

// slowdown returns the slowdown that the victim class is expected to have on a worker at a
// load: 0 for none, 1 for twice the run time.
func (p *Placer) slowdown(e *indexedWorker, victim int, load float64) float64 {
	capacity := coresOf(e.worker.capacity)
	s := 0.0
	for _, a := range e.loads {
		s += a.cores / capacity * p.effect(victim, a.class, load).Mean()
	}
	return s
}
