package scheduler

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// crash is the end of a worker process that was not announced, and of which another
	// process at its address or under its ID is the proof. A worker that is only silent has
	// not crashed.
	crash struct {
		// at is when the process was first found not to answer, provenAt when its successor
		// answered at the address.
		at, provenAt clock.Millis
		address      string
		// onTrial is whether a suspect was on trial there, which explains the crash.
		onTrial bool
	}

	// loss is what is known of the crash of a worker.
	loss struct {
		// at is when the process was first found not to answer, now when it was proven to have
		// ended.
		at, now clock.Millis
		// unsettled is the number of tasks that may have been starting there.
		unsettled int
		// commonCause is whether many workers have ended at the same time.
		commonCause bool
		// flapping is whether the process before had crashed too, a moment earlier.
		flapping bool
	}

	// evidence is what a crash says of a task that the worker had.
	evidence struct {
		// crashed is whether the crash counts for the task.
		crashed bool
		// weight is added to the suspicion of the task.
		weight int
		// kind names the evidence in the log.
		kind string
	}
)

const (
	// proofTime is how long after the confirmation of its start a run has to be listed by
	// its worker before it counts as settled. A task that crashes the workers which start
	// it does so within tens of milliseconds.
	proofTime = 250 * clock.Millis(1)
	// promptCrashTime is how long after its start was ordered the crash of a task on trial is noticed,
	// with a worker that answers within milliseconds.
	promptCrashTime = 500 * clock.Millis(1)
	// coincidenceWindow is the time within which the ends of several workers count as
	// simultaneous: that between two calls to a worker that does not answer.
	coincidenceWindow = 500 * clock.Millis(1)
	// commonCauseWorkers is the number of other workers that end at the same time, and have no
	// suspect on trial, from which a cause outside the tasks is more likely: a rack or a data
	// centre without power.
	commonCauseWorkers = 4
	// minRestartTime is the least time from the crash of a process to the first answer of its successor.
	minRestartTime = clock.Second
	// flappingTime is the time after the restart of a worker within which another crash may well be its
	// own fault.
	flappingTime = 2 * clock.Second
	// crashRetention is how long a crash is kept for the comparison with others. A worker is
	// proven to have crashed when its successor answers, some seconds later.
	crashRetention = 30 * clock.Second
)

// Weights of evidence, to be compared with isolationSuspicion and convictionSuspicion.
const (
	// weakWeight: the crash may well have another cause.
	weakWeight = 1
	// sharedWeight: the task was one of several that had not settled.
	sharedWeight = 2
	// soleWeight: no other task had not settled.
	soleWeight = 3
)

// WithOnCrash sets a function that is called for each worker that crashed, with the number of runs
// that it had.
func WithOnCrash(f func(runs int)) Option { return func(s *Scheduler) { s.onCrash = f } }

// isEndPlanned reports whether a worker process was to end: it is draining, or its machine is to go
// down for upkeep.
func (w *worker) isEndPlanned() bool { return w.info.Draining || w.upkeepStarted }

// noteCrash must be called when it is proven that a worker process has ended, while its runs are
// still assigned to it. It returns the tasks to be given up, which the caller has to pass to giveUp
// once the runs are released.
func (s *Scheduler) noteCrash(w *worker, reason string) []*task {
	if w.isEndPlanned() {
		return nil
	}
	now, at := s.now(), w.silentSince
	if at == 0 {
		at = now
	}
	simultaneous := s.countSimultaneous(w, at)
	flapping := s.hasCrashedLately(w, at)
	s.rememberCrash(crash{at: at, provenAt: now, address: w.info.Address, onTrial: w.isTrying()}, now)
	unsettled := s.unsettledTasks(w, now)
	s.onCrash(len(w.tasks))
	s.emit(logger.WorkerCrashed, logger.String("worker", w.info.ID), logger.Int("born", w.info.Born), logger.String("reason", reason),
		logger.Int("runs", int64(len(w.tasks))), logger.Int("unsettled", int64(len(unsettled))), logger.Int("doubtful", int64(len(w.doubtful))),
		logger.Int("silent-ms", int64(now-at)), logger.Int("simultaneous", int64(simultaneous)))
	var convicted []*task
	commonCause := simultaneous >= commonCauseWorkers
	for _, t := range w.tasks {
		if s.applyEvidence(t, w, t.crashEvidence(w, loss{at: at, now: now, unsettled: len(unsettled), commonCause: commonCause, flapping: flapping})) {
			convicted = append(convicted, t)
		}
	}
	for _, t := range s.doubtfulTasks(w) {
		// Its start may have been carried out late, or never.
		if s.applyEvidence(t, w, evidence{crashed: !commonCause, weight: weakWeight, kind: "doubtful"}) {
			convicted = append(convicted, t)
		}
	}
	return convicted
}

