package scheduler

import "galenawharf.example/galenawharf/clock"

// exclusion is the reason why a worker can't get a run of a task.
type exclusion int

const (
	notExcluded exclusion = iota
	// Properties of the worker for any task.
	notRegistered
	draining
	leaseExpired
	silent
	// notHeard: it may have runs of a former leader, or of its former process, and has not
	// reported since.
	notHeard
	// stopsUnconfirmed: it has to confirm the stops of its doubtful runs first.
	stopsUnconfirmed
	// silenceRecorded: a stored record says that its lease is not extended.
	silenceRecorded
	inUpkeep
	// backingOff: it has refused a run or was not reached a moment ago.
	backingOff
	evacuated
	quarantined
	// onTrial: it is kept for a task that may crash its workers.
	onTrial
	// Properties of the worker for one task.
	otherService
	otherLabel
	noRoom
	ticketDenied
	perWorkerLimit
	// otherRack: the task still waits for a worker in the rack of its data.
	otherRack
	// probing: it is quarantined, and its one probe run has started.
	probing
	interfering
	noTicket
	// reserved: it is kept for a task that needs more room.
	reserved
	exclusionCount
)

var exclusionNames = [exclusionCount]string{
	notExcluded: "suitable", notRegistered: "not-registered", draining: "draining", leaseExpired: "lease-expired", silent: "silent",
	notHeard: "not-heard", stopsUnconfirmed: "stops-unconfirmed", silenceRecorded: "silence-recorded", inUpkeep: "upkeep", backingOff: "backoff", evacuated: "evacuated",
	quarantined: "quarantined", onTrial: "on-trial", otherService: "other-service", otherLabel: "other-label", noRoom: "no-room", ticketDenied: "ticket-denied",
	perWorkerLimit: "per-worker-limit", otherRack: "other-rack", probing: "probing", interfering: "interference", noTicket: "no-ticket",
	reserved: "reserved",
}

// String returns the reason as it appears in the log.
func (e exclusion) String() string { return exclusionNames[e] }

// unavailability returns why a worker may not get a new run of any task.
func (s *Scheduler) unavailability(w *worker, now clock.Millis) exclusion {
	if e := s.stateExclusion(w, now); e != notExcluded {
		return e
	}
	if w.isOnTrial() {
		return onTrial
	}
	return notExcluded
}

// stateExclusion returns why the state of a worker excludes it from any new run, except that it is on
// trial.
func (s *Scheduler) stateExclusion(w *worker, now clock.Millis) exclusion {
	switch {
	case !w.registered:
		return notRegistered
	case w.info.Draining:
		return draining
	case w.leaseExpired:
		return leaseExpired
	case w.silentSince != 0 || w.unheard:
		return silent
	case w.unreconciled:
		return notHeard
	case len(w.doubtful) > 0:
		return stopsUnconfirmed
	case s.isRecordedSilent(w):
		return silenceRecorded
	case w.upkeepStarted:
		return inUpkeep
	case now < w.blockedUntil:
		return backingOff
	case s.evacuatedDataCentres[w.info.DataCentre]:
		return evacuated
	case w.failures >= quarantineScore && now-w.failedAt < quarantineTime:
		return quarantined
	default:
		return notExcluded
	}
}

// unsuitability returns why a worker does not meet the requirements of a task or has no room
// for it.
func (s *Scheduler) unsuitability(t *task, step *Step, w *worker, tolerance float64) exclusion {
	switch {
	case w.info.Service != t.job().spec.Queue.Service:
		return otherService
	case !w.hasLabel(step.Label):
		return otherLabel
	case !w.fits(step):
		return noRoom
	case t.denied(w):
		return ticketDenied
	case step.PerWorker > 0 && w.countOfStep(t) >= step.PerWorker:
		return perWorkerLimit
	case step.Rack != "" && !w.hasLabel(step.Rack) && s.racks[step.Rack] && !s.mayRunRemote(t, step):
		return otherRack
	case w.isProbing():
		// A quarantined worker gets one probe run at a time.
		return probing
	case !step.Filler || !s.servingOverObjective(w) && s.interference(step, w) <= tolerance:
		return notExcluded
	default:
		return interfering
	}
}

// reservedForOthers reports whether the current round of placing reserves a worker for another task, so
// that tasks which would take its room are not placed. Long-running tasks are held up only by others of
// their kind.
func (s *Scheduler) reservedForOthers(t *task, step *Step, w *worker) bool {
	switch r := w.reservation; {
	case w.reservedIn != s.round:
		return false
	case r == nil:
		return !w.fitsBesideReserved(step)
	default:
		return r.task != t && !step.LongRunning && !w.fitsBesideReserved(step) && (step.Filler || s.now()+s.forecast(t, w) > r.at)
	}
}

// isReservedForLasting reports whether the current round of placing reserves a worker for a
// long-running task.
func (s *Scheduler) isReservedForLasting(w *worker) bool {
	return w.reservedIn == s.round && w.reservation == nil
}

// countExclusions returns how many workers each reason excludes from getting a task. Each worker
// counts once; that it is of another kind than the task needs comes before its own state.
func (s *Scheduler) countExclusions(t *task, now clock.Millis) *[exclusionCount]int {
	counts := &[exclusionCount]int{}
	step, tolerance := t.spec(), s.tolerance(t)
	for _, w := range s.workers {
		counts[s.exclusionOf(t, step, w, tolerance, now)]++
	}
	return counts
}

func (s *Scheduler) exclusionOf(t *task, step *Step, w *worker, tolerance float64, now clock.Millis) exclusion {
	unsuitable := s.unsuitability(t, step, w, tolerance)
	if unsuitable == otherService || unsuitable == otherLabel {
		return unsuitable
	}
	if e := s.unavailability(w, now); e != notExcluded {
		return e
	}
	switch {
	case unsuitable != notExcluded:
		return unsuitable
	case !s.admitted(t, w):
		return noTicket
	case s.reservedForOthers(t, step, w):
		return reserved
	default:
		return notExcluded
	}
}
