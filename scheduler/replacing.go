package scheduler

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

// UpdateWorker applies the registry's entry of a worker. It returns why an entry is left out that
// contradicts what the worker itself says, so that another must have written it; empty otherwise.
func (s *Scheduler) UpdateWorker(i WorkerInfo) (contradiction string) {
	if s.isEnded(i) {
		return ""
	}
	now := s.now()
	w := s.workers[i.ID]
	if w != nil {
		if c := w.contradiction(i, now); c != "" {
			w.contradicting, w.contradictedAt = i, now
			return c
		}
	}
	if w != nil && i.isOlderThan(w.info) {
		// The store has taken a write of the worker late.
		return ""
	}
	if w != nil && w.info.Born != 0 && w.info.Born != i.Born {
		switch {
		case i.Born > w.info.Born:
			w = s.replaceRestarted(w, i)
		case w.heard || len(w.tasks) > 0 || len(w.doubtful) > 0:
			// The registry lags behind: the worker itself has reported a later start, or may have
			// runs of which only that process can tell.
			return ""
		default:
			w.retractStart()
		}
	}
	if w == nil {
		w = &worker{}
		s.setWorker(i.ID, w)
	}
	if least := w.leastClock(now); i.Clock >= least || least-i.Clock > maxOrderDelay {
		w.clockReading, w.clockReadAt = i.Clock, now
	}
	if !w.registered || w.info.Draining || w.hasLessRoomThan(i) {
		s.searches.noteChange(w)
	}
	w.info, w.registered = i, true
	return ""
}

// reconsiderEntry applies an entry that was left out because of a process which has not answered since,
// once a call to that process has failed: the worker may have restarted.
func (s *Scheduler) reconsiderEntry(w *worker) {
	if i := w.contradicting; i.Born > w.info.Born && w.reportSentAt <= w.contradictedAt {
		w.contradicting = WorkerInfo{}
		s.UpdateWorker(i)
	}
}

// contradiction returns what of an entry contradicts a process that has answered; empty if nothing does.
// A process keeps its address. The others are for one that has runs and answers: it is polled, so its end
// or restart shows at once.
func (w *worker) contradiction(i WorkerInfo, now clock.Millis) string {
	if w.heard && i.Born == w.info.Born && w.info.Address != "" && i.Address != w.info.Address {
		return "it has another address than the process that has answered"
	}
	if len(w.tasks) == 0 || w.reportSentAt == 0 || now-w.reportSentAt > maxWitnessAge || w.silentSince != 0 || w.connRefused {
		return ""
	}
	elapsed := now - w.reportSentAt
	switch {
	case i.Born > w.info.Born && w.info.Born != 0:
		return "it has a later start than the process that answers"
	case i.Born != w.info.Born:
		return ""
	case i.Clock > w.reportClock+elapsed+clock.Millis(float64(elapsed)*maxClockDrift)+entryClockMargin:
		return "it has a later clock than the process that answers"
	default:
		return ""
	}
}

// retractStart prepares a worker without runs for an entry with an earlier start than the registry or
// the records had. No process has confirmed that start, so another writer may have made it up. If the
// entry is an old one, the process that answers the next order shows it.
func (w *worker) retractStart() {
	w.allEndsSeen = false
	w.lastEnd, w.storedEnd, w.ackedEnd = 0, 0, 0
	w.clockReading, w.clockReadAt = 0, 0
}

// RemoveWorker must be called when a worker is removed from the registry. Its runs are
// kept until its lease has expired, as the worker may only be partitioned from the
// registry.
func (s *Scheduler) RemoveWorker(id string) {
	if w := s.workers[id]; w != nil {
		w.registered = false
	}
}

// dropWorker removes a worker process that is gone, and with it all of its runs; their
// tasks may start again.
func (s *Scheduler) dropWorker(w *worker, reason string) {
	s.emit(logger.WorkerGone, logger.String("worker", w.info.ID), logger.Int("born", w.info.Born), logger.String("reason", reason), logger.Int("runs", int64(len(w.tasks))))
	s.abandonRuns(w, reason)
	s.expireStaleRuns(w)
	s.noteEnded(w)
	s.deleteWorker(w.info.ID)
}

