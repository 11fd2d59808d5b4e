package learner

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Timeline remembers what ran on one worker and when, so that a late
	// sample is put down to what ran beside it then.
	Timeline struct {
		runs []run
	}

	run struct {
		task  string
		class int
		cores float64
		from  clock.Millis
		until clock.Millis
	}

	// Sample is what a task did in a span of time that lies back.
	Sample struct {
		task     string
		from     clock.Millis
		until    clock.Millis
		cores    float64
		progress float64
		clean    bool
	}
)

// NewSample gives a sample by the owner's clock. cores is the mean of the
// processors used. progress is 1 for what the task would have done alone.
// A sample that is not clean, such as one of a throttled task, says nothing of
// the disturbance of its own task.
func NewSample(task string, from, until clock.Millis, cores, progress float64, clean bool) Sample {
	return Sample{task: task, from: from, until: until, cores: cores, progress: progress, clean: clean}
}

// Task gives the task's id.
func (s Sample) Task() string { return s.task }

// Until gives the end of its span.
func (s Sample) Until() clock.Millis { return s.until }

// Slowdown gives how much longer the task took than alone: 0 for no longer, 1
// for twice as long.
func (s Sample) Slowdown() float64 {
	return min(max(1/max(s.progress, 1e-3)-1, 0), maxSlowdown)
}

const maxSlowdown = 20

// Started records that a task of a class began on a worker, with the cores
// that it is expected to use.
func (l *Learner) Started(now clock.Millis, worker, task string, class int, cores float64) {
	t := l.timelines[worker]
	if t == nil {
		t = &Timeline{}
		l.timelines[worker] = t
	}
	t.runs = append(t.runs, run{task: task, class: class, cores: cores, from: now, until: clock.Never})
}

// Ended records that a task left a worker, and drops what is too old.
func (l *Learner) Ended(now clock.Millis, worker, task string) {
	t := l.timelines[worker]
	if t == nil {
		return
	}
	for i := range t.runs {
		if t.runs[i].task == task && t.runs[i].until == clock.Never {
			t.runs[i].until = now
		}
	}
	t.runs = slices.DeleteFunc(t.runs, func(r run) bool { return r.until < now-l.keep })
}

// Forget drops all that is remembered of a worker's tasks.
func (l *Learner) Forget(worker string) { delete(l.timelines, worker) }

// Report learns from the samples of one worker with a number of cores. It gives
// the samples that are of tasks known to have run then.
func (l *Learner) Report(now clock.Millis, worker string, cores float64, samples []Sample) []Sample {
	t := l.timelines[worker]
	if t == nil {
		return nil
	}
	used := make(map[string]float64, len(samples))
	for _, s := range samples {
		used[s.task] = s.cores
	}
	var known []Sample
	for _, s := range samples {
		i := slices.IndexFunc(t.runs, func(r run) bool { return r.task == s.task && r.overlap(s.from, s.until) > 0 })
		if i < 0 {
			continue
		}
		known = append(known, s)
		t.runs[i].cores = s.cores
		if s.clean {
			mix, load := t.mix(s, cores, used)
			l.Observe(now, t.runs[i].class, mix[:], load, s.Slowdown())
		}
	}
	return known
}

// mix gives the part of the worker's processors that each class used beside a
// sample's task in its span, and the whole load.
func (t *Timeline) mix(s Sample, cores float64, used map[string]float64) ([MaxClasses]float64, float64) {
	var mix [MaxClasses]float64
	load := s.cores / cores
	for _, r := range t.runs {
		if r.task == s.task {
			continue
		}
		amount, known := used[r.task]
		if !known {
			amount = r.cores
		}
		part := amount / cores * r.overlap(s.from, s.until)
		mix[r.class] += part
		load += part
	}
	return mix, load
}

// overlap gives the part of a span in which the run took place.
func (r run) overlap(from, until clock.Millis) float64 {
	common := min(r.until, until) - max(r.from, from)
	if common <= 0 || until <= from {
		return 0
	}
	return float64(common) / float64(until-from)
}
