package scheduler

type (
	// Session is what a worker needs from the leader.
	Session struct {
		Worker  string
		Address string
		Born    int64
		// Acked is the highest stored end.
		Acked int64
		// Idle is whether the worker has no runs.
		Idle bool
		// Busy is whether the worker has runs or ends to hear of.
		Busy bool
		// Inherited is whether the worker has not reported to this leader yet.
		Inherited bool
		// Silent is whether the last call to the worker failed.
		Silent bool
		// Gauged is whether serving tasks share the worker with fillers.
		Gauged bool
		// Blocked is whether ends await storing, so that asking again would only
		// return them once more.
		Blocked bool
	}
)

// Sessions calls f for every worker that is listed or may hold runs.
func (s *Scheduler) Sessions(f func(Session)) {
	for id, w := range s.workers {
		f(w.session(id))
	}
}

// SessionOf calls f with the session of the newest life of a worker, if there is one.
func (s *Scheduler) SessionOf(id string, f func(Session)) {
	if w := s.workers[id]; w != nil {
		f(w.session(id))
	}
}

// Session returns the session of one worker.
func (s *Scheduler) Session(id string, born int64) (Session, bool) {
	w := s.workers[id]
	if w == nil || w.info.Born != born {
		return Session{}, false
	}
	return w.session(id), true
}

func (w *worker) session(id string) Session {
	return Session{
		Worker: id, Address: w.info.Address, Born: w.info.Born, Acked: w.acked,
		Busy:    len(w.tasks) > 0 || w.seen > w.acked || w.inherits || w.silent != 0 && w.listed || w.acked > w.told,
		Gauged:  w.serving > 0 && w.fillerCPU > 0,
		Blocked: w.seen > w.acked, Silent: w.silent != 0,
		Idle: len(w.tasks) == 0, Inherited: w.inherits,
	}
}

// Told takes note that the worker has heard which ends are stored.
func (s *Scheduler) Told(id string, born, acked int64) {
	if w := s.workers[id]; w != nil && w.info.Born == born {
		w.told = max(w.told, acked)
	}
}
