package scheduler

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// ClockReading bounds what the clock of a worker process showed at a time.
	ClockReading struct {
		Worker string
		Born   int64
		// Clock is a time on the worker's clock that it had not passed.
		Clock clock.Millis
	}

	// witnesses are the clock readings that the former leader has left. While no daemon runs,
	// the clocks of workers are the only ones that show how much time passes.
	witnesses struct {
		// takenAt is when the readings were taken, on the clock that leaders hand on.
		takenAt  clock.Millis
		readings map[string]ClockReading
		// latest has, for each worker that has answered, the latest time on this host's clock at
		// which its reading can have been taken.
		latest []clock.Millis
	}
)

const (
	// MaxWitnesses is the number of clock readings that a leader leaves. Two thirds of these
	// workers may have left when the next leader asks for them.
	MaxWitnesses = 9
	// minWitnesses is the number of workers whose clocks must show that a time has passed, so
	// that two may be wrong.
	minWitnesses = 3
	// maxWitnessAge is the age of the report up to which a worker's clock is left to the next
	// leader: twice the longest time between two polls of a worker with runs.
	maxWitnessAge = 2 * clock.Second
)

// ClockReadings returns the clock readings to leave to the next leader, of up to MaxWitnesses
// workers, from as many data centres as possible.
func (s *Scheduler) ClockReadings() []ClockReading {
	now := s.now()
	perDataCentre := map[string]int{}
	type candidate struct {
		worker *worker
		// turn is the number of workers of its data centre before it.
		turn int
	}
	var cs []candidate
	for _, w := range s.sortedWorkers() {
		if !w.registered || w.info.Draining || w.silentSince != 0 || len(w.tasks) == 0 || w.reportSentAt == 0 || now-w.reportSentAt > maxWitnessAge {
			continue
		}
		cs = append(cs, candidate{w, perDataCentre[w.info.DataCentre]})
		perDataCentre[w.info.DataCentre]++
	}
	slices.SortStableFunc(cs, func(a, b candidate) int { return cmp.Compare(a.turn, b.turn) })
	var rs []ClockReading
	for _, c := range cs[:min(len(cs), MaxWitnesses)] {
		w := c.worker
		// The worker had read its clock when it answered, at the earliest when it was asked.
		elapsed := clock.Millis(float64(now-w.reportSentAt) * (1 + maxClockDrift))
		rs = append(rs, ClockReading{Worker: w.info.ID, Born: w.info.Born, Clock: w.reportClock + elapsed + 1})
	}
	return rs
}

// ExpectClocks sets the clock readings that the former leader has left, and when they were taken, as
// a reading of the clock that leaders hand on. The clocks of these workers then show how long ago
// that was, if no daemon has seen that time pass.
func (s *Scheduler) ExpectClocks(takenAt clock.Millis, rs []ClockReading) {
	if s.relay == nil || len(rs) < minWitnesses {
		return
	}
	s.witnesses = &witnesses{takenAt: takenAt, readings: make(map[string]ClockReading, len(rs))}
	for _, r := range rs {
		s.witnesses.readings[r.Worker] = r
	}
}

// noteClock compares the clock of a worker that answers with the reading that the former leader has
// left, and limits the leases of former leaders by the time that minWitnesses clocks show.
func (s *Scheduler) noteClock(w *worker, c clock.Millis) {
	if s.witnesses == nil {
		return
	}
	r, ok := s.witnesses.readings[w.info.ID]
	if !ok || r.Born != w.info.Born || c == 0 {
		return
	}
	delete(s.witnesses.readings, w.info.ID)
	passed := clock.Millis(float64(max(c-r.Clock, 0)) / (1 + maxClockDrift))
	s.witnesses.latest = append(s.witnesses.latest, s.now()-passed)
	if len(s.witnesses.latest) < minWitnesses {
		return
	}
	slices.Sort(s.witnesses.latest)
	unseen := s.relay.Local(s.witnesses.takenAt) - s.witnesses.latest[minWitnesses-1]
	if unseen <= s.unseen {
		return
	}
	s.unseen = unseen
	s.emit(logger.OutageMeasured, logger.Int("unseen-ms", int64(unseen)), logger.Int("witnesses", int64(len(s.witnesses.latest))))
	for _, w := range s.workers {
		if w.inherited.reading != 0 {
			s.limitInherited(w, w.inherited.reading)
		}
	}
	if s.inherited.reading != 0 {
		s.inherited.end = min(s.inherited.end, s.localInherited(s.inherited.reading))
	}
}