// noteFormerCrash adds what it says of a task that the process which had its run ended before this term,
// and reports whether the task has to be given up. That another process of worker w has started is the
// proof; whether the end was planned is not known.
func (s *Scheduler) noteFormerCrash(t *task, w *worker) bool {
	e := evidence{crashed: true, weight: weakWeight, kind: "before-term"}
	if t.isSuspect() {
		e.weight = sharedWeight
	}
	return s.applyEvidence(t, w, e)
}

// unsettledTasks returns the tasks that may have been starting on a worker.
func (s *Scheduler) unsettledTasks(w *worker, now clock.Millis) []*task {
	ts := s.doubtfulTasks(w)
	for _, t := range w.tasks {
		if !t.settled && !t.isLeftOver() && !t.isTooNew(now) {
			ts = append(ts, t)
		}
	}
	return ts
}

// doubtfulTasks returns the tasks without a settled run whose former starts a worker may still carry
// out.
func (s *Scheduler) doubtfulTasks(w *worker) []*task {
	var ts []*task
	for _, d := range w.doubtful {
		if t := s.findTask(d.task.String()); t != nil && t.worker != w && t.state != done && !t.settled {
			ts = append(ts, t)
		}
	}
	return ts
}

// isLeftOver reports whether a run is only still assigned to the successor of its worker until that
// has reported, and can't have been started there.
func (t *task) isLeftOver() bool {
	return t.state == placed && t.unresolvedSince != 0 && !t.unclear && t.ordersInFlight == 0
}

// isTooNew reports whether a run that its worker has not confirmed was assigned so lately that the
// process which has ended was gone before: the next one answers already.
func (t *task) isTooNew(now clock.Millis) bool {
	return t.state == placed && !t.inherited && now-t.placedAt < minRestartTime
}

// crashEvidence returns what the crash of worker w says of a task that it had.
func (t *task) crashEvidence(w *worker, l loss) evidence {
	tried := w.trial == t && w.isTrying()
	switch {
	case t.isLeftOver(), t.isTooNew(l.now):
		return evidence{}
	case t.settled:
		return evidence{crashed: !l.commonCause && l.at-t.confirmedAt < lateCrashTime, kind: "settled"}
	case w.isTrying() && !tried:
		// The trial explains the crash; what else ran here had settled before, also if this
		// leader has not seen it.
		return evidence{kind: "beside-a-trial"}
	case t.inherited:
		// The former leader may have known that the run had settled, but not if it was on trial.
		e := evidence{crashed: !l.commonCause || t.suspicion > 0, weight: weakWeight, kind: "inherited"}
		if tried && !l.commonCause {
			e.weight = sharedWeight
		}
		return e
	case t.state == placed:
		// The process may have ended before the start arrived.
		return evidence{crashed: !l.commonCause, weight: weakWeight, kind: "unconfirmed"}
	case tried && !l.commonCause && (l.flapping || l.at-t.placedAt > promptCrashTime):
		// The worker may have crashed by itself.
		return evidence{crashed: true, weight: sharedWeight, kind: "on-trial-in-doubt"}
	case tried && !l.commonCause:
		return evidence{crashed: true, weight: soleWeight, kind: "on-trial"}
	case l.commonCause:
		return evidence{crashed: true, weight: weakWeight, kind: "others-lost"}
	case l.unsettled == 1:
		return evidence{crashed: true, weight: soleWeight, kind: "sole"}
	default:
		return evidence{crashed: true, weight: sharedWeight, kind: "shared"}
	}
}

// countSimultaneous returns the number of other workers without a suspect on trial that stopped
// answering at about the same time, and have not answered since or have crashed.
func (s *Scheduler) countSimultaneous(w *worker, at clock.Millis) int {
	n := 0
	for _, o := range s.workers {
		if o != w && o.silentSince != 0 && !o.isTrying() && isSimultaneous(o.silentSince, at) {
			n++
		}
	}
	for _, c := range s.crashes {
		if !c.onTrial && isSimultaneous(c.at, at) {
			n++
		}
	}
	return n
}

func isSimultaneous(a, b clock.Millis) bool {
	return a-b <= coincidenceWindow && b-a <= coincidenceWindow
}

// hasCrashedLately reports whether a worker was restarted less than flappingTime before now, after a
// crash that no trial explains.
func (s *Scheduler) hasCrashedLately(w *worker, now clock.Millis) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool {
		return c.address == w.info.Address && !c.onTrial && now-c.provenAt < flappingTime
	})
}

// rememberCrash keeps a crash and drops those that are too old to compare.
func (s *Scheduler) rememberCrash(c crash, now clock.Millis) {
	s.crashes = append(slices.DeleteFunc(s.crashes, func(o crash) bool { return now-o.at >= crashRetention }), c)
}
