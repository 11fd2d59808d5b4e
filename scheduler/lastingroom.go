package scheduler

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// lastingStarts counts the starts of long-running tasks since the last summary line.
	lastingStarts struct {
		// first counts first runs, again those of tasks that have lost one.
		first, again int
		// overtaking counts those on workers that had room for a task of an earlier period.
		overtaking int
	}

	// waitCounts counts the workers by what keeps them from running a long-running task.
	waitCounts struct {
		exclusions [exclusionCount]int
		room       roomCounts
	}

	// roomCounts counts the available workers by the room that they lack for a long-running task.
	roomCounts struct {
		// cpu, memory and gpu count the workers that lack this resource only, several those that lack
		// more than one.
		cpu, memory, gpu, several int
		// withoutFillers and withoutFinite count the workers that lack room and would not without their
		// fillers, and without all of their runs that end by themselves.
		withoutFillers, withoutFinite int
		// reserved counts the workers that are reserved for long-running tasks, forStep those for tasks
		// of the same step.
		reserved, forStep int
		// since is since when the first of these is reserved for the step, without a break.
		since clock.Millis
	}
)

// noteLastingStart counts the start of a long-running task on a worker, before the worker has the run.
func (s *Scheduler) noteLastingStart(t *task, w *worker) {
	if !t.spec().LongRunning || t.spec().Gang {
		return
	}
	c := &s.waits.starts
	if t.attempt == 0 {
		c.first++
	} else {
		c.again++
	}
	if s.overtakes(t, w) {
		c.overtaking++
	}
}

// overtakes reports whether a worker has room for another long-running task, of an earlier period and no
// lower priority.
func (s *Scheduler) overtakes(t *task, w *worker) bool {
	period, priority := t.waitPeriod(), t.job().spec.Queue.Priority
	for i := range s.waits.demands {
		d := &s.waits.demands[i]
		if d.rank.priority > priority || d.rank.priority == priority && d.rank.waitPeriod >= period {
			return false
		}
		// The tasks of a demand are placed in their order, so that one waits if the last one does.
		if d.rank.waitPeriod >= period || len(d.tasks) == 0 || d.tasks[len(d.tasks)-1].state != pending {
			continue
		}
		if o := d.tasks[len(d.tasks)-1]; !o.spec().Gang && s.canRun(o, o.spec(), w, s.tolerance(o)) {
			return true
		}
	}
	return false
}

// countRoom counts the available workers by the room that they lack for a long-running task.
func (s *Scheduler) countRoom(t *task, now clock.Millis) roomCounts {
	var c roomCounts
	step := t.spec()
	for _, w := range s.workers {
		if w.info.Service != t.job().spec.Queue.Service || !w.hasLabel(step.Label) || s.unavailability(w, now) != notExcluded {
			continue
		}
		c.addLack(w, step)
		if !s.isReservedForLasting(w) {
			continue
		}
		c.reserved++
		if o := w.reservedFor; o.occurrence == t.occurrence && o.step == t.step {
			c.forStep++
			if c.since == 0 || w.reservedSince < c.since {
				c.since = w.reservedSince
			}
		}
	}
	return c
}

func (c *roomCounts) addLack(w *worker, step *Step) {
	if w.fits(step) {
		return
	}
	cpu, memory, gpu := !step.Filler && w.cpu+step.CPU > w.info.CPU, w.memory+step.Memory > w.info.Memory, w.gpu+step.GPU > w.info.GPU
	switch {
	case cpu && !memory && !gpu:
		c.cpu++
	case memory && !cpu && !gpu:
		c.memory++
	case gpu && !cpu && !memory:
		c.gpu++
	default:
		c.several++
	}
	var fillers, finite resourceSize
	for _, t := range w.tasks {
		switch o := t.spec(); {
		case o.LongRunning:
		case o.Filler:
			fillers = fillers.plus(o.held())
			finite = finite.plus(o.held())
		default:
			finite = finite.plus(o.held())
		}
	}
	need, free := step.held().size(), w.free()
	if need.Fits(free.Add(fillers.size())) {
		c.withoutFillers++
	}
	if need.Fits(free.Add(finite.size())) {
		c.withoutFinite++
	}
}

// fields returns the counts as fields of a line about the wait of a task.
func (c *roomCounts) fields(t *task, now clock.Millis) []logger.Field {
	step := t.spec()
	fs := []logger.Field{
		logger.Int("millicores", step.CPU), logger.Int("memory-mib", step.Memory),
		logger.Int("lacking-cpu", int64(c.cpu)), logger.Int("lacking-memory", int64(c.memory)), logger.Int("lacking-several", int64(c.several)),
		logger.Int("fits-without-fillers", int64(c.withoutFillers)), logger.Int("fits-without-finite", int64(c.withoutFinite)),
		logger.Int("reserved-lasting", int64(c.reserved)), logger.Int("reserved-for-step", int64(c.forStep)),
	}
	if c.gpu > 0 {
		fs = append(fs, logger.Int("lacking-gpu", int64(c.gpu)))
	}
	if c.since != 0 {
		fs = append(fs, logger.Int("reserved-for-ms", int64(now-c.since)))
	}
	if t.retryAt > now {
		fs = append(fs, logger.Int("retry-in-ms", int64(t.retryAt-now)))
	}
	return fs
}

// freeCPU returns the processors that are free in total on the available workers, in thousandths.
func (s *Scheduler) freeCPU(now clock.Millis) int64 {
	free := int64(0)
	for _, w := range s.workers {
		if s.unavailability(w, now) == notExcluded {
			free += max(w.info.CPU-w.cpu, 0)
		}
	}
	return free
}
