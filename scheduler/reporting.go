package scheduler

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

const (
	// resendDelay is the least time from an order to its repetition, if the run is still
	// missing from the reports.
	resendDelay = 150 * clock.Millis(1)
	// maxOrdersInFlight bounds the unanswered orders about one run: one that may have
	// been lost, and one repetition. At a worker that does not answer, more would only
	// queue up until their deadlines.
	maxOrdersInFlight = 2
	// refusalBackoff is how long a worker gets no new runs after it refused one or could
	// not be reached: the time of two reports.
	refusalBackoff = 300 * clock.Millis(1)
	// maxRejectionDelay bounds the delay of a task that workers reject as malformed, which doubles
	// with each rejection.
	maxRejectionDelay = 30 * clock.Second
	// maxBackoffDoublings bounds how often a delay is doubled, below the limit of its type.
	maxBackoffDoublings = 10
	// maxListedEnds is the maximum number of ended runs in a report; from the platform's
	// description of its workers.
	maxListedEnds = 500
)

// UpdateWorker applies the registry's entry of a worker.
func (s *Scheduler) UpdateWorker(i WorkerInfo) {
	if s.isEnded(i) {
		return
	}
	w := s.workers[i.ID]
	if w != nil && i.isOlderThan(w.info) {
		// The store has taken a write of the worker late.
		return
	}
	if w != nil && w.info.Born != 0 && w.info.Born != i.Born {
		if i.Born < w.info.Born {
			// The registry lags behind: the worker itself has reported a later start.
			return
		}
		w = s.replaceRestarted(w, i)
	}
	if w == nil {
		w = &worker{}
		s.setWorker(i.ID, w)
	}
	if now := s.now(); i.Clock >= w.leastClock(now) {
		w.clockReading, w.clockReadAt = i.Clock, now
	}
	if !w.registered || w.info.Draining || w.hasLessRoomThan(i) {
		s.searches.noteChange(w)
	}
	w.info, w.registered = i, true
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
	w := s.workers[id]
	if w == nil || w.info.Born != old || w.info.Address != address {
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
	s.replaceRestarted(w, i)
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
		doubtful: w.doubtful,
	}
	for k := range n.doubtful {
		n.doubtful[k].stopInFlight = false
	}
	s.setWorker(i.ID, n)
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

// Report applies the report of a worker. The results of newly ended runs are stored with
// the next batch, and acknowledged after that.
func (s *Scheduler) Report(r Report) {
	w := s.workers[r.Worker]
	if w == nil || w.info.Born != r.Born {
		return
	}
	s.markResponsive(w, r)
	w.resolveDoubtful(r.Ended)
	s.stopDoubtful(w)
	listed := make(map[*task]struct{}, len(r.Active)+len(r.Ended))
	if len(r.Ended) > 0 && w.allEndsSeen && r.Ended[0].Number > w.lastEnd+1 {
		s.emit(logger.EndsMissing, logger.String("worker", w.info.ID), logger.Int("born", w.info.Born),
			logger.Int("last", w.lastEnd), logger.Int("next", r.Ended[0].Number), logger.Int("acked", w.ackedEnd))
	}
	for _, e := range r.Ended {
		t := s.findTask(e.Task)
		if t != nil && e.Number > w.lastEnd && t.completedByAbandonedRun(w, e) {
			s.completeByAbandonedRun(t)
		}
		if t != nil && t.worker == w && t.attempt == e.Attempt {
			listed[t] = struct{}{}
			if e.Number > w.lastEnd {
				s.endRun(t, e.How, e.Checkpoint)
			}
		}
		w.lastEnd = max(w.lastEnd, e.Number)
	}
	if w.lastEnd > w.storedEnd {
		s.acks[w.info.ID] = Ack{Born: w.info.Born, Number: w.lastEnd}
	}
	for _, a := range r.Active {
		if t := s.applyActive(w, a, r.Sent); t != nil {
			listed[t] = struct{}{}
		}
	}
	s.updateModels(w)
	w.groupsValid = false
	s.searches.noteChange(w)
	// A full list does not show that a run is over: the next one may contain its end.
	if len(r.Ended) < maxListedEnds {
		for _, t := range slices.Clone(w.tasks) {
			if _, ok := listed[t]; !ok {
				s.reconcileMissing(t, r.Sent)
			}
		}
	}
	w.unreconciled = false
}

// markResponsive resets the marks of a worker that does not answer, and updates the
// reading of its clock.
func (s *Scheduler) markResponsive(w *worker, r Report) {
	if w.leaseExpired || w.silentSince != 0 {
		s.emit(logger.WorkerBack, logger.String("worker", w.info.ID))
	}
	w.leaseExpired, w.connRefused, w.silentSince, w.unheard = false, false, 0, false
	w.clockReading, w.clockReadAt = r.Clock, s.now()
	w.reportClock, w.reportSentAt = r.Clock, r.Sent
	s.noteClock(w, r.Clock)
	s.deleteSilence(w.info.ID)
}

// completedByAbandonedRun reports whether the end of an abandoned run shows that the task
// is done after all. A newer run is then needless: if it ended in another way, the task
// would start again although the worker has forgotten the end.
func (t *task) completedByAbandonedRun(w *worker, e EndedRun) bool {
	return e.How == EndDone && t.state != done && !t.spec().LongRunning && !t.spec().Gang && (t.worker != w || t.attempt != e.Attempt)
}

// findTask returns the task with a name, or nil if its job is unknown or its occurrence
// is not open.
func (s *Scheduler) findTask(name string) *task {
	n, err := ParseTaskName(name)
	if err != nil {
		return nil
	}
	j := s.jobs[n.Job]
	if j == nil {
		return nil
	}
	o := j.occurrences[n.Occurrence]
	if o == nil || n.Step < 0 || n.Step >= len(o.steps) || n.Index < 0 || n.Index >= len(o.steps[n.Step]) {
		return nil
	}
	return o.steps[n.Step][n.Index]
}

// applyActive applies the entry of an active run and returns its task. A run that is not
// the newest one of its task is stopped. sent is when the report was requested.
func (s *Scheduler) applyActive(w *worker, a ActiveRun, sent clock.Millis) *task {
	t := s.findTask(a.Task)
	if t == nil || t.worker != w || t.attempt != a.Attempt {
		n, err := ParseTaskName(a.Task)
		if err != nil {
			return nil
		}
		s.immediate = append(s.immediate, Order{Kind: Stop, Worker: w.info.ID, Address: w.info.Address, Born: w.info.Born, Task: n, Attempt: a.Attempt})
		// It uses the worker's resources until it has stopped.
		w.blockedUntil = max(w.blockedUntil, s.now()+stopBackoff)
		return nil
	}
	if t.state == placed {
		s.confirmRun(t)
	}
	s.settle(t, sent)
	t.unresolvedSince = 0
	t.updateProgress(a.Percent, w.clockReading)
	if t.spec().LongRunning && a.Percent == 100 && t.confirmedAt > w.failedAt {
		// The task works although it started after the last failure, so the worker is
		// healthy.
		w.failures = 0
	}
	if a.Checkpoint != "" {
		t.checkpoint = a.Checkpoint
	}
	if t.spec().Objective > 0 {
		s.updateTailLatency(t, clock.Millis(a.Measurement))
	} else {
		t.cpuUse = a.Measurement
	}
	if (t.job().phase.final() || t.stopUnconfirmed) && t.ordersInFlight < maxOrdersInFlight {
		s.stop(t)
	}
	return t
}

// reconcileMissing handles a run that is missing from the report of its worker. If the
// report was requested after the worker confirmed the run, or after unresolvedSince, the
// run is over and its task is released. Otherwise the order to start or stop the run is
// sent again if it may have been lost.
func (s *Scheduler) reconcileMissing(t *task, sent clock.Millis) {
	switch {
	case t.unresolvedSince != 0 && sent > t.unresolvedSince,
		t.state == running && sent > t.confirmedAt:
		s.emit(logger.RunMissing, logger.String("task", t.name().String()), logger.Int("attempt", int64(t.attempt)), logger.String("worker", t.worker.info.ID),
			logger.Int("born", t.worker.info.Born), logger.Text("unclear", t.unclear), logger.Int("unanswered", int64(t.ordersInFlight)))
		s.markDirty(t.job())
		s.release(t)
	case t.state == placed && t.recorded && t.unresolvedSince == 0 && t.ordersInFlight < maxOrdersInFlight && s.now()-t.placedAt > resendDelay:
		t.placedAt = s.now()
		if t.job().phase.final() || t.stopping {
			s.stop(t)
			return
		}
		// The earlier order may still be carried out, even if this one is refused.
		t.unclear = true
		s.immediate = append(s.immediate, s.newOrder(Start, t))
	}
}

func (s *Scheduler) confirmRun(t *task) {
	t.state, t.confirmedAt = running, s.now()
	if t.spec().Filler && t.worker.serving > 0 {
		_, paces := s.fillerPaces(t.worker)
		s.setPace(t, paces[t])
	}
	if j := t.job(); j.phase == Queued {
		j.phase = Running
		s.onFirstStart(s.wall() - j.acceptedAt)
		s.markDirty(j)
	}
}

// IsCurrent reports whether the run of an order is still the newest one of its task, is
// assigned to the worker process that the order is for, and is not being stopped.
func (s *Scheduler) IsCurrent(o Order) bool {
	t := s.findTask(o.Task.String())
	return t != nil && t.hasRun() && !t.stopping && t.attempt == o.Attempt && t.worker.info.ID == o.Worker && t.worker.info.Born == o.Born
}

// OrderAnswered applies the outcome of an order.
func (s *Scheduler) OrderAnswered(o Order, out Outcome) {
	t := s.findTask(o.Task.String())
	if t != nil && t.attempt == o.Attempt {
		t.ordersInFlight = max(t.ordersInFlight-1, 0)
	}
	w := s.workers[o.Worker]
	if w == nil || w.info.Born != o.Born {
		return
	}
	switch out {
	case Superseded:
		return
	case Unheard:
		w.unheard = true
	case Withheld:
	case Unclear, NotSent, ConnectionRefused:
		s.markSilent(w, out == ConnectionRefused)
	default:
		w.silentSince, w.unheard, w.leaseExpired, w.connRefused = 0, false, false, false
		s.deleteSilence(w.info.ID)
	}
	if o.Kind == Stop {
		w.stopAnswered(o, out.confirmsStop())
	}
	if t == nil || t.worker != w || t.attempt != o.Attempt {
		return
	}
	switch o.Kind {
	case Start:
		s.applyStartOutcome(w, t, out)
	case Stop:
		if t.stopUnconfirmed = t.stopping && !out.confirmsStop(); t.stopUnconfirmed {
			// The order is sent again after the next report.
			return
		}
		// The next report shows whether the run has ended; a run that never started is
		// missing from it.
		if t.state == placed {
			t.unresolvedSince = s.now()
		}
	case Pace:
		// The next adjustment of the paces sends it again.
		t.paceUnknown = t.paceUnknown || out != Done
	}
}

func (s *Scheduler) applyStartOutcome(w *worker, t *task, out Outcome) {
	now := s.now()
	switch out {
	case Done:
		if t.state == placed {
			s.confirmRun(t)
		}
		if t.job().phase.final() && !t.stopping {
			s.stop(t)
		}
	case NoRoom, Unavailable, WorkerRestarted:
		w.blockedUntil = now + refusalBackoff
		s.withdraw(t)
	case Rejected:
		// The next worker is likely to reject the task too, and this one to accept others.
		t.retryAt = now + min(refusalBackoff<<min(t.rejections, maxBackoffDoublings), maxRejectionDelay)
		t.rejections++
		s.withdraw(t)
	case NotSent, ConnectionRefused:
		w.blockedUntil = now + refusalBackoff
		s.withdraw(t)
	case NoTicket:
		t.invalidateTicket(w)
		s.withdraw(t)
	case Obsolete:
		t.unresolvedSince = now
	case Unclear, Unheard:
		// The order is sent again after the next report.
		t.unclear = true
	case Withheld:
		// Where nothing may start any more, the order will not be sent again.
		if !t.unclear || !s.acceptsStarts(w) || w.isOverCapacity(t.spec()) {
			s.withdraw(t)
		}
	case Late, Fenced:
		// The order is sent again after the next report.
	}
}

// withdraw takes back a run that the worker refused or never received. If an earlier
// order to start it was not answered, a stop has to be confirmed first.
func (s *Scheduler) withdraw(t *task) {
	if t.state != placed {
		return
	}
	if t.unclear {
		s.stop(t)
		return
	}
	s.markDirty(t.job())
	s.release(t)
}

// CallFailed must be called when a call to a worker process has failed. connRefused is
// whether its address refused the connection.
func (s *Scheduler) CallFailed(id string, born int64, connRefused bool) {
	if w := s.workers[id]; w != nil && w.info.Born == born {
		s.markSilent(w, connRefused)
	}
}

// CallUnheard must be called when a call to a worker process had no answer while the daemon itself was
// delayed.
func (s *Scheduler) CallUnheard(id string, born int64) {
	if w := s.workers[id]; w != nil && w.info.Born == born {
		w.unheard = true
	}
}

func (s *Scheduler) markSilent(w *worker, connRefused bool) {
	w.connRefused, w.failedCallAt = connRefused, s.now()
	if w.silentSince == 0 {
		w.silentSince = s.now()
		s.emit(logger.WorkerSilent, logger.String("worker", w.info.ID))
	}
}
