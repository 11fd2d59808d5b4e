package scheduler

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// crash is the end of a worker process that was not announced, and of which another
	// process at its address or under its ID is the proof. A worker that is only silent has
	// not crashed.
	crash struct {
		// at is when the process was first found not to answer.
		at clock.Millis
	}
)

const (
	// proofTime is how long after the confirmation of its start a run has to be listed by
	// its worker before it counts as settled. A task that crashes the workers which start
	// it does so within tens of milliseconds.
	proofTime = 250 * clock.Millis(1)
	// coincidenceWindow is the time within which the ends of several workers count as
	// simultaneous: that between two calls to a worker that does not answer.
	coincidenceWindow = 500 * clock.Millis(1)
	// crashRetention is how long a crash is kept for the comparison with others. A worker is
	// proven to have crashed when its successor answers, some seconds later.
	crashRetention = 30 * clock.Second
)

// WithOnCrash sets a function that is called for each worker that crashed, with the number of runs
// that it had.
func WithOnCrash(f func(runs int)) Option { return func(s *Scheduler) { s.onCrash = f } }

// isEndPlanned reports whether a worker process was to end: it is draining, or its machine is to go
// down for upkeep.
func (w *worker) isEndPlanned() bool { return w.info.Draining || w.upkeepStarted }

// noteCrash must be called when it is proven that a worker process has ended, while its runs are
// still assigned to it.
func (s *Scheduler) noteCrash(w *worker, reason string) {
	if w.isEndPlanned() {
		return
	}
	now, at := s.now(), w.silentSince
	if at == 0 {
		at = now
	}
	simultaneous := s.countSimultaneous(w, at)
	s.rememberCrash(crash{at: at}, now)
	unsettled := 0
	for _, t := range w.tasks {
		t.crashes++
		if !t.settled {
			unsettled++
		}
	}
	s.onCrash(len(w.tasks))
	s.emit(logger.WorkerCrashed, logger.String("worker", w.info.ID), logger.Int("born", w.info.Born), logger.String("reason", reason),
		logger.Int("runs", int64(len(w.tasks))), logger.Int("unsettled", int64(unsettled)), logger.Int("doubtful", int64(len(w.doubtful))),
		logger.Int("silent-ms", int64(now-at)), logger.Int("simultaneous", int64(simultaneous)))
}

// countSimultaneous returns the number of other workers that stopped answering at about the same
// time, and have not answered since or have crashed.
func (s *Scheduler) countSimultaneous(w *worker, at clock.Millis) int {
	n := 0
	for _, o := range s.workers {
		if o != w && o.silentSince != 0 && isSimultaneous(o.silentSince, at) {
			n++
		}
	}
	for _, c := range s.crashes {
		if isSimultaneous(c.at, at) {
			n++
		}
	}
	return n
}

func isSimultaneous(a, b clock.Millis) bool {
	return a-b <= coincidenceWindow && b-a <= coincidenceWindow
}

// rememberCrash keeps a crash and drops those that are too old to compare.
func (s *Scheduler) rememberCrash(c crash, now clock.Millis) {
	kept := s.crashes[:0]
	for _, o := range s.crashes {
		if now-o.at < crashRetention {
			kept = append(kept, o)
		}
	}
	s.crashes = append(kept, c)
}
