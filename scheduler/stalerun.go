package scheduler

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
)

// staleRun is a run that a worker may have although it is not, or no longer, the newest run of its task.
// It counts as held by its tenant until it is known to be over; jobs without a tenant have none.
type staleRun struct {
	job     *job
	task    TaskName
	attempt int
	worker  *worker
	// since is when the worker may last have had the run: a report that was requested later and
	// lacks it shows that it is over.
	since clock.Millis
	// mayStart is whether an order to start it may still be carried out, until the worker confirms a
	// stop; stopInFlight is whether an order to stop it is unanswered.
	mayStart, stopInFlight bool
}

func (r *staleRun) is(task TaskName, attempt int) bool { return r.task == task && r.attempt == attempt }

// spec returns the step of the run, or nil if the job has no such step.
func (r *staleRun) spec() *Step {
	if r.task.Step < 0 || r.task.Step >= len(r.job.spec.Steps) {
		return nil
	}
	return &r.job.spec.Steps[r.task.Step]
}

func (r *staleRun) record() taskRecord {
	return taskRecord{Occurrence: r.task.Occurrence, Step: r.task.Step, Index: r.task.Index, Attempt: r.attempt, Worker: r.worker.info.ID, Born: r.worker.info.Born}
}

// addStaleRun counts a run that its worker may have although it is not the newest one of its task.
func (s *Scheduler) addStaleRun(r staleRun) {
	if r.job == nil || r.job.spec.Tenant == "" || r.spec() == nil {
		return
	}
	r.since = s.now()
	if i := slices.IndexFunc(r.worker.stale, func(o *staleRun) bool { return o.is(r.task, r.attempt) }); i >= 0 {
		*r.worker.stale[i] = r
		return
	}
	s.sharer.Hold(r.job.spec.Tenant, r.spec().Size())
	r.worker.stale = append(r.worker.stale, &r)
	r.job.stale = append(r.job.stale, &r)
	r.job.staleChanges++
	s.markDirty(r.job)
}

// abandonNewestRun must be called before a task is released whose newest run may go on. stopSent is
// whether an order to stop it was sent.
func (s *Scheduler) abandonNewestRun(t *task, stopSent bool) {
	s.addStaleRun(staleRun{job: t.job(), task: t.name(), attempt: t.attempt, worker: t.worker, mayStart: t.state == placed, stopInFlight: stopSent})
}

// endStaleRun stops counting a run that is over.
func (s *Scheduler) endStaleRun(r *staleRun) {
	s.sharer.Release(r.job.spec.Tenant, r.spec().Size())
	is := func(o *staleRun) bool { return o == r }
	r.worker.stale, r.job.stale = slices.DeleteFunc(r.worker.stale, is), slices.DeleteFunc(r.job.stale, is)
	r.job.staleChanges++
	s.markDirty(r.job)
}

// reconcileStaleRuns ends the stale runs of a worker of which its report shows that they are over, and
// orders the others to stop that may still start.
func (s *Scheduler) reconcileStaleRuns(w *worker, r Report) {
	for _, o := range slices.Clone(w.stale) {
		switch {
		case slices.ContainsFunc(r.Ended, func(e EndedRun) bool { return e.Attempt == o.attempt && e.Task == o.task.String() }):
			s.endStaleRun(o)
		case o.mayStart && !o.stopInFlight:
			o.stopInFlight = true
			s.immediate = append(s.immediate, Order{Kind: Stop, Worker: w.info.ID, Address: w.info.Address, Born: w.info.Born, Task: o.task, Attempt: o.attempt})
		case !o.mayStart && r.Sent > o.since:
			s.endStaleRun(o)
		}
	}
}

// staleStopAnswered applies the outcome of an order to stop a run, if the run is stale. A worker that has
// confirmed a stop rejects later starts of that run.
func (w *worker) staleStopAnswered(o Order, confirmed bool, now clock.Millis) {
	i := slices.IndexFunc(w.stale, func(r *staleRun) bool { return r.is(o.Task, o.Attempt) })
	switch {
	case i < 0:
	case confirmed:
		w.stale[i].mayStart, w.stale[i].since = false, now
	default:
		w.stale[i].stopInFlight = false
	}
}

// expireStaleRuns ends the stale runs of a worker whose lease is over, or whose process has ended.
func (s *Scheduler) expireStaleRuns(w *worker) {
	for _, r := range slices.Clone(w.stale) {
		s.endStaleRun(r)
	}
}

// moveStaleRuns passes the stale runs of a process that has ended to its successor, if orders to start
// them may still reach it.
func (s *Scheduler) moveStaleRuns(from, to *worker) {
	for _, r := range slices.Clone(from.stale) {
		if !r.mayStart {
			s.endStaleRun(r)
			continue
		}
		r.worker, r.stopInFlight = to, false
		to.stale = append(to.stale, r)
		r.job.staleChanges++
		s.markDirty(r.job)
	}
	from.stale = nil
}

// loadStaleRuns restores the stale runs of a job, as runs whose starts may still be under way. It returns the
// tasks to be given up, as loadTask does.
func (s *Scheduler) loadStaleRuns(j *job, rs []taskRecord, leaseEnd clock.Millis) (convicted []*task) {
	for _, r := range rs {
		w, c := s.loadWorker(r, leaseEnd)
		convicted = append(convicted, c...)
		s.addStaleRun(staleRun{job: j, task: TaskName{Job: j.spec.ID, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index}, attempt: r.Attempt, worker: w, mayStart: true})
	}
	return convicted
}

// keepsRuns reports whether the record of an ended job has to keep its runs, so that the next leader
// counts and stops them.
func (j *job) keepsRuns() bool {
	return j.phase.final() && j.spec.Tenant != "" && (len(j.stale) > 0 || j.hasRuns())
}
