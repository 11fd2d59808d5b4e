package scheduler

import "slices"

// doubtfulRun is a run that was abandoned when the lease of its worker expired, and whose
// start the worker has not confirmed, so that it may still begin.
type doubtfulRun struct {
	task    TaskName
	attempt int
	// stopInFlight is whether an order to stop the run is unanswered.
	stopInFlight bool
}

// markDoubtful adds the run of a task to the doubtful runs of its worker if an order to
// start it may have been sent and is not confirmed.
func (w *worker) markDoubtful(t *task) {
	if t.state == placed && t.recorded {
		w.doubtful = append(w.doubtful, doubtfulRun{task: t.name(), attempt: t.attempt})
	}
}

// resolveDoubtful removes the doubtful runs that the worker lists as ended: it rejects later starts of
// these.
func (w *worker) resolveDoubtful(ended []EndedRun) {
	if len(w.doubtful) == 0 {
		return
	}
	for _, e := range ended {
		w.doubtful = slices.DeleteFunc(w.doubtful, func(d doubtfulRun) bool { return d.attempt == e.Attempt && d.task.String() == e.Task })
	}
}

// stopDoubtful orders a worker to stop its doubtful runs, except those for which a stop is
// in flight.
func (s *Scheduler) stopDoubtful(w *worker) {
	for i := range w.doubtful {
		d := &w.doubtful[i]
		if !d.stopInFlight {
			d.stopInFlight = true
			s.immediate = append(s.immediate, Order{Kind: Stop, Worker: w.info.ID, Address: w.info.Address, Born: w.info.Born, Task: d.task, Attempt: d.attempt})
		}
	}
}

// stopAnswered applies the outcome of an order to stop a run, if the run is doubtful. A
// worker that has confirmed a stop rejects later starts of that run.
func (w *worker) stopAnswered(o Order, confirmed bool) {
	i := slices.IndexFunc(w.doubtful, func(d doubtfulRun) bool { return d.task == o.Task && d.attempt == o.Attempt })
	switch {
	case i < 0:
	case confirmed:
		w.doubtful = slices.Delete(w.doubtful, i, i+1)
	default:
		w.doubtful[i].stopInFlight = false
	}
}
