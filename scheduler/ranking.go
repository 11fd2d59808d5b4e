package scheduler

import (
	"cmp"

	"galenawharf.example/galenawharf/clock"
)

type (
	// rank says how urgently a job's tasks get a worker, under a load that does not
	// let all jobs meet their objective. Lower goes first.
	rank struct {
		priority int
		// passing is 1 for jobs that end by themselves. Those that last go first: they
		// need the largest rooms, which shorter tasks would take piece by piece.
		passing int
		// standing is 0 for jobs that may still meet their objective, 1 for those that
		// can only be late, 2 for those that are too late for any use.
		standing int
		// density is what is left to do for what the job is worth.
		density float64
	}
)

const (
	// lateFactor is how many times its objective a job may take and be of some use.
	lateFactor = 3
	// fixedWorth is the share of a job's worth that does not grow with its work.
	fixedWorth = 0.3
	// meanWeight is the weight of the newest job in the mean: some fifty jobs count.
	meanWeight = 0.02
)

// rankOf returns the rank of a job. A job that is half done goes before one that has
// not begun: under overload as many as possible end in time, not all half late.
func (s *Scheduler) rankOf(j *job) rank {
	r := rank{priority: j.spec.Queue.Priority, passing: 1}
	if j.lasting {
		r.passing = 0
	}
	left, whole, chain := j.work()
	if j.spec.Repeat == 0 && !j.lasting {
		objective := clock.Millis(j.spec.Queue.Slack*float64(chain)) + j.spec.Queue.Target
		switch age := s.wall() - j.accepted; {
		case age > lateFactor*objective:
			r.standing = 2
		case age > objective:
			r.standing = 1
		}
	}
	mean := s.meanWork(j.spec.Queue.Name, whole)
	r.density = left / (fixedWorth*mean + (1-fixedWorth)*whole)
	return r
}

// compare orders ranks.
func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.priority, o.priority), cmp.Compare(r.passing, o.passing), cmp.Compare(r.standing, o.standing), cmp.Compare(r.density, o.density))
}

// work returns the declared work that is left and the whole of it, in core-seconds,
// and the longest chain of steps by their estimates.
func (j *job) work() (left, whole float64, chain clock.Millis) {
	ends := make([]clock.Millis, len(j.spec.Steps))
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		each := float64(max(s.CPU, 1)) * float64(max(s.Estimate, 1)) / 1e6
		whole += each * float64(s.Count)
		left += each * float64(s.Count)
		for _, o := range j.occurrences {
			left -= each * float64(o.done[i])
		}
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.Estimate
		chain = max(chain, ends[i])
	}
	return max(left, 0), whole, chain
}

// meanWork returns the running mean of the work of a queue's jobs.
func (s *Scheduler) meanWork(queue string, whole float64) float64 {
	if m := s.means[queue]; m > 0 {
		return m
	}
	return whole
}

// noteWork takes a new job into the mean of its queue.
func (s *Scheduler) noteWork(j *job) {
	_, whole, _ := j.work()
	m := s.means[j.spec.Queue.Name]
	if m == 0 {
		m = whole
	}
	s.means[j.spec.Queue.Name] = m + meanWeight*(whole-m)
	for i := range j.spec.Steps {
		j.lasting = j.lasting || j.spec.Steps[i].LongRunning
	}
}
