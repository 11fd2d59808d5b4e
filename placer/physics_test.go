package placer

import (
	"math"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
)

// stepHost simulates one tick of a host.
func (w *simulation) stepHost(h *host) {
	if !h.up {
		return
	}
	use := w.replicaLoad()
	capacity := coresOf(h.capacity)
	var classShares [classCount]float64
	demand := 0.0
	for _, j := range h.residents {
		c := j.demand(use)
		demand += c
		classShares[j.class()] += c / capacity
	}
	load := demand / capacity
	contention := max(load, 1)
	for _, j := range slices.Clone(h.residents) {
		w.stepTask(h, j, use, load, contention, &classShares, capacity)
	}
	w.killOverMemory(h)
	if int64(w.now/tick)%int64(sampleInterval/tick) == 0 {
		w.queueReport(h)
	}
}

func (j *simTask) class() int {
	switch j.task.kind {
	case Service:
		return classCheck
	case Batch:
		return j.family.class
	}
	return classReview
}

// replicaLoad returns the utilization of each running replica. The running replicas share
// the load of the replicas that are down.
func (w *simulation) replicaLoad() float64 {
	if w.measures.replicasLastTick == 0 {
		return 1
	}
	return min(w.serviceLoad*float64(w.deployment.replicas)/float64(w.measures.replicasLastTick), 1.5)
}

// stepTask simulates one tick of a task. use is the utilization of a replica, load the
// utilization of the host, and classShares the fraction of the host's cores that each class
// demands.
func (w *simulation) stepTask(h *host, j *simTask, use, load, contention float64, classShares *[classCount]float64, capacity float64) {
	v := j.class()
	own := j.demand(use)
	slowdown := 0.0
	for a, part := range classShares {
		if a == v {
			part -= own / capacity
		}
		slowdown += w.trueEffects[v][a] * part
	}
	slowdown *= loadFactor(min(load, 1.2)) * h.noise
	speed := 1 / (1 + slowdown) / contention
	if j.task.kind == Service {
		w.measureLatency(use, speed)
	} else {
		speed *= float64(j.sharePermille) / fullShare
	}
	j.usage.cores += own / contention
	j.usage.progress += speed
	j.usage.ticks++
	if j.task.kind == Service || w.now < j.readyAt {
		return
	}
	if h.bad || j.family != nil && j.family.alwaysFails && w.now > j.readyAt {
		w.failTask(j)
		return
	}
	w.advance(j, speed)
}

// advance adds the work of one tick to a task, and finishes or checkpoints the task when
// due.
func (w *simulation) advance(j *simTask, speed float64) {
	d := math.Min(speed*float64(tick), j.workNeeded-j.workDone)
	j.workDone += d
	if j.task.kind == Batch && w.now > warmUp {
		w.measures.useful += d * j.cores
		w.measures.spent += float64(tick) * j.cores
		if w.inPhase() {
			w.measures.usefulInPhase += d * j.cores
		}
	}
	if j.workDone >= j.workNeeded {
		w.finish(j)
		return
	}
	if j.family != nil && j.family.checkpoints && w.now-max(j.task.checkpoint, j.startedAt) >= checkpointInterval {
		j.workSaved = j.workDone
		j.task.checkpoint = w.now
		j.host.markChanged()
	}
}

func (w *simulation) finish(j *simTask) {
	w.stop(j, Succeeded, coder.OK)
	delete(w.tasks, j.task.id)
	if j.task.kind != Batch || w.now <= warmUp {
		return
	}
	w.measures.finished++
	if j.submission.unfinished--; j.submission.unfinished == 0 {
		w.measures.jobTimes = append(w.measures.jobTimes, float64(w.now-j.submission.submittedAt))
	}
}

// killOverMemory repeatedly fails the task that exceeds its granted memory the most, until
// the remaining tasks fit the host's memory.
func (w *simulation) killOverMemory(h *host) {
	for {
		var sum int64
		var worst *simTask
		for _, j := range h.residents {
			sum += j.memory
			over := j.memory - j.task.size.MemoryBytes()
			if j.task.kind != Service && (worst == nil || over > worst.memory-worst.task.size.MemoryBytes()) {
				worst = j
			}
		}
		if sum <= h.capacity.MemoryBytes() || worst == nil {
			return
		}
		w.measures.killed++
		w.failTask(worst)
	}
}

// measureLatency records the latency of two requests to a replica.
func (w *simulation) measureLatency(use, speed float64) {
	w.measures.replicasThisTick++
	if w.now <= warmUp {
		return
	}
	busy := math.Min(use/speed*0.8, 0.98)
	wait := 1 + 0.3*math.Pow(busy, 4)/(1-busy)
	for range 2 {
		latency := baseLatency * math.Exp(w.policyRand.NormFloat64()*0.2) / speed * wait
		w.measures.latencies = append(w.measures.latencies, latency)
		if latency <= latencyTarget {
			w.measures.withinTarget++
		}
	}
}

// recordUsage ends the usage span of a task and keeps it as a sample.
func (w *simulation) recordUsage(j *simTask) {
	u := j.usage
	if u.ticks > 0 && w.now > u.from {
		w.unsentUsages[j.host] = append(w.unsentUsages[j.host], NewUsage(
			j.task.id, u.from, w.now, int64(u.cores/u.ticks*1000), j.memory, int64(u.progress/u.ticks*fullShare)))
	}
	j.usage = usageSpan{from: w.now}
}

// queueReport queues the usage samples of a host, to be delivered after a random delay.
func (w *simulation) queueReport(h *host) {
	for _, j := range h.residents {
		w.recordUsage(j)
	}
	delay := 5*clock.Second + clock.Millis(w.policyRand.IntN(15))*clock.Second
	w.reports = append(w.reports, delayedReport{deliverAt: w.now + delay, host: h, usages: w.unsentUsages[h]})
	w.unsentUsages[h] = nil
}
