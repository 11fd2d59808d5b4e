package learner

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Timeline records the recent runs on one worker, so that a late sample is attributed
	// to the tasks that ran during its span.
	Timeline struct {
		runs []run
	}

	// run is a run of a task. until is clock.Never while it is in progress.
	run struct {
		task  string
		class int
		cores float64
		from  clock.Millis
		until clock.Millis
	}

	// Sample is a measurement of a task over a past span of time.
	Sample struct {
		task          string
		from          clock.Millis
		until         clock.Millis
		cores         float64
		progress      float64
		slowdownValid bool
	}
)

// NewSample returns a sample. from and until are in the shard owner's time. cores is the
// mean number of cores used; progress is relative to the task running alone, 1 for equal.
// slowdownValid is false if the task's progress has another cause than its neighbours, such
// as throttling; the sample then only shows what the task used beside others.
func NewSample(task string, from, until clock.Millis, cores, progress float64, slowdownValid bool) Sample {
	return Sample{task: task, from: from, until: until, cores: cores, progress: progress, slowdownValid: slowdownValid}
}

// Task returns the task's id.
func (s Sample) Task() string { return s.task }

// Until returns the end of the sample's span.
func (s Sample) Until() clock.Millis { return s.until }

// Slowdown returns how much longer the task took than when it runs alone: 0 for no
// longer, 1 for twice as long.
func (s Sample) Slowdown() float64 {
	return min(max(1/max(s.progress, 1e-3)-1, 0), maxSlowdown)
}

// maxSlowdown limits the slowdown of a task that made almost no progress.
const maxSlowdown = 20

// Started records that a task started on a worker. cores is the expected usage until the
// first sample.
func (l *Learner) Started(now clock.Millis, worker, task string, class int, cores float64) {
	t := l.timelines[worker]
	if t == nil {
		t = &Timeline{}
		l.timelines[worker] = t
	}
	t.runs = append(t.runs, run{task: task, class: class, cores: cores, from: now, until: clock.Never})
}

// Ended records that a task ended on a worker, and deletes runs that ended before the
// retention period.
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
	t.runs = slices.DeleteFunc(t.runs, func(r run) bool { return r.until < now-l.retention })
}

// Forget deletes all runs of a worker.
func (l *Learner) Forget(worker string) { delete(l.timelines, worker) }

// Report learns from the samples of a worker with the given number of cores. It returns
// the samples of tasks that are recorded as running on the worker during the sample's span.
func (l *Learner) Report(now clock.Millis, worker string, cores float64, samples []Sample) []Sample {
	t := l.timelines[worker]
	if t == nil {
		return nil
	}
	used := make(map[string]float64, len(samples))
	for _, s := range samples {
		used[s.task] = s.cores
	}
	var matched []Sample
	for _, s := range samples {
		i := slices.IndexFunc(t.runs, func(r run) bool { return r.task == s.task && r.overlap(s.from, s.until) > 0 })
		if i < 0 {
			continue
		}
		matched = append(matched, s)
		t.runs[i].cores = s.cores
		if s.slowdownValid {
			mix, load := t.mixDuring(s, cores, used)
			l.Observe(now, t.runs[i].class, mix[:], load, s.Slowdown())
		}
	}
	return matched
}

// mixDuring returns the fraction of the worker's processors that each class used beside
// the sample's task during its span, and the total load.
func (t *Timeline) mixDuring(s Sample, cores float64, used map[string]float64) ([MaxClasses]float64, float64) {
	var mix [MaxClasses]float64
	load := s.cores / cores
	for _, r := range t.runs {
		if r.task == s.task {
			continue
		}
		usedCores, known := used[r.task]
		if !known {
			usedCores = r.cores
		}
		share := usedCores / cores * r.overlap(s.from, s.until)
		mix[r.class] += share
		load += share
	}
	return mix, load
}

// overlap returns the fraction of a span during which the task ran.
func (r run) overlap(from, until clock.Millis) float64 {
	common := min(r.until, until) - max(r.from, from)
	if common <= 0 || until <= from {
		return 0
	}
	return float64(common) / float64(until-from)
}
