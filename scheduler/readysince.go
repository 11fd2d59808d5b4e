package scheduler

import "galenawharf.example/galenawharf/clock"

// reading returns the time on the clock that leaders hand on; 0 if there is none.
func (s *Scheduler) reading() clock.Millis { return s.readingAt(s.now()) }

// readingAt returns the reading at a time on this host's clock; 0 if there is none.
func (s *Scheduler) readingAt(at clock.Millis) clock.Millis {
	if s.relay == nil {
		return 0
	}
	return s.relay.At(at)
}

// resumeWaits lets the loaded tasks that wait for a worker go on with the waits that they began
// under former leaders.
func (s *Scheduler) resumeWaits(j *job) {
	if s.relay == nil {
		return
	}
	j.eachTask(func(t *task) {
		if t.runEndedAt != 0 && !t.hasRun() {
			j.runEndedAt = max(j.runEndedAt, min(s.relay.Local(t.runEndedAt), s.now()))
		}
		if t.state != pending {
			return
		}
		if since := t.readySince(); since != 0 {
			t.waitingSince = min(s.relay.Local(since), s.now())
		}
	})
}

// readySince returns when a task without a run began to wait for one, as a reading of the clock that
// leaders hand on; 0 if it does not wait, or if the records don't tell.
func (t *task) readySince() clock.Millis {
	o, j := t.occurrence, t.job()
	if !o.ready(t.step) {
		return 0
	}
	if t.runEndedAt != 0 {
		return t.runEndedAt
	}
	if t.attempt > 0 {
		// A program without readings has stored the end of the last run.
		return 0
	}
	since := j.acceptedReading
	if j.spec.Repeat > 0 && len(t.spec().After) == 0 {
		return 0
	}
	for _, a := range t.spec().After {
		for _, p := range o.steps[a] {
			if p.runEndedAt == 0 {
				return 0
			}
			since = max(since, p.runEndedAt)
		}
	}
	return since
}
