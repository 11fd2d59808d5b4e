package scheduler

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

const (
	// maxMovesPerSweep bounds the runs that one sweep moves, so that they occupy their new
	// places before the next ones are moved.
	maxMovesPerSweep = 4
	// minListsWithout is the number of machine lists in a row that a machine must be missing
	// from to count as removed. The pages of one list are no snapshot, so it may lack a
	// machine that runs.
	minListsWithout = 2
)

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

// seemsDeparted reports whether a worker that was draining has left the registry, nothing
// listens at its address, and it still has runs. A network partition looks the same.
func (w *worker) seemsDeparted() bool {
	return w.info.Draining && !w.registered && w.connRefused && len(w.tasks) > 0
}

// HasDeparting reports whether a worker seems to have left, which a list of the machines
// can confirm before its lease expires.
func (s *Scheduler) HasDeparting() bool {
	for _, w := range s.workers {
		if w.seemsDeparted() {
			return true
		}
	}
	return false
}

// removeDeparted removes the workers that seem to have left and whose machine does not run
// them: it is listed in another state, or missing from minListsWithout lists in a row.
func (s *Scheduler) removeDeparted(ms []Machine) {
	up, down := map[string]bool{}, map[string]bool{}
	for _, m := range ms {
		if m.Up {
			up[m.Worker] = true
		} else {
			down[m.Worker] = true
		}
	}
	for id, w := range s.workers {
		switch {
		case !w.seemsDeparted() || up[id] || len(ms) == 0:
			w.listsWithout = 0
			continue
		case !down[id]:
			w.listsWithout++
		}
		if down[id] || w.listsWithout >= minListsWithout {
			s.dropWorker(w, "it has drained and its machine does not run it")
		}
	}
}
