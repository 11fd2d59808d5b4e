package scheduler

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

const (
	// paceFloor is the pace in percent down to which fillers are halved each time a
	// serving task beside them is over its objective; the bursts of its users are short.
	paceFloor = 25
	// paceRise is added each paceEvery at most while they are well.
	paceRise = 50
	// paceStep is the least change of a pace.
	paceStep = 8
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
	usable := s.usable(now)
	for _, w := range s.ordered() {
		if len(w.tasks) == w.serving || now-w.pacedAt < paceEvery {
			continue
		}
		w.pacedAt = now
		s.protectOn(w, usable, now)
	}
}

// protectOn sets the pace of the fillers of one worker: what the models allow, less
// while a serving task is over its objective. After long they stand still. While fillers
// wait for room, slowing those that disturb little would cost more jobs than it saves.
func (s *Scheduler) protectOn(w *worker, usable []*worker, now clock.Millis) {
	over := clock.Millis(0)
	for _, t := range w.tasks {
		if t.over != 0 && t.state == running {
			over = max(over, now-t.over+1)
		}
	}
	urgent := float64(over) > standstill*float64(s.harmLimit)
	fillers, paces := s.paces(w)
	for _, t := range fillers {
		p := paces[t]
		if t.state != running || t.stopping {
			continue
		}
		switch {
		case urgent:
			p = 0
		case over > 0 && (!s.crowded || s.harms(t, w)):
			p = min(p, max(t.pace/2, paceFloor))
		default:
			p = min(p, t.pace+paceRise)
		}
		s.pace(t, steady(t.pace, p))
		s.relocate(t, w, usable, now)
	}
}

// harms reports whether a filler is known to disturb a task of its worker that is over
// its objective.
func (s *Scheduler) harms(f *task, w *worker) bool {
	return slices.ContainsFunc(w.tasks, func(t *task) bool {
		return t.over != 0 && s.sensitivityOf(t.spec().Image).harmful(f.spec().Image)
	})
}

// relocate stops a filler that has been slow for a while if another worker would let
// it work at full speed. It starts there from its checkpoint.
func (s *Scheduler) relocate(t *task, w *worker, usable []*worker, now clock.Millis) {
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
	for _, o := range usable {
		if o != w && !t.denied(o) && o.info.Service == w.info.Service && o.hasLabel(t.spec().Label) && o.fits(t.spec()) && s.disturbance(t.spec(), o) <= disturbanceLimit {
			s.emit(logger.RunRelocated, logger.String("task", t.name().String()), logger.String("worker", w.info.ID), logger.Int("pace", int64(t.pace)))
			s.stop(t)
			return
		}
	}
}

// steady returns the pace to set: small changes are left out, as each takes a call.
func steady(now, next int) int {
	if d := next - now; d < paceStep && d > -paceStep && next != 0 && next != 100 {
		return now
	}
	return next
}

func (s *Scheduler) pace(t *task, p int) {
	if p == t.pace && !t.paceOpen {
		return
	}
	t.pace, t.paceOpen = p, false
	t.worker.grouped = false
	t.pacedAt = s.now()
	s.immediate = append(s.immediate, s.order(Pace, t))
}
