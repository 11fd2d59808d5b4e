package scheduler

import "galenawharf.example/galenawharf/clock"

// NoteDepositsRead must be called with each time as of which all deposits in the store were passed to
// SubmitDeposited, on this host's clock, and once before the first Sweep if there may be any.
func (s *Scheduler) NoteDepositsRead(at clock.Millis) { s.depositsReadAt = max(s.depositsReadAt, at) }

// DepositDeleted must be called once for each deposit that was passed to SubmitDeposited, after the store
// has confirmed that it is deleted.
func (s *Scheduler) DepositDeleted(id string) {
	if j := s.jobs[id]; j != nil {
		j.deposits = max(j.deposits-1, 0)
	}
}

// dropEndedJobs drops the jobs whose retention is over.
func (s *Scheduler) dropEndedJobs() {
	// Deposits that were stored since the last read may be of jobs that ended long ago.
	unread := clock.Millis(0)
	if s.depositsReadAt != 0 {
		unread = max(s.now()-s.depositsReadAt, 0)
	}
	for id, j := range s.jobs {
		if s.elapsed(j.endedReading, j.endedAt)-unread > s.retention && s.isDroppable(j) {
			s.forget(j)
			s.deletedKeys = append(append(s.deletedKeys, jobKey(id)), j.chunkKeys...)
		}
	}
}

// isDroppable reports whether nothing refers to a job any more once its retention is over. A deposit that is
// left in the store would be accepted as a new job.
func (s *Scheduler) isDroppable(j *job) bool {
	return j.phase.final() && j.storedPhase.final() && j.deposits == 0 && !j.hasRuns() && len(j.stale) == 0
}

// forget removes a job from what is known, if it is.
func (s *Scheduler) forget(j *job) {
	if s.jobs[j.spec.ID] != j {
		return
	}
	delete(s.jobs, j.spec.ID)
	if j.unsubmitted {
		s.earlyCancels--
	}
}

func (j *job) hasRuns() bool {
	held := false
	j.eachTask(func(t *task) { held = held || t.hasRun() })
	return held
}
