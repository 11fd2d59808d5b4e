package scheduler

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

// maxClockDifference is the difference between the times of day of two leaders from which it is logged: twice
// the tolerance of the platform for starts of repeated jobs, which alone depend on it.
const maxClockDifference = 500 * clock.Millis(1)

// ageOf returns the time since a job was accepted, by any leader.
func (s *Scheduler) ageOf(j *job) clock.Millis {
	age := s.elapsed(j.acceptedReading, j.acceptedAt)
	if j.loaded && s.relay != nil && j.acceptedReading != 0 {
		age += s.unseen
	}
	return age
}

// dueAt returns when an occurrence was or will be due, on this host's monotonic clock.
func (s *Scheduler) dueAt(o *occurrence, now clock.Millis) clock.Millis {
	if o.job.spec.Repeat == 0 {
		return now - s.ageOf(o.job)
	}
	return now + o.job.due(o.number) - s.wall()
}

// elapsed returns the time since an event that has a reading of the clock that leaders hand on and a time of
// day. The times of day of two hosts may differ, so they are only compared if there is no reading.
func (s *Scheduler) elapsed(reading, wall clock.Millis) clock.Millis {
	if s.relay != nil && reading != 0 {
		return max(s.reading()-reading, 0)
	}
	return max(s.wall()-wall, 0)
}

// plausibleReading returns a stored reading of a past event, or the present one if there is none or if it is
// later: the clock that leaders hand on starts again after a claim that can't be read.
func (s *Scheduler) plausibleReading(r clock.Millis) clock.Millis {
	if now := s.reading(); r == 0 || r > now {
		return now
	}
	return r
}

// noteClockDifference compares this host's time of day with that of the leader that accepted a job, for the
// newest of the loaded jobs. An outage that no daemon has seen counts as a difference.
func (s *Scheduler) noteClockDifference(j *job) {
	if s.relay == nil || j.acceptedReading <= s.newestLoaded {
		return
	}
	s.newestLoaded = j.acceptedReading
	s.wallAhead = s.wall() - j.acceptedAt - (s.reading() - j.acceptedReading)
}

// logClockDifference logs once in a term that the times of day differ.
func (s *Scheduler) logClockDifference() {
	if d := s.wallAhead; d > maxClockDifference || d < -maxClockDifference {
		s.emit(logger.ClocksDiffer, logger.Int("ahead-ms", int64(d)))
	}
	s.wallAhead = 0
}
