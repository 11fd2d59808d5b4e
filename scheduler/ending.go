package scheduler

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

const (
	// retryDelay is the time from a failed run of a task to its next one: two writes of a
	// record to the store.
	retryDelay = 20 * clock.Millis(1)
	// stopBackoff is how long a worker gets no new runs after a run was stopped there whose
	// end is not awaited: the platform's bound on a stop, and the delay of the order.
	stopBackoff = 600 * clock.Millis(1)
)

// endRun applies the end of the newest run of a task.
func (s *Scheduler) endRun(t *task, how Ending, checkpoint string) {
	w, j := t.worker, t.job()
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	if how != EndDone || t.spec().LongRunning {
		s.emit(logger.RunEnded, logger.String("task", t.name().String()), logger.Int("attempt", int64(t.attempt)),
			logger.String("how", string(how)), logger.String("worker", w.info.ID), logger.Int("percent", int64(t.percent)))
	}
	if how == EndDone || how == EndFailed {
		s.clearSuspicion(t)
		t.rejections = 0
	}
	if how == EndDone {
		s.learnRunTime(t)
	}
	if t.confirmedAt == 0 {
		// A run that has ended had begun, even if its start was not answered.
		t.confirmedAt = s.now()
	}
	s.release(t)
	s.markDirty(j)
	if j.phase.final() {
		t.state = pending
		return
	}
	switch {
	case how == EndDone && t.spec().LongRunning:
		// It starts again, as a gang once all its members have ended.
	case how == EndDone && t.spec().Gang:
		s.completeGang(t)
	case how == EndDone:
		w.failures /= 2
		s.completeTask(t)
	case how == EndFailed:
		s.recordFailure(t, w)
	}
}

// release removes a task from its worker and resets the state of its run.
func (s *Scheduler) release(t *task) {
	if t.worker != nil {
		t.markFillerLeft(s.now())
		t.worker.removeTask(t)
		s.searches.noteChange(t.worker)
	}
	switch {
	case t.state == placed && t.confirmedAt == 0 && t.waitedSince != 0:
		// The run has not begun, so the task has waited all the while.
		t.waitingSince = t.waitedSince
		if t.runEndedAt == 0 {
			t.runEndedAt = s.readingAt(t.waitedSince)
		}
	case t.hasRun():
		t.runEndedAt, t.job().runEndedAt = s.reading(), s.now()
	}
	t.worker, t.state, t.stopping, t.stopUnconfirmed, t.unresolvedSince, t.confirmedAt, t.overSince = nil, pending, false, false, 0, 0, 0
	t.percent, t.cpuUse, t.tailLatency, t.modelledAt = 0, 0, 0, 0
}

func (s *Scheduler) completeTask(t *task) {
	o := t.occurrence
	// The run that has ended may be an abandoned one.
	t.state, t.runEndedAt = done, s.reading()
	o.done[t.step]++
	if o.done[t.step] < t.spec().Count {
		return
	}
	o.remaining--
	if o.remaining > 0 {
		return
	}
	j := o.job
	j.doneCount++
	delete(j.occurrences, o.number)
	j.markDone(o.number)
	if j.doneCount == j.occurrenceCount() {
		s.finishJob(j, Completed)
	}
}

// completeByAbandonedRun marks a task, or its whole gang, as done because one of its abandoned
// runs has completed after all, and stops the newest runs.
func (s *Scheduler) completeByAbandonedRun(t *task) {
	if t.job().phase.final() {
		return
	}
	ts := []*task{t}
	if t.spec().Gang {
		ts = t.occurrence.steps[t.step]
	}
	s.markDirty(t.job())
	for _, m := range ts {
		if m.state != done {
			s.stopNeedlessRun(m)
			s.completeTask(m)
		}
	}
}

// stopNeedlessRun stops the newest run of a task that is done, if there is one.
func (s *Scheduler) stopNeedlessRun(t *task) {
	if t.hasRun() {
		s.immediate = append(s.immediate, s.newOrder(Stop, t))
		s.abandonNewestRun(t, true)
		// What is being stopped uses the worker's resources for a little longer.
		t.worker.blockedUntil = max(t.worker.blockedUntil, s.now()+stopBackoff)
	}
	s.release(t)
}

// completeGang marks all tasks of a gang as done when one of them has completed.
func (s *Scheduler) completeGang(t *task) {
	for _, m := range t.occurrence.steps[t.step] {
		if m.hasRun() {
			s.abandonNewestRun(m, false)
			s.release(m)
		}
	}
	for _, m := range t.occurrence.steps[t.step] {
		if m.state != done {
			s.completeTask(m)
		}
	}
}

func (s *Scheduler) recordFailure(t *task, w *worker) {
	j := t.job()
	w.failures++
	w.failedAt = s.now()
	t.avoidWorker = w.info.ID
	t.retryAt = s.now() + retryDelay
	if t.spec().LongRunning {
		return
	}
	t.failures++
	s.emit(logger.RunFailed, logger.String("task", t.name().String()), logger.Int("attempt", int64(t.attempt)),
		logger.Int("failures", int64(t.failures)), logger.String("worker", w.info.ID))
	if t.spec().Gang {
		for _, m := range t.occurrence.steps[t.step] {
			m.failures = t.failures
		}
	}
	if t.failures >= j.spec.Queue.MaxAttempts {
		s.finishJob(j, Failed)
	}
}
