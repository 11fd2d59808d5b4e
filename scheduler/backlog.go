package scheduler

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/regulator"
)

// waitingOf returns the tasks of jobs that end by themselves which the leader has to start, with the
// time after which they are forecast to be ready, for the jobs for which counts returns true. It leaves
// out the tasks that wait for room, a ticket or the cap of their tenant: no leader could start them
// sooner.
func (s *Scheduler) waitingOf(counts func(*job) bool) []regulator.Arrival {
	var as []regulator.Arrival
	now, wall := s.now(), s.wall()
	for j := range s.active {
		if j.longRunning || !counts(j) {
			continue
		}
		for _, o := range j.occurrences {
			as = o.appendArrivals(as, j.untilDue(o.number, wall), now)
		}
	}
	return as
}

// appendArrivals adds the tasks without a run of an occurrence that is due after a time. A step is
// forecast to be ready when the steps before it have ended by the estimates of their runs.
func (o *occurrence) appendArrivals(as []regulator.Arrival, due, now clock.Millis) []regulator.Arrival {
	ends := make([]clock.Millis, len(o.steps))
	for i := range o.steps {
		step := &o.job.spec.Steps[i]
		if o.done[i] >= step.Count {
			continue
		}
		start := due
		for _, a := range step.After {
			start = max(start, ends[a])
		}
		waiting := step.Count - o.done[i] - o.runs[i]
		if waiting > 0 {
			if !o.blocked[i] {
				as = append(as, regulator.Arrival{In: start, Tasks: waiting})
			}
			ends[i] = start + step.Estimate
			continue
		}
		for _, t := range o.steps[i] {
			if t.hasRun() {
				ends[i] = max(ends[i], t.placedAt+step.Estimate-now, 1)
			}
		}
	}
	return as
}
