package placer

import (
	"math"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
)

// step lets one tick pass on a host.
func (w *world) step(h *host) {
	if !h.up {
		return
	}
	use := w.replicaUse()
	capacity := coresOf(h.capacity)
	var parts [classCount]float64
	demand := 0.0
	for _, j := range h.residents {
		c := j.share(use)
		demand += c
		parts[j.class()] += c / capacity
	}
	load := demand / capacity
	crowd := max(load, 1)
	for _, j := range slices.Clone(h.residents) {
		w.stepTask(h, j, use, load, crowd, &parts, capacity)
	}
	w.overrun(h)
	if int64(w.now/tick)%int64(sampleSpan/tick) == 0 {
		w.report(h)
	}
}

func (j *job) class() int {
	switch j.task.kind {
	case Service:
		return classCheck
	case Batch:
		return j.kin.class
	}
	return classReview
}

// replicaUse gives the load of each replica; those that run share it.
func (w *world) replicaUse() float64 {
	if w.m.running == 0 {
		return 1
	}
	return min(w.serviceUse*float64(w.d.replicas)/float64(w.m.running), 1.5)
}

func (w *world) stepTask(h *host, j *job, use, load, crowd float64, parts *[classCount]float64, capacity float64) {
	v := j.class()
	own := j.share(use)
	slow := 0.0
	for a, part := range parts {
		if a == v {
			part -= own / capacity
		}
		slow += w.truth[v][a] * part
	}
	slow *= growth(min(load, 1.2)) * h.noise
	speed := 1 / (1 + slow) / crowd
	if j.task.kind == Service {
		w.check(use, speed)
	} else {
		speed *= float64(j.permille) / wholeShare
	}
	j.used.cores += own / crowd
	j.used.progress += speed
	j.used.ticks++
	if j.task.kind == Service || w.now < j.readyAt {
		return
	}
	if h.bad || j.kin != nil && j.kin.impossible && w.now > j.readyAt {
		w.failed(j)
		return
	}
	w.advance(j, speed)
}

// advance lets a task do its work for a tick.
func (w *world) advance(j *job, speed float64) {
	d := math.Min(speed*float64(tick), j.need-j.done)
	j.done += d
	if j.task.kind == Batch && w.now > warmUp {
		w.m.useful += d * j.cores
		w.m.spent += float64(tick) * j.cores
		if w.during() {
			w.m.usefulDuring += d * j.cores
		}
	}
	if j.done >= j.need {
		w.finish(j)
		return
	}
	if j.kin != nil && j.kin.saves && w.now-max(j.task.checkpoint, j.began) >= checkpointSpan {
		j.saved = j.done
		j.task.checkpoint = w.now
		j.host.touch()
	}
}

func (w *world) finish(j *job) {
	w.stop(j, Succeeded, coder.OK)
	delete(w.jobs, j.task.id)
	if j.task.kind != Batch || w.now <= warmUp {
		return
	}
	w.m.finished++
	if j.group.left--; j.group.left == 0 {
		w.m.jobTimes = append(w.m.jobTimes, float64(w.now-j.group.at))
	}
}

// overrun kills the task that is furthest over what it was granted, while the
// memory of the host is not enough.
func (w *world) overrun(h *host) {
	for {
		var sum int64
		var worst *job
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
		w.m.killed++
		w.failed(worst)
	}
}

// check measures two requests at a replica.
func (w *world) check(use, speed float64) {
	w.m.seen++
	if w.now <= warmUp {
		return
	}
	busy := math.Min(use/speed*0.8, 0.98)
	wait := 1 + 0.3*math.Pow(busy, 4)/(1-busy)
	for range 2 {
		l := baseLatency * math.Exp(w.other.NormFloat64()*0.2) / speed * wait
		w.m.latencies = append(w.m.latencies, l)
		if l <= targetMillis {
			w.m.within++
		}
	}
}

// sample closes the span of a task.
func (w *world) sample(j *job) {
	u := j.used
	if u.ticks > 0 && w.now > u.from {
		w.ended[j.host] = append(w.ended[j.host], NewUsage(
			j.task.id, u.from, w.now, int64(u.cores/u.ticks*1000), j.memory, int64(u.progress/u.ticks*wholeShare)))
	}
	j.used = span{from: w.now}
}

// report sends the samples of a host on their way.
func (w *world) report(h *host) {
	for _, j := range h.residents {
		w.sample(j)
	}
	lag := 5*clock.Second + clock.Millis(w.other.IntN(15))*clock.Second
	w.reports = append(w.reports, report{at: w.now + lag, host: h, usages: w.ended[h]})
	w.ended[h] = nil
}
