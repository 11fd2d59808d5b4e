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

	// Usage is a resource usage sample of a task over a past interval, in the shard
	// owner's time.
	Usage struct {
		task       string
		from       clock.Millis
		until      clock.Millis
		millicores int64
		memory     int64
		progress   int64
	}

	// run is a run of a task that is in progress or ended recently. endedAt is 0 while it is
	// in progress.
	run struct {
		task      Task
		worker    string
		startedAt clock.Millis
		endedAt   clock.Millis
		// sharePermille is the share of its processors that the task may use, in thousandths.
		sharePermille  int
		shareChangedAt clock.Millis
		maxMemory      int64
		// pressure is the slowdown of a service in its newest sample, which ended at
		// sampledUntil, divided by what it tolerates.
		pressure     float64
		sampledUntil clock.Millis
	}
)

const (
	// Succeeded is a run that reported success.
	Succeeded Outcome = iota
	// Failed is a run that reported failure.
	Failed
	// Stopped is a run that ended by eviction, cancellation or lease expiry.
	Stopped
)

const (
	// fullShare is the share of a task that is not throttled, in thousandths.
	fullShare = 1000
	// endedRetention is how long an ended run is kept for samples that arrive late.
	endedRetention = 2 * clock.Minute
	// sampleSkew is how far apart the ends of samples of the same sampling round may lie.
	sampleSkew = 5 * clock.Second
)

// NewUsage returns a sample. millicores and memory, in bytes, are means over the
// interval. progress is relative to the task running alone, in thousandths.
func NewUsage(task string, from, until clock.Millis, millicores, memory, progress int64) Usage {
	return Usage{task: task, from: from, until: until, millicores: millicores, memory: memory, progress: progress}
}

// Started records that a task started on a worker. The size of t is the granted size.
func (p *Placer) Started(now clock.Millis, t Task, worker string) {
	if old := p.runs[t.id]; old != nil && old.endedAt == 0 {
		p.markEnded(now, old)
	}
	p.runs[t.id] = &run{task: t, worker: worker, startedAt: now, sharePermille: fullShare}
	p.learner.Started(now, worker, t.id, p.learner.Class(t.class), coresOf(t.size))
	p.quarantine.Started(now, worker, t.id)
}

// Ended records how a run of a task ended. ranFor is the run time since the task first
// started, over all its runs; code and reason describe a failure.
func (p *Placer) Ended(now clock.Millis, task string, o Outcome, ranFor clock.Millis, code coder.Code, reason string) {
	r := p.runs[task]
	if r == nil || r.endedAt != 0 {
		return
	}
	p.markEnded(now, r)
	p.learner.Ended(now, r.worker, task)
	switch {
	case o == Succeeded:
		p.quarantine.Succeeded(r.worker, task, r.task.work)
		p.estimator.Ran(now, r.task.work, ranFor)
	case o == Failed && r.maxMemory > r.task.size.MemoryBytes():
		p.quarantine.Interrupted(r.worker, task)
		p.estimator.RanOutOfMemory(now, r.task.work, r.maxMemory)
	case o == Failed:
		p.quarantine.Failed(now, r.worker, task, r.task.work, code, reason)
	default:
		p.quarantine.Interrupted(r.worker, task)
		p.estimator.RanAtLeast(now, r.task.work, ranFor)
	}
}

// markEnded marks a run as ended and keeps it for late samples. It deletes runs that ended
// more than endedRetention ago.
func (p *Placer) markEnded(now clock.Millis, r *run) {
	r.endedAt = now
	if r.sharePermille < fullShare {
		p.setShare(r, fullShare)
		r.shareChangedAt = now
	}
	p.endedRuns = append(p.endedRuns, r)
	for len(p.endedRuns) > 0 && p.endedRuns[0].endedAt < now-endedRetention {
		old := p.endedRuns[0]
		p.endedRuns = p.endedRuns[1:]
		if p.runs[old.task.id] == old {
			delete(p.runs, old.task.id)
		}
	}
}

// Lost records that a worker has failed and that all tasks on it have stopped.
func (p *Placer) Lost(now clock.Millis, worker string) {
	for id, r := range p.runs {
		if r.worker == worker {
			p.Ended(now, id, Stopped, 0, coder.OK, "")
		}
	}
	p.learner.Forget(worker)
	p.quarantine.Forget(worker)
	p.throttler.Forget(worker)
	delete(p.lastServiceSample, worker)
	delete(p.throttledTasks, worker)
}

// Throttled records the share of its processors, in thousandths, that a task may use from
// now on.
func (p *Placer) Throttled(now clock.Millis, task string, permille int) {
	if r := p.runs[task]; r != nil && r.endedAt == 0 {
		p.setShare(r, permille)
		r.shareChangedAt = now
	}
}

// setShare sets the processor share of a run and updates the worker's count of throttled
// tasks.
func (p *Placer) setShare(r *run, permille int) {
	if r.sharePermille < fullShare {
		p.throttledTasks[r.worker]--
	}
	if permille < fullShare {
		p.throttledTasks[r.worker]++
	}
	r.sharePermille = permille
}

// Observe learns from usage samples of the tasks on a worker.
func (p *Placer) Observe(now clock.Millis, worker string, capacity sizer.Size, usages []Usage) {
	samples := make([]learner.Sample, 0, len(usages))
	for _, u := range usages {
		r := p.runs[u.task]
		atFullShare := r != nil && r.sharePermille == fullShare && u.from >= r.shareChangedAt
		slowdownValid := atFullShare && u.from >= r.startedAt
		samples = append(samples, learner.NewSample(u.task, u.from, u.until, float64(u.millicores)/1000, float64(u.progress)/fullShare, slowdownValid))
		if r == nil {
			continue
		}
		r.maxMemory = max(r.maxMemory, u.memory)
		if r.task.kind == Service {
			p.recordUtilization(p.learner.Class(r.task.class), float64(u.millicores)/float64(max(r.task.size.Millicores(), 1)))
		}
		if atFullShare {
			p.estimator.Used(now, r.task.work, u.millicores, u.memory)
		}
	}
	p.recordPressure(worker, p.learner.Report(now, worker, coresOf(capacity), samples))
}

// recordPressure records the pressure on the services of a worker. The samples of one
// sampling round may arrive in several calls.
func (p *Placer) recordPressure(worker string, samples []learner.Sample) {
	for _, u := range samples {
		r := p.runs[u.Task()]
		if r == nil || r.endedAt != 0 || r.task.kind != Service || u.Until() < r.sampledUntil {
			continue
		}
		r.pressure = u.Slowdown() / p.toleratedSlowdown(p.learner.Class(r.task.class), r.task.tolerance)
		r.sampledUntil = u.Until()
		p.lastServiceSample[worker] = max(p.lastServiceSample[worker], u.Until())
	}
}

// pressure returns the highest pressure on the services of a worker. It uses the samples
// of the newest sampling round, which ended at sampledUntil.
func (p *Placer) pressure(e *indexedWorker, sampledUntil clock.Millis) float64 {
	highest := 0.0
	for _, t := range e.worker.residents {
		if t.kind != Service {
			continue
		}
		if r := p.runs[t.id]; r != nil && r.sampledUntil > sampledUntil-sampleSkew {
			highest = max(highest, r.pressure)
		}
	}
	return highest
}
