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
	// maxListedEnds is the maximum number of ended runs in a report; from the platform's
	// description of its workers.
	maxListedEnds = 500
)

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
	s.reconcileStaleRuns(w, r)
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
	w.heard = true
	w.clockReading, w.clockReadAt = r.Clock, s.now()
	w.reportClock, w.reportSentAt = r.Clock, r.Sent
	s.noteClock(w, r.Clock)
	s.deleteSilence(w.info.ID)
}

// completedByAbandonedRun reports whether the end of an abandoned run shows that the task, or
// the gang that it belongs to, is done after all. A newer run is then needless: if it ended in
// another way, the task would start again although the worker has forgotten the end.
func (t *task) completedByAbandonedRun(w *worker, e EndedRun) bool {
	return e.How == EndDone && t.state != done && !t.spec().LongRunning && (t.worker != w || t.attempt != e.Attempt)
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
		s.addStaleRun(staleRun{job: s.jobs[n.Job], task: n, attempt: a.Attempt, worker: w})
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
	if w.probe == t && a.Percent > 0 && !t.stalled && sent-t.confirmedAt >= quarantineTime {
		// The next probe run need not wait for the end of a long one.
		w.probe = nil
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
	t.state, t.confirmedAt, t.rejections = running, s.now(), 0
	if t.spec().Filler && t.worker.serving > 0 {
		_, paces := s.fillerPaces(t.worker)
		s.setPace(t, paces[t])
	}
	if j := t.job(); j.phase == Queued {
		j.phase = Running
		s.onFirstStart(s.ageOf(j))
		s.markDirty(j)
	}
}
