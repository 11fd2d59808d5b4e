package scheduler

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

const (
	// paceCut is the share of their speed that fillers keep each time a serving task
	// beside them is over its objective, down to paceFloor.
	paceCut   = 0.5
	paceFloor = 25
	// paceRise is added each paceEvery while the serving tasks are well.
	paceRise = 25
	// paceEvery is the time between changes; the gauge covers half a second.
	paceEvery = 500 * clock.Millis(1)
	// standstill is the share of the limit on harm after which fillers stand still.
	standstill = 0.4
	// relocatePace is the pace from which a filler is slow, and relocateAfter how long
	// it is so before it moves; a move costs a stop and a restore, half a second.
	relocatePace  = 50
	relocateAfter = clock.Second
	// nearObjective is the share of the objective from which a tail counts as over,
	// and wellBelow that under which it no longer does; the gauge is rough.
	nearObjective = 0.95
	wellBelow     = 0.8
)

// gauge takes in the reported tail latency of a serving task.
func (s *Scheduler) gauge(t *task, tail clock.Millis) {
	t.tail = tail
	o := float64(t.spec().Objective)
	switch {
	case float64(tail) < wellBelow*o:
		t.over = 0
	case float64(tail) > nearObjective*o && t.over == 0:
		t.over = s.now()
	}
}

// protect slows the fillers beside serving tasks that are over their objective, and
// lets them go again after.
func (s *Scheduler) protect() {
	now := s.now()
	for _, w := range s.workers {
		if w.serving == 0 || len(w.tasks) == w.serving || now-w.pacedAt < paceEvery {
			continue
		}
		w.pacedAt = now
		s.protectOn(w, now)
	}
}

// protectOn sets the pace of the fillers of one worker. Where some are known to harm
// the tasks that are over, those are slowed and the others go on.
func (s *Scheduler) protectOn(w *worker, now clock.Millis) {
	over := clock.Millis(0)
	var models []*sensitivity
	for t := range w.tasks {
		if t.over != 0 && t.state == running {
			over = max(over, now-t.over+1)
			models = append(models, s.sensitivityOf(t.spec().Image))
		}
	}
	known := false
	for t := range w.tasks {
		for _, m := range models {
			known = known || t.spec().Filler && t.state == running && m.harmful(t.spec().Image)
		}
	}
	urgent := float64(over) > standstill*float64(s.harmLimit)
	shares := w.fillerShares()
	for t := range w.tasks {
		if !t.spec().Filler || t.state != running || t.stopping {
			continue
		}
		p := nextPace(t.pace, 0, s.harmLimit)
		switch {
		case urgent:
			p = 0
		case over > 0 && s.harms(t, models):
			p = nextPace(t.pace, over, s.harmLimit)
		case over > 0 && !known:
			p = nextPace(t.pace, over, s.harmLimit)
		case over > 0:
			p = t.pace
		}
		s.pace(t, min(p, s.slowdown(t, w, shares)))
		s.relocate(t, w, now)
	}
}

// relocate stops a filler that has been slow for a while if another worker would let
// it work at full speed. It starts there from its checkpoint.
func (s *Scheduler) relocate(t *task, w *worker, now clock.Millis) {
	switch {
	case t.pace > relocatePace:
		t.slowSince = 0
		return
	case t.slowSince == 0:
		t.slowSince = now
		return
	case now-t.slowSince < relocateAfter || !t.spec().Checkpointing:
		return
	}
	for _, o := range s.usable(now) {
		if o != w && !t.denied(o) && o.info.Service == w.info.Service && o.hasLabel(t.spec().Label) && o.fits(t.spec()) && s.disturbance(t.spec(), o) <= disturbanceLimit {
			s.emit(logger.RunRelocated, logger.String("task", t.name().String()), logger.String("worker", w.info.ID), logger.Int("pace", int64(t.pace)))
			s.stop(t)
			return
		}
	}
}

// harms reports whether a filler is known to disturb any of the images.
func (s *Scheduler) harms(t *task, models []*sensitivity) bool {
	for _, m := range models {
		if m.harmful(t.spec().Image) {
			return true
		}
	}
	return false
}

// nextPace returns the share of its speed that a filler gets, in percent, when a
// serving task beside it has been over its objective for a time, or 0.
func nextPace(p int, over, limit clock.Millis) int {
	switch {
	case over == 0:
		return min(p+paceRise, 100)
	case float64(over) > standstill*float64(limit):
		return 0
	default:
		return max(int(paceCut*float64(p)), min(p, paceFloor))
	}
}

func (s *Scheduler) pace(t *task, p int) {
	if p == t.pace {
		return
	}
	t.worker.fillerCPU -= t.pacedCPU()
	t.pace = p
	t.worker.fillerCPU += t.pacedCPU()
	t.mixed(s.now())
	s.immediate = append(s.immediate, s.order(Pace, t))
}
