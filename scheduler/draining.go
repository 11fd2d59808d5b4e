package scheduler

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

// maxMovesPerSweep bounds the runs that one sweep moves, so that they occupy their new
// places before the next ones are moved.
const maxMovesPerSweep = 4

// moveOffDraining stops runs on draining workers that would not end before the worker
// leaves, if another worker has room for them: runs of long-running tasks, and runs that
// can resume from a checkpoint.
func (s *Scheduler) moveOffDraining() {
	now := s.now()
	var ws []*worker
	moves := 0
	for _, w := range s.sortedWorkers() {
		if !w.info.Draining || w.silentSince != 0 || w.unreconciled {
			continue
		}
		for _, t := range w.tasks {
			if t.state != running || t.stopping || t.spec().Gang || !t.outlastsDrain(w, now) {
				continue
			}
			if ws == nil {
				ws = s.availableWorkers(now)
			}
			if s.hasRoom(t, ws) {
				s.emit(logger.RunRelocated, logger.String("task", t.name().String()), logger.String("worker", w.info.ID), logger.String("why", "worker leaves"))
				s.stop(t)
				if moves++; moves == maxMovesPerSweep {
					return
				}
			}
		}
	}
}

// outlastsDrain reports whether a run is expected to be running still when its worker
// leaves, extrapolating from its progress.
func (t *task) outlastsDrain(w *worker, now clock.Millis) bool {
	switch {
	case t.spec().LongRunning:
		return true
	case !t.spec().Checkpointing || t.percent == 0:
		return false
	default:
		left := (now - t.confirmedAt) * clock.Millis(100-t.percent) / clock.Millis(t.percent)
		return now+left > w.leavesAt
	}
}
