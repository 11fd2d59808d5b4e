package placer

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/learner"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Outcome is how a run of a task ended.
	Outcome int

	// Usage is what a task used in a span of time that lies back, by the
	// owner's clock.
	Usage struct {
		task       string
		from       clock.Millis
		until      clock.Millis
		millicores int64
		memory     int64
		progress   int64
	}

	// run is a task that runs or ended lately.
	run struct {
		task      Task
		worker    string
		began     clock.Millis
		ended     clock.Millis
		permille  int
		changed   clock.Millis
		maxMemory int64
		// pressure is the last slowdown of a service over what it bears, of a
		// sample that ended at seen.
		pressure float64
		seen     clock.Millis
	}
)

// How a run of a task ended.
const (
	// Succeeded is a run that reported success.
	Succeeded Outcome = iota
	// Failed is a run that reported failure.
	Failed
	// Stopped is a run that ended by eviction, cancellation or a lapsed lease.
	Stopped
)

const (
	wholeShare = 1000
	// endedKept is how long a run that ended waits for its last samples.
	endedKept = 2 * clock.Minute
	// alikeSpan is how far apart the ends of samples of one time lie.
	alikeSpan = 5 * clock.Second
)

// NewUsage gives a sample. millicores and memory, in bytes, are means over the
// span, and progress is in thousandths of what the task would have done alone.
func NewUsage(task string, from, until clock.Millis, millicores, memory, progress int64) Usage {
	return Usage{task: task, from: from, until: until, millicores: millicores, memory: memory, progress: progress}
}

// Started records that a task, with the size that it was granted, began on a
// worker.
func (p *Placer) Started(now clock.Millis, t Task, worker string) {
	if old := p.runs[t.id]; old != nil && old.ended == 0 {
		p.retire(now, old)
	}
	p.runs[t.id] = &run{task: t, worker: worker, began: now, permille: wholeShare}
	p.learner.Started(now, worker, t.id, p.learner.Class(t.class), coresOf(t.size))
	p.quarantine.Started(now, worker, t.id)
}

// Ended records how a run of a task ended. whole is how long the task ran from
// its beginning, over all its runs; code and reason are those of a failure.
func (p *Placer) Ended(now clock.Millis, task string, o Outcome, whole clock.Millis, code coder.Code, reason string) {
	r := p.runs[task]
	if r == nil || r.ended != 0 {
		return
	}
	p.retire(now, r)
	p.learner.Ended(now, r.worker, task)
	switch {
	case o == Succeeded:
		p.quarantine.Succeeded(r.worker, task, r.task.work)
		p.estimator.Ran(now, r.task.work, whole)
	case o == Failed && r.maxMemory > r.task.size.MemoryBytes():
		p.quarantine.Left(r.worker, task)
		p.estimator.Overran(now, r.task.work, r.maxMemory)
	case o == Failed:
		p.quarantine.Failed(now, r.worker, task, r.task.work, code, reason)
	default:
		p.quarantine.Left(r.worker, task)
		p.estimator.RanAtLeast(now, r.task.work, whole)
	}
}

// retire keeps a run that ended until its last samples have come.
func (p *Placer) retire(now clock.Millis, r *run) {
	r.ended = now
	if r.permille < wholeShare {
		p.setShare(r, wholeShare)
		r.changed = now
	}
	p.ended = append(p.ended, r)
	for len(p.ended) > 0 && p.ended[0].ended < now-endedKept {
		old := p.ended[0]
		p.ended = p.ended[1:]
		if p.runs[old.task.id] == old {
			delete(p.runs, old.task.id)
		}
	}
}

// Lost records that a worker is gone with all that ran on it.
func (p *Placer) Lost(now clock.Millis, worker string) {
	for id, r := range p.runs {
		if r.worker == worker {
			p.Ended(now, id, Stopped, 0, coder.OK, "")
		}
	}
	p.learner.Forget(worker)
	p.quarantine.Forget(worker)
	p.throttler.Forget(worker)
	delete(p.sights, worker)
	delete(p.slowed, worker)
}

// Throttled records the share of its processors, in thousandths, that a task
// may use from now on.
func (p *Placer) Throttled(now clock.Millis, task string, permille int) {
	if r := p.runs[task]; r != nil && r.ended == 0 {
		p.setShare(r, permille)
		r.changed = now
	}
}

// setShare sets the share of a run and counts the throttled ones.
func (p *Placer) setShare(r *run, permille int) {
	if r.permille < wholeShare {
		p.slowed[r.worker]--
	}
	if permille < wholeShare {
		p.slowed[r.worker]++
	}
	r.permille = permille
}

// Observe learns from the samples of a worker of a capacity.
func (p *Placer) Observe(now clock.Millis, worker string, capacity sizer.Size, usages []Usage) {
	samples := make([]learner.Sample, 0, len(usages))
	for _, u := range usages {
		r := p.runs[u.task]
		whole := r != nil && r.permille == wholeShare && u.from >= r.changed
		clean := whole && u.from >= r.began
		samples = append(samples, learner.NewSample(u.task, u.from, u.until, float64(u.millicores)/1000, float64(u.progress)/wholeShare, clean))
		if r == nil {
			continue
		}
		r.maxMemory = max(r.maxMemory, u.memory)
		if r.task.kind == Service {
			p.noteUse(p.learner.Class(r.task.class), float64(u.millicores)/float64(max(r.task.size.Millicores(), 1)))
		}
		if whole {
			p.estimator.Used(now, r.task.work, u.millicores, u.memory)
		}
	}
	p.see(worker, p.learner.Report(now, worker, coresOf(capacity), samples))
}

// see notes how hard pressed the services of a worker were. Samples may come
// one by one or together.
func (p *Placer) see(worker string, samples []learner.Sample) {
	for _, u := range samples {
		r := p.runs[u.Task()]
		if r == nil || r.ended != 0 || r.task.kind != Service || u.Until() < r.seen {
			continue
		}
		r.pressure = u.Slowdown() / p.bears(p.learner.Class(r.task.class), r.task.tolerance)
		r.seen = u.Until()
		p.sights[worker] = max(p.sights[worker], u.Until())
	}
}

// pressure gives the largest pressure on the services of a worker among the
// samples that are about as new as the newest, which ended at seen.
func (p *Placer) pressure(e *entry, seen clock.Millis) float64 {
	most := 0.0
	for _, t := range e.worker.residents {
		if t.kind != Service {
			continue
		}
		if r := p.runs[t.id]; r != nil && r.seen > seen-alikeSpan {
			most = max(most, r.pressure)
		}
	}
	return most
}