// abandonRuns releases the tasks of a worker whose runs are over without a report of their
// ends, so that they start again.
func (s *Scheduler) abandonRuns(w *worker, reason string) {
	for _, t := range slices.Clone(w.tasks) {
		s.abandonRun(w, t, reason)
	}
}

func (s *Scheduler) abandonRun(w *worker, t *task, reason string) {
	s.emit(logger.RunAbandoned, logger.String("task", t.name().String()), logger.Int("attempt", int64(t.attempt)), logger.String("worker", w.info.ID),
		logger.Int("born", w.info.Born), logger.String("reason", reason), logger.Text("settled", t.settled), logger.Int("crashes", int64(t.crashes)), logger.Text("unclear", t.unclear), logger.Int("unanswered", int64(t.ordersInFlight)),
		logger.Int("lease-left-ms", int64(w.leaseBound()-s.now())))
	s.markDirty(t.job())
	s.release(t)
}

// WorkerReplaced must be called when another process answers at the address of the worker
// process with this ID and start time old, which is therefore gone. born is the start
// time of the process that answered, or 0 if it belongs to a worker with another ID.
func (s *Scheduler) WorkerReplaced(id, address string, old, born int64) {
	w, now := s.workers[id], s.now()
	if w == nil || w.info.Born != old || w.info.Address != address {
		return
	}
	if born == 0 && w.formerHeard && !w.heard && now < w.leaseBound() {
		// The start and the address may be made up by another writer, and the former process may go
		// on with the runs at its own address until its lease is over.
		s.markSilent(w, false)
		return
	}
	if born == 0 {
		// Orders name the worker, so the other worker rejects orders that are still in
		// flight.
		const reason = "another worker answers at its address"
		convicted := s.noteCrash(w, reason)
		s.dropWorker(w, reason)
		s.giveUp(convicted)
		return
	}
	i := w.info
	// The clock of the new process starts anew; its first report shows it.
	i.Born, i.Clock = born, 0
	s.replaceRestarted(w, i).heard = true
}

// replaceRestarted replaces a worker process by its successor under the same ID. Orders
// to the old process may have reached the new one, or still reach it, so the old runs
// stay assigned until the new process reports which of them it has. Runs that the old
// process had not confirmed are ordered to stop.
func (s *Scheduler) replaceRestarted(w *worker, i WorkerInfo) *worker {
	now := s.now()
	convicted := s.noteCrash(w, "it has restarted under its id")
	s.emit(logger.WorkerReborn, logger.String("worker", i.ID), logger.Int("born", i.Born), logger.Int("former-born", w.info.Born),
		logger.Int("former-acked", w.storedEnd), logger.Int("runs", int64(len(w.tasks))))
	n := &worker{
		info: i, registered: w.registered, unreconciled: len(w.tasks) > 0, allEndsSeen: true,
		leaseEnd: max(w.leaseEnd, LeaseBound(now, s.leaseLength)),
		// A bound of the old process's leases need not hold for the new one's.
		inherited:    inheritedLease{end: s.inherited.end, reading: s.inherited.reading, grantedAt: w.inherited.grantedAt},
		clockReading: i.Clock, clockReadAt: now,
		doubtful:    w.doubtful,
		formerHeard: (w.heard || w.formerHeard) && i.Address != w.info.Address && (len(w.tasks) > 0 || len(w.doubtful) > 0),
	}
	for k := range n.doubtful {
		n.doubtful[k].stopInFlight = false
	}
	s.setWorker(i.ID, n)
	s.moveStaleRuns(w, n)
	for _, t := range slices.Clone(w.tasks) {
		w.removeTask(t)
		t.worker = n
		n.addTask(t)
		s.markDirty(t.job())
		if t.state == running && !t.unclear && t.ordersInFlight == 0 {
			t.state, t.unresolvedSince = placed, now
			continue
		}
		t.state = placed
		s.stop(t)
	}
	s.giveUp(convicted)
	return n
}
