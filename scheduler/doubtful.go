package scheduler

import "slices"

// doubtfulRun is a run that was given up, whose start was never confirmed by the worker.
type doubtfulRun struct {
	task    TaskName
	attempt int
	// stopInFlight is whether an order to stop the run is unanswered.
	stopInFlight bool
}

// markDoubtful adds the run of a task to the doubtful runs of its worker if an order to
// start it may have been sent and was not confirmed.
func (w *worker) markDoubtful(t *task) {
	if t.state == placed && t.recorded {
		w.doubtful = append(w.doubtful, doubtfulRun{task: t.name(), attempt: t.attempt})
	}
}

// stopDoubtful orders a worker that answers again to stop its doubtful runs.
func (s *Scheduler) stopDoubtful(w *worker) {
	for i := range w.doubtful {
		d := &w.doubtful[i]
		if !d.stopInFlight {
			d.stopInFlight = true
			s.immediate = append(s.immediate, Order{Kind: Stop, Worker: w.info.ID, Address: w.info.Address, Born: w.info.Born, Task: d.task, Attempt: d.attempt})
		}
	}
}

// stopAnswered applies the outcome of an order to stop a doubtful run. A worker that has
// carried out a stop rejects the start of that run from then on.
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
