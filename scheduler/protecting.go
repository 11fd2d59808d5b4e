package scheduler

import (
	"galenawharf.example/galenawharf/clock"
)

type (
	// image is what has been learnt of the tasks of one image.
	image struct {
		// harmful grows each time a filler of the image was beside a serving task
		// over its objective, and shrinks when it was beside one under it.
		harmful float64
	}
)

const (
	// paceLow is the share of its speed a filler keeps beside a serving task over
	// its objective; it must not disturb, so it stands still.
	paceLow = 0
	// paceRise is added each calmBefore while the serving tasks are well.
	paceRise = 50
	// calmBefore is how long a worker's serving tasks have to be under their
	// objective before its fillers go faster; the gauge covers half a second.
	calmBefore = 1500 * clock.Millis(1)
	// nearObjective is the share of the objective from which fillers are slowed.
	nearObjective = 0.9
)

// gauge takes in the reported tail latency of a serving task.
func (s *Scheduler) gauge(t *task, tail clock.Millis) {
	t.tail = tail
	if float64(tail) <= nearObjective*float64(t.spec().Objective) {
		t.over = 0
		return
	}
	if t.over == 0 {
		t.over = s.now()
	}
}

// protect slows the fillers beside serving tasks that are over their objective, and
// lets them go again after.
func (s *Scheduler) protect() {
	now := s.now()
	for _, w := range s.workers {
		if w.serving == 0 || w.fillerCPU == 0 && len(w.tasks) == w.serving {
			continue
		}
		over := false
		for t := range w.tasks {
			over = over || t.over != 0 && t.state == running
		}
		switch {
		case over:
			w.calm = now
			s.paceFillers(w, paceLow)
		case now-w.calm > calmBefore:
			w.calm = now
			s.paceFillers(w, paceRise)
		}
	}
}

// paceFillers stops the fillers of a worker for paceLow, else speeds them up by the
// step given.
func (s *Scheduler) paceFillers(w *worker, rise int) {
	for t := range w.tasks {
		if !t.spec().Filler || t.state != running || t.stopping {
			continue
		}
		p := paceLow
		if rise > 0 {
			p = min(t.pace+rise, 100)
		}
		if p != t.pace {
			t.pace = p
			s.immediate = append(s.immediate, s.order(Pace, t))
		}
	}
}
