package scheduler

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

const (
	// refusalBackoff is how long a worker gets no new runs after it refused one or could
	// not be reached: the time of two reports.
	refusalBackoff = 300 * clock.Millis(1)
	// maxRejectionDelay bounds the delay of a task that workers reject as malformed, which doubles
	// with each rejection.
	maxRejectionDelay = 30 * clock.Second
	// maxLastingRejectionDelay is the same for a long-running task, which has to run again within nine
	// seconds: the lease of its last run may take 6.3 s of these, and the next start has to be stored and
	// sent.
	maxLastingRejectionDelay = 2 * clock.Second
	// rejectionInterval bounds the tries of a step that workers reject to 40 a second, half of the starts
	// of a leader at the peak. The bound of the delay grows with it from 80 tasks on, the customers' widest
	// step.
	rejectionInterval = 25 * clock.Millis(1)
	// maxBackoffDoublings bounds how often a delay is doubled, below the limit of its type.
	maxBackoffDoublings = 10
)

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
		w.heard = w.heard || out == Done
		s.deleteSilence(w.info.ID)
	}
	if o.Kind == Stop {
		w.stopAnswered(o, out.confirmsStop())
		w.staleStopAnswered(o, out.confirmsStop(), s.now())
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
		if t.state != placed {
			// It was a repetition of an order whose run has begun.
			return
		}
		// The next worker is likely to reject the task too, and this one to accept others.
		t.rejections++
		t.noteRefusal(w)
		t.retryAt = now + t.rejectionDelay()
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
		if !t.unclear || !s.acceptsStarts(w) || w.isOverCapacity(t.spec()) || s.isOverCap(t) {
			s.withdraw(t)
		}
	case Late, Fenced:
		// The order is sent again after the next report.
	}
}

// noteRefusal remembers that a worker has refused a run of the task. One that is tried again was the
// best of workers that have all refused it, so that each has another turn.
func (t *task) noteRefusal(w *worker) {
	if t.refusedBy == nil || t.wasRefusedBy(w) {
		t.refusedBy = map[string]int64{}
	}
	t.refusedBy[w.info.ID] = w.info.Born
}

func (t *task) wasRefusedBy(w *worker) bool {
	born, ok := t.refusedBy[w.info.ID]
	return ok && born == w.info.Born
}

// rejectionDelay returns the time from the last rejection of a task to its next run.
func (t *task) rejectionDelay() clock.Millis {
	limit := maxRejectionDelay
	if t.spec().LongRunning {
		rejected := clock.Millis(0)
		for _, o := range t.occurrence.steps[t.step] {
			if o.rejections > 0 {
				rejected++
			}
		}
		limit = min(limit, max(maxLastingRejectionDelay, rejected*rejectionInterval))
	}
	return min(refusalBackoff<<min(t.rejections-1, maxBackoffDoublings), limit)
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
		s.reconsiderEntry(w)
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
