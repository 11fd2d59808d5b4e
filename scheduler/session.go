package scheduler

import "slices"

type (
	// Session is the state of a worker process that the leader needs for polling it.
	Session struct {
		Worker  string
		Address string
		Born    int64
		// Acked is the highest number of an ended run whose result is stored; the next
		// poll acknowledges the ended runs up to it.
		Acked int64
		// Idle is whether the worker has no runs, not even some that were given up and that
		// it has to stop.
		Idle bool
		// Busy is whether the worker has to be polled: it has runs, may have runs of a
		// former leader or runs that were given up, has ended runs that are not stored or
		// acknowledged yet, or does not answer.
		Busy bool
		// Inherited is whether the worker may have runs that were assigned by a former
		// leader or to its former process, and has not reported since.
		Inherited bool
		// Unresolved is whether something depends on the next report: if a run that was taken
		// back is over, or the next lease.
		Unresolved bool
		// Silent is whether the last call to the worker failed.
		Silent bool
		// ServingWithFillers is whether serving tasks share the worker with fillers.
		ServingWithFillers bool
		// OnTrial is whether a task that may crash its workers has the worker for itself.
		OnTrial bool
		// Blocked is whether something has to be stored before the next poll is of use: the
		// results of ended runs, which the next report would only repeat, or that a worker
		// which was silent is heard again, before which its lease can't be extended.
		Blocked bool
	}
)

// Sessions calls f for every worker that is registered or may have runs.
func (s *Scheduler) Sessions(f func(Session)) {
	for _, w := range s.workers {
		f(s.sessionOf(w))
	}
}

// SessionOf calls f with the session of a worker's newest process, if there is one.
func (s *Scheduler) SessionOf(id string, f func(Session)) {
	if w := s.workers[id]; w != nil {
		f(s.sessionOf(w))
	}
}

// Session returns the session of a worker process, if it is the newest one.
func (s *Scheduler) Session(id string, born int64) (Session, bool) {
	w := s.workers[id]
	if w == nil || w.info.Born != born {
		return Session{}, false
	}
	return s.sessionOf(w), true
}

func (s *Scheduler) sessionOf(w *worker) Session {
	silence := s.silences[w.info.ID]
	return Session{
		Worker: w.info.ID, Address: w.info.Address, Born: w.info.Born, Acked: w.storedEnd,
		Busy:               len(w.tasks) > 0 || len(w.stale) > 0 || w.lastEnd > w.storedEnd || w.unreconciled || w.registered && (len(w.doubtful) > 0 || w.silentSince != 0 || w.unheard) || w.storedEnd > w.ackedEnd,
		OnTrial:            w.isOnTrial(),
		ServingWithFillers: w.serving > 0 && w.fillerCPU > 0,
		Blocked:            w.lastEnd > w.storedEnd || silence != nil && silence.deleting, Silent: w.silentSince != 0,
		Idle: len(w.tasks) == 0 && len(w.doubtful) == 0 && len(w.stale) == 0, Inherited: w.unreconciled,
		Unresolved: w.unheard || slices.ContainsFunc(w.tasks, func(t *task) bool { return t.unresolvedSince != 0 }),
	}
}

// AckDelivered must be called when a worker process has received the acknowledgement of its ended
// runs up to number acked.
func (s *Scheduler) AckDelivered(id string, born, acked int64) {
	if w := s.workers[id]; w != nil && w.info.Born == born {
		w.ackedEnd = max(w.ackedEnd, acked)
	}
}
