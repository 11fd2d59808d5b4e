package scheduler

import (
	"cmp"

	"galenawharf.example/galenawharf/clock"
)

type (
	// rank orders jobs by urgency when not all of them can meet their objective. The
	// lowest rank goes first.
	rank struct {
		// finite is 1 for jobs that end by themselves, 0 for long-running ones.
		// Long-running jobs go first, whatever their priority: their tasks may not wait,
		// and they need the most room on one worker, which shorter tasks would fragment.
		finite   int
		priority int
		// lateness is 0 for jobs that may still meet their objective, 1 for late ones,
		// and 2 for those that are too late to be of use.
		lateness int
		// waitPeriod is that of the tasks of a long-running job, 0 for other jobs. The longest wait goes
		// first, so that no task waits for as long as new jobs come.
		waitPeriod clock.Millis
		// begun is 0 for the first task of each step of a job that is too late to be of use and has
		// nothing running, 1 otherwise: the order within a lateness that earns nothing any more may
		// not keep some of these jobs from ever starting.
		begun int
		// idleSince is since when such a job has had nothing running, 0 otherwise.
		idleSince clock.Millis
		// workPerValue is the remaining work of the job divided by its value, as
		// described at fixedValueShare.
		workPerValue float64
	}
)

const (
	// uselessFactor is the age, as a multiple of its objective, from which a job is too
	// late to be of use.
	uselessFactor = 3
	// uselessLateness is the lateness of jobs of that age.
	uselessLateness = 2
	// The value of a job is partly fixed and partly proportional to its work.
	// fixedValueShare is the fixed share for a job with the mean work of its queue.
	fixedValueShare = 0.3
	// waitPeriodLength is short beside the time in which a task has to run again. Within a period the order
	// is that of other jobs, which keeps the tasks of a job together.
	waitPeriodLength = clock.Second
	// restartLead is by how much longer a task counts as waiting that has lost its run: it has to run again
	// within nine seconds, a first run has no such limit. First runs that wait longer than that go first.
	restartLead = 9 * clock.Second
	// meanWeight is the weight of the newest job in the exponential moving average of the
	// work of a queue, which covers about fifty jobs.
	meanWeight = 0.02
)

// rankOf returns the rank of a job. Jobs with little remaining work go first, so that
// under overload more jobs meet their objective instead of all being late.
func (s *Scheduler) rankOf(j *job) rank {
	r := rank{priority: j.spec.Queue.Priority, finite: 1, begun: 1}
	if j.longRunning {
		r.finite = 0
	}
	remaining, total, criticalPath := j.work()
	if j.spec.Repeat == 0 && !j.longRunning {
		objective := j.spec.Queue.objective(criticalPath)
		switch age := s.ageOf(j); {
		case age > uselessFactor*objective:
			r.lateness = uselessLateness
		case age > objective:
			r.lateness = 1
		}
	}
	mean := s.meanWork(j.spec.Queue.Name, total)
	r.workPerValue = remaining / (fixedValueShare*mean + (1-fixedValueShare)*total)
	return r
}

// compare returns a negative number if r goes before o, and a positive one if o goes
// before r.
func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.finite, o.finite), cmp.Compare(r.priority, o.priority), cmp.Compare(r.lateness, o.lateness),
		cmp.Compare(r.waitPeriod, o.waitPeriod), cmp.Compare(r.begun, o.begun), cmp.Compare(r.idleSince, o.idleSince), cmp.Compare(r.workPerValue, o.workPerValue))
}

// Objective returns the objective for the time from the acceptance of the job to its end.
func (s *Spec) Objective() clock.Millis { return s.Queue.objective(s.criticalPath()) }

func (q *Queue) objective(criticalPath clock.Millis) clock.Millis {
	return clock.FromFloat(q.Slack * float64(criticalPath)).Add(q.Target)
}

// criticalPath returns the length of the longest chain of steps by their estimates.
func (s *Spec) criticalPath() clock.Millis {
	ends, longest := make([]clock.Millis, len(s.Steps)), clock.Millis(0)
	for i := range s.Steps {
		for _, a := range s.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// work returns the remaining and the total declared work of a job in core-seconds, and
// the length of its critical path.
func (j *job) work() (remaining, total float64, criticalPath clock.Millis) {
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		each := float64(max(s.CPU, 1)) * float64(max(s.Estimate, 1)) / 1e6
		total += each * float64(s.Count)
		remaining += each * float64(s.Count)
		for _, o := range j.occurrences {
			remaining -= each * float64(o.done[i])
		}
	}
	return max(remaining, 0), total, j.spec.criticalPath()
}

// meanWork returns the mean work of a queue's jobs, or total if there is none yet.
func (s *Scheduler) meanWork(queue string, total float64) float64 {
	if m := s.meanWorkByQueue[queue]; m > 0 {
		return m
	}
	return total
}

// recordWork adds a new job to the mean work of its queue, and sets whether the job is
// long-running.
func (s *Scheduler) recordWork(j *job) {
	_, total, _ := j.work()
	m := s.meanWorkByQueue[j.spec.Queue.Name]
	if m == 0 {
		m = total
	}
	s.meanWorkByQueue[j.spec.Queue.Name] = m + meanWeight*(total-m)
	for i := range j.spec.Steps {
		j.longRunning = j.longRunning || j.spec.Steps[i].LongRunning
	}
}
