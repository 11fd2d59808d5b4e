package scheduler

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

const (
	// maxClockDrift bounds how much slower than this host's a worker's clock may run, as
	// a share; from the platform's description of its workers.
	maxClockDrift = 0.02
	// leaseMargin is added to the end of a lease for the delay of the call that extended
	// it.
	leaseMargin = 200 * clock.Millis(1)
	// maxOrderDelay is how long a worker that has left the registry is kept after the end
	// of its lease if it may still carry out orders. By the platform's description, orders
	// are carried out seconds late.
	maxOrderDelay = clock.Minute
)

// inheritedLease bounds the leases that former leaders may have granted.
type inheritedLease struct {
	// end is when they have ended, on this host's clock; 0 if there were none.
	end clock.Millis
	// reading is when they have ended on the clock that leaders hand on; 0 if that can't tell.
	reading clock.Millis
	// grantedAt is when the last of them can have been granted, or else when end was set.
	grantedAt clock.Millis
}

// Lease extends the lease of a worker process for a call that is about to be sent, and
// returns its new end on the process's clock. It returns false if the lease must not be
// extended.
//
// The end is counted from the least time that the worker's clock can show, so that the lease
// ends by LeaseBound even if the last reading of the clock is old.
func (s *Scheduler) Lease(id string, born int64) (clock.Millis, bool) {
	w := s.workers[id]
	if w == nil || w.info.Born != born {
		return 0, false
	}
	now := s.now()
	if len(w.doubtful) > 0 || s.isRecordedSilent(w) {
		return 0, false
	}
	if w.silentSince != 0 || w.unheard {
		// The current lease lasts for a few more calls. If these fail too, the runs have
		// to end soon so that their tasks can start elsewhere.
		return 0, false
	}
	w.leaseEnd = max(w.leaseEnd, LeaseBound(now, s.leaseLength))
	return w.leastClock(now) + s.leaseLength, true
}

// LeaseBound returns the time, on this host's clock, after which a lease that is extended
// at now has expired, even if the worker's clock runs slow.
func LeaseBound(now, lease clock.Millis) clock.Millis {
	return now + lease + clock.Millis(float64(lease)*maxClockDrift) + leaseMargin
}

// abandonLasting abandons the runs of the long-running tasks of a worker whose lease is over: however
// they have ended, they have to start again, so no answer of the worker is waited for. It reports
// whether there were any.
func (s *Scheduler) abandonLasting(w *worker, now clock.Millis) bool {
	found := false
	for _, t := range slices.Clone(w.tasks) {
		if !t.spec().LongRunning {
			continue
		}
		if !found {
			s.emitLost(w, now)
		}
		found = true
		w.markDoubtful(t)
		s.suspectUnheard(t, w)
		s.abandonRun(w, t, "its lease has expired")
	}
	return found
}

// expireLeases abandons the runs of workers whose lease has expired, and removes workers
// that have left the registry.
func (s *Scheduler) expireLeases() {
	now := s.now()
	for id, w := range s.workers {
		// A process that only the records name has no address and can't be polled.
		known := w.registered && w.info.Address != ""
		if now < w.leaseBound() {
			continue
		}
		s.expireStaleRuns(w)
		logged := s.abandonLasting(w, now)
		if w.silentSince == 0 && known {
			continue
		}
		if w.silentSince != 0 && w.info.Address != "" && len(w.tasks) > 0 && w.failedCallAt < s.delayedAt {
			// It may have answered while this daemon was delayed, and is asked again.
			continue
		}
		if w.silentSince != 0 || w.unreconciled {
			if !w.leaseExpired && !logged && len(w.tasks) > 0 {
				s.emitLost(w, now)
			}
			w.leaseExpired, w.unreconciled = true, false
			for _, t := range w.tasks {
				w.markDoubtful(t)
				s.suspectUnheard(t, w)
			}
			s.abandonRuns(w, "its lease has expired")
		}
		if !known && len(w.tasks) == 0 && (len(w.doubtful) == 0 || now >= w.leaseBound()+maxOrderDelay) {
			s.deleteWorker(id)
		}
	}
}

// emitLost logs that the lease of a worker has expired, and which bound has decided it.
func (s *Scheduler) emitLost(w *worker, now clock.Millis) {
	silent := clock.Millis(0)
	if w.silentSince != 0 {
		silent = now - w.silentSince
	}
	from, set := "this-leader", w.leaseEnd-LeaseBound(0, s.leaseLength)
	if w.inherited.end > w.leaseEnd {
		from, set = "former-leader", w.inherited.grantedAt
	}
	s.emit(logger.WorkerLost, logger.String("worker", w.info.ID), logger.Int("born", w.info.Born), logger.Int("runs", int64(len(w.tasks))),
		logger.String("lease-from", from), logger.Int("lease-set-ms-ago", int64(now-set)), logger.Int("silent-ms", int64(silent)),
		logger.Text("known-address", w.info.Address != ""), logger.Text("registered", w.registered))
}
