package scheduler

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

const (
	// stallTimeout is how long a run may report the same progress; the percentage of the
	// longest task in the customers' specification rises fifteen times within it.
	stallTimeout = 900 * clock.Millis(1)
	// fillerStallTimeout is the timeout for fillers, which may get no processor time for
	// a while.
	fillerStallTimeout = 3 * clock.Second
	// maxWorkerStalls is the number of runs of a task that may stall before the cause is taken to be
	// the task: more do not count against their workers.
	maxWorkerStalls = 2
	// stallScore is the least failure score of a worker on which a run has stalled. It is
	// above quarantineScore, so one stalled run quarantines the worker.
	stallScore = 2
)

// moveStalledRuns stops stalled runs, so that they start again elsewhere.
func (s *Scheduler) moveStalledRuns() {
	now := s.now()
	for _, w := range s.sortedWorkers() {
		for _, t := range w.tasks {
			if t.stalled && t.state == running && !t.stopping && w.silentSince == 0 && !t.spec().Gang {
				s.moveStalledRun(t, w, now)
			}
		}
	}
}

// updateProgress applies the progress of a run, in percent, that a worker has reported when its clock
// showed now. By this daemon's clock, a report that is taken up late would look like a stalled run.
func (t *task) updateProgress(percent int, now clock.Millis) {
	limit := stallTimeout
	if t.spec().Filler {
		limit = fillerStallTimeout
	}
	// A task that stalls wherever it runs gets more time with each run.
	limit <<= min(t.stalls, maxBackoffDoublings)
	switch {
	case t.progressedAt == 0, percent != t.percent, t.spec().Filler && t.pace < 100:
		t.percent, t.progressedAt, t.stalled = percent, now, false
		if percent == 100 {
			t.stalls = 0
		}
	case percent < 100 && now-t.progressedAt > limit:
		t.stalled = true
	}
}

func (s *Scheduler) moveStalledRun(t *task, w *worker, now clock.Millis) {
	s.emit(logger.RunStalled, logger.String("task", t.name().String()), logger.Int("attempt", int64(t.attempt)), logger.String("worker", w.info.ID),
		logger.Int("percent", int64(t.percent)), logger.Int("since-ms", int64(now-t.confirmedAt)))
	if t.stalls++; t.stalls <= maxWorkerStalls {
		w.failures = max(w.failures, stallScore)
		w.failedAt = now
	}
	t.avoidWorker = w.info.ID
	s.stop(t)
}
