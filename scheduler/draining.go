package scheduler

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

// movesPerSweep bounds the runs that are moved at a time, so that those before have
// their new rooms when the next ones look for theirs.
const movesPerSweep = 4

// leave moves runs off workers that are about to leave: those that last, and those
// with a checkpoint that would not end in time.
func (s *Scheduler) leave() {
	now := s.now()
	var ws []*worker
	moves := 0
	for _, w := range s.ordered() {
		if !w.info.Draining || w.silent != 0 || w.inherits {
			continue
		}
		for _, t := range w.tasks {
			if t.state != running || t.stopping || t.spec().Gang || !t.outlasts(w, now) {
				continue
			}
			if ws == nil {
				ws = s.usable(now)
			}
			if s.hasRoom(t, ws) {
				s.emit(logger.RunRelocated, logger.String("task", t.name().String()), logger.String("worker", w.info.ID), logger.String("why", "worker leaves"))
				s.stop(t)
				if moves++; moves == movesPerSweep {
					return
				}
			}
		}
	}
}

// outlasts reports whether a run would still be at work when its worker leaves.
func (t *task) outlasts(w *worker, now clock.Millis) bool {
	switch {
	case t.spec().LongRunning:
		return true
	case !t.spec().Checkpointing || t.percent == 0:
		return false
	default:
		left := (now - t.confirmed) * clock.Millis(100-t.percent) / clock.Millis(t.percent)
		return now+left > w.leavesAt
	}
}
