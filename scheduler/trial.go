package scheduler

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

const (
	// emptyingTime is how long a worker that is kept for a trial gets no other runs before the
	// suspect starts beside those that it still has.
	emptyingTime = 1500 * clock.Millis(1)
	// maxTrialWait bounds how long a suspect waits for a worker of its own. A long-running task
	// has to run again within nine seconds, of which the proof of a crash takes more than three.
	maxTrialWait = 3 * clock.Second
	// trialShare bounds the workers that trials may take at a time, as a share of those available.
	trialShare = 0.1
	// lastingRunCost is the cost of losing the run of a long-running task in runs of other tasks.
	lastingRunCost = 4
	// flappingCost is the cost of a trial on a worker that has just crashed, of which another crash
	// would say less, in runs.
	flappingCost = 6
	// unsettledRunCost is the cost of a run that would make the result of a trial unclear.
	unsettledRunCost = 100
	// refusedCost is the cost of a worker that has refused the suspect, which is tried after all others.
	refusedCost = 1_000_000
)

// isOnTrial reports whether a suspect has a worker for itself, or is to get it.
func (w *worker) isOnTrial() bool {
	t := w.trial
	return t != nil && t.isSuspect() && (t.worker == w || t.state == pending && t.trialWorker == w && !t.job().phase.final())
}

// isTrying reports whether a suspect has started on the worker, or may have, and has not settled.
func (w *worker) isTrying() bool { return w.isOnTrial() && w.trial.worker == w && !w.trial.settled }

// placeTrials places the suspects among the tasks of the demands, each on a worker of its own. It
// removes them from the demands, except those for which there is no room, and returns the workers that
// are left for other tasks.
func (s *Scheduler) placeTrials(ds []demand, ws []*worker, now clock.Millis) []*worker {
	trials, counted := 0, false
	for i := range ds {
		d := &ds[i]
		if d.occurrence.job.spec.Steps[d.step].Gang || !slices.ContainsFunc(d.tasks, (*task).isSuspect) || d.occurrence.lacksTickets(d.step, now) {
			continue
		}
		if !counted {
			trials, counted = s.countTrials(), true
		}
		d.tasks = slices.DeleteFunc(d.tasks, func(t *task) bool {
			return t.isSuspect() && (s.startsLeft <= 0 || s.placeTrial(t, ws, &trials, now))
		})
	}
	if !counted {
		return ws
	}
	return slices.DeleteFunc(slices.Clone(ws), (*worker).isOnTrial)
}

// placeTrial starts a suspect on the worker that is kept for it, or keeps one for it. It returns false
// if no worker has room, or the task has to wait for the cap of its tenant. trials is the number of
// workers in use for trials. A suspect that has waited for maxTrialWait waits neither for other trials
// nor for an empty worker.
func (s *Scheduler) placeTrial(t *task, ws []*worker, trials *int, now clock.Millis) bool {
	if !s.admitsStart(t.job().spec.Tenant, t.spec().Size()) {
		// The demand is noted as waiting when its turn comes.
		t.trialWorker = nil
		return false
	}
	w, overdue := t.trialWorker, now-t.waitingSince >= maxTrialWait
	if !s.keepsTrial(w, t, now) {
		t.trialWorker = nil
		if !overdue && *trials >= max(1, int(trialShare*float64(len(ws)))) {
			return true
		}
		if w = s.cheapestWorker(t, ws); w == nil {
			return false
		}
		*trials++
		w.trial, t.trialWorker, t.trialSince = t, w, now
		if len(w.tasks) > 0 {
			s.emit(logger.TrialWaits, logger.String("task", t.name().String()), logger.String("worker", w.info.ID), logger.Int("runs", int64(len(w.tasks))))
		}
	}
	if len(w.tasks) == 0 || overdue || now-t.trialSince >= emptyingTime {
		s.assign(t, w, now)
	}
	return true
}

// keepsTrial reports whether worker w is kept for a suspect and can still start it.
func (s *Scheduler) keepsTrial(w *worker, t *task, now clock.Millis) bool {
	return w != nil && w.trial == t && s.workers[w.info.ID] == w && s.stateExclusion(w, now) == notExcluded &&
		!s.isKeptForLasting(w, t.spec()) && s.admitted(t, w) && s.canRun(t, t.spec(), w, s.tolerance(t))
}

// countTrials returns the number of workers that answer and are in use for trials.
func (s *Scheduler) countTrials() int {
	n := 0
	for _, w := range s.workers {
		if w.silentSince == 0 && w.isOnTrial() {
			n++
		}
	}
	return n
}

// cheapestWorker returns the worker on which a suspect would do the least harm, or nil if none is
// suitable.
func (s *Scheduler) cheapestWorker(t *task, ws []*worker) *worker {
	var best *worker
	lowest, step, tolerance, now := 0, t.spec(), s.tolerance(t), s.now()
	s.searchOffset++
	for i := range ws {
		w := ws[(i+s.searchOffset)%len(ws)]
		if w.isOnTrial() || s.isKeptForLasting(w, step) || !s.admitted(t, w) || !s.canRun(t, step, w, tolerance) {
			continue
		}
		c := w.lossCost()
		if s.hasCrashedLately(w, now) {
			c += flappingCost
		}
		if t.wasRefusedBy(w) {
			c += refusedCost
		}
		if best == nil || c < lowest {
			best, lowest = w, c
		}
	}
	return best
}

// isKeptForLasting reports whether this or the last round of placing has reserved a worker for a
// long-running task, so that a trial of a task of another kind would take its room. Trials are placed
// before a round reserves workers.
func (s *Scheduler) isKeptForLasting(w *worker, step *Step) bool {
	return !step.LongRunning && w.reservation == nil && w.reservedIn > 0 && w.reservedIn >= s.round-1 && !w.fitsBesideReserved(step)
}

// lossCost returns what a crash of the worker would cost, in runs.
func (w *worker) lossCost() int {
	cost := 0
	for _, t := range w.tasks {
		switch {
		case !t.settled:
			cost += unsettledRunCost
		case t.spec().LongRunning:
			cost += lastingRunCost
		default:
			cost++
		}
	}
	return cost
}
