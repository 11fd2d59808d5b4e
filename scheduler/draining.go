package scheduler

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

const (
	// maxMovesPerSweep bounds the runs that one sweep moves, so that they occupy their new
	// places before the next ones are moved.
	maxMovesPerSweep = 4
	// minAbsences is the number of machine lists in a row that must lack a worker before it
	// counts as gone. The pages of a list are not a snapshot, so one list may lack a machine
	// that is up.
	minAbsences = 2
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
		return left > w.drainLeft(now)
	}
}

// drainLeft returns the least time until a draining worker leaves. It goes by the worker's clock, as
// the entry of the registry may have been written seconds before it was read, if the entry has a
// reading of it.
func (w *worker) drainLeft(now clock.Millis) clock.Millis {
	if w.info.Clock == 0 {
		return w.info.Remaining
	}
	return w.info.Clock + w.info.Remaining - w.leastClock(now)
}

// seemsDeparted reports whether a worker with runs was draining, has left the registry, and
// refuses connections. A network partition looks the same.
func (w *worker) seemsDeparted() bool {
	return w.info.Draining && !w.registered && w.connRefused && len(w.tasks) > 0
}

// HasDeparting reports whether a worker seems to have left. A list of the machines can
// confirm it before the worker's lease expires.
func (s *Scheduler) HasDeparting() bool {
	for _, w := range s.workers {
		if w.seemsDeparted() {
			return true
		}
	}
	return false
}

// RemoveDeparted removes the workers that seem to have left and that no machine runs: their
// machine is not up, or minAbsences lists in a row lack them.
func (s *Scheduler) RemoveDeparted(ms []Machine) {
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
			w.absences = 0
			continue
		case !down[id]:
			w.absences++
		}
		if down[id] || w.absences >= minAbsences {
			s.dropWorker(w, "it has drained and its machine does not run it")
		}
	}
}
