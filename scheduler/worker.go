package scheduler

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// WorkerInfo is what a worker says of itself.
	WorkerInfo struct {
		ID         string
		Address    string
		Service    string
		DataCentre string
		Labels     []string
		// Rack is the one of the labels that names the worker's rack.
		Rack     string
		CPU      int64
		Memory   int64
		GPU      int64
		Draining bool
		// Remaining is the least time that a draining worker stays.
		Remaining clock.Millis
		// Born is the Unix time of the worker's start and names its life.
		Born int64
		// Clock is the worker's own clock at Seen of ours.
		Clock clock.Millis
	}

	// worker is one life of a worker, with the runs given to it.
	worker struct {
		info WorkerInfo
		// listed is whether the registry has the worker.
		listed bool
		// tasks are those with a run here, the longest first.
		tasks []*task
		// cpu, memory and gpu are promised to runs; fillers count in fillerCPU only, also
		// those that are slowed: a run that stands still is to go on soon.
		cpu, memory, gpu int64
		fillerCPU        int64
		// serving counts the tasks with a latency objective, servingCPU what they are
		// promised.
		serving    int
		servingCPU int64
		// inherits is set until a report, or the end of its lease, shows which runs of
		// a former leader the worker has.
		inherits bool
		// lost is set when the lease surely ran out with no contact.
		lost bool
		// silent is since when calls have failed; 0 while they succeed.
		silent clock.Millis
		// absent is whether nothing listened at the worker's address at the last call.
		absent bool
		// leaseEnd is when every run is surely over unless the lease is extended.
		leaseEnd clock.Millis
		// seen is the highest end taken in; acked the highest one stored.
		seen, acked int64
		// failures grows with each failed run and shrinks with each done one.
		failures float64
		// failedAt is when the last run failed.
		failedAt clock.Millis
		// leavesAt is the earliest time at which a draining worker leaves.
		leavesAt clock.Millis
		// probedAt is when a quarantined worker last got a run.
		probedAt clock.Millis
		// blockedUntil keeps new runs away after a refusal.
		blockedUntil clock.Millis
		// clockOffset is the worker's clock less ours.
		clockOffset clock.Millis
		clockKnown  bool
		// pacedAt is when the fillers of the worker were last paced.
		pacedAt clock.Millis
		// groups are the serving tasks by step, and overdue is whether one is over its
		// objective; both are valid while grouped is set.
		groups  []servingGroup
		grouped bool
		overdue bool
		// fillerLeftAt is when a filler last left.
		fillerLeftAt clock.Millis
		// due is whether the worker's machine is to go down for its upkeep, and upkeep
		// whether that is under way, so that nothing may start here.
		due, upkeep bool
		// told is the highest acknowledged end that the worker has heard of.
		told int64
	}
)

const (
	// servingUse is the mean use of serving tasks as a share of what they are
	// promised; their load on the users' sheets swings around 0.42.
	servingUse = 0.45
	// fillShare bounds the expected use of a worker with fillers. Above it the tail
	// of the serving tasks rises steeply.
	fillShare = 0.95
)

func (w *worker) hasLabel(l string) bool { return l == "" || slices.Contains(w.info.Labels, l) }

func (w *worker) add(t *task) {
	if slices.Contains(w.tasks, t) {
		return
	}
	w.tasks = append(w.tasks, t)
	w.grouped = false
	w.charge(t, 1)
}

func (w *worker) remove(t *task) {
	i := slices.Index(w.tasks, t)
	if i < 0 {
		return
	}
	w.tasks = slices.Delete(w.tasks, i, i+1)
	w.grouped = false
	w.charge(t, -1)
}

func (w *worker) charge(t *task, sign int64) {
	s := t.spec()
	w.memory += sign * s.Memory
	w.gpu += sign * s.GPU
	if s.Filler {
		w.fillerCPU += sign * s.CPU
	} else {
		w.cpu += sign * s.CPU
	}
	if s.Objective > 0 {
		w.serving += int(sign)
		w.servingCPU += sign * s.CPU
	}
}

// fits reports whether a task of step s has room.
func (w *worker) fits(s *Step) bool {
	if w.memory+s.Memory > w.info.Memory || w.gpu+s.GPU > w.info.GPU {
		return false
	}
	if s.Filler {
		return w.fillerCPU == 0 || float64(w.expected()+s.CPU) <= fillShare*float64(w.info.CPU)
	}
	return w.cpu+s.CPU <= w.info.CPU
}

// expected returns the processor use to be expected of the worker's tasks.
func (w *worker) expected() int64 {
	return w.cpu - w.servingCPU + int64(servingUse*float64(w.servingCPU)) + w.fillerCPU
}
