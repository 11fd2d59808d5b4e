package scheduler

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

const (
	// stallAfter is how long a run may show no progress: the percentage of the longest
	// task of the sheets rises fifteen times in it.
	stallAfter = 900 * clock.Millis(1)
	// fillerStallAfter is that for fillers, which others may leave no processor time.
	fillerStallAfter = 3 * clock.Second
	// stallFailures is added to the failures of a worker on which a run stands still;
	// one is enough to keep new runs away.
	stallFailures = 2
)

// checkProgress moves runs away from workers on which they stand still.
func (s *Scheduler) checkProgress() {
	now := s.now()
	for _, w := range s.ordered() {
		for _, t := range w.tasks {
			if t.stalled && t.state == running && !t.stopping && w.silent == 0 && !t.spec().Gang {
				s.moveAway(t, w, now)
			}
		}
	}
}

// progress takes in the progress that a report shows.
func (t *task) progress(percent int, now clock.Millis) {
	limit := stallAfter
	if t.spec().Filler {
		limit = fillerStallAfter
	}
	switch {
	case percent != t.percent, t.spec().Filler && t.pace < 100:
		t.percent, t.progressed, t.stalled = percent, now, false
	case percent < 100 && now-t.progressed > limit:
		t.stalled = true
	}
}

func (s *Scheduler) moveAway(t *task, w *worker, now clock.Millis) {
	s.emit(logger.RunStalled, logger.String("task", t.name().String()), logger.Int("attempt", int64(t.attempt)), logger.String("worker", w.info.ID),
		logger.Int("percent", int64(t.percent)), logger.Int("since-ms", int64(now-t.confirmed)))
	w.failures = max(w.failures, stallFailures)
	w.failedAt = now
	t.avoid = w.info.ID
	s.stop(t)
}
