package scheduler

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

const (
	// minHalvedPace is the lowest pace, in percent, to which paces are halved while a
	// serving task on the worker violates its objective. Bursts of user load are short.
	minHalvedPace = 25
	// maxPaceIncrease bounds the increase of a pace in one paceInterval, in percentage
	// points.
	maxPaceIncrease = 50
	// minPaceChange is the least change of a pace, in percentage points, that is worth a
	// call to the worker. Changes to 0 or 100 are always made.
	minPaceChange = 8
	// paceInterval is the time between adjustments of the paces on a worker; the reported
	// tail latencies cover half a second.
	paceInterval = 500 * clock.Millis(1)
	// pauseShare is the share of violationLimit for which a violation may last before the
	// fillers on the worker are paused.
	pauseShare = 0.4
	// slowPace is the pace, in percent, up to which a filler counts as slow, and
	// relocationDelay how long it has to be slow before it is moved. A move takes half a
	// second, for the stop and the restart from a checkpoint.
	slowPace        = 50
	relocationDelay = clock.Second
	// violationShare is the share of the objective above which a tail latency counts as a
	// violation, and recoveryShare the share below which the violation ends. The
	// hysteresis is needed because the readings are noisy.
	violationShare = 0.95
	recoveryShare  = 0.8
)

// updateTailLatency applies the reported tail latency of a serving task.
func (s *Scheduler) updateTailLatency(t *task, tail clock.Millis) {
	t.tailLatency = tail
	o := float64(t.spec().Objective)
	switch {
	case float64(tail) < recoveryShare*o:
		t.overSince = 0
	case float64(tail) > violationShare*o && t.overSince == 0:
		t.overSince = s.now()
	}
}

// paceAllFillers adjusts the paces of all fillers, to protect the serving tasks on their
// workers.
func (s *Scheduler) paceAllFillers() {
	now := s.now()
	available := s.availableWorkers(now)
	for _, w := range s.sortedWorkers() {
		if len(w.tasks) == w.serving || now-w.pacedAt < paceInterval {
			continue
		}
		w.pacedAt = now
		s.paceFillers(w, available, now)
	}
}

// paceFillers sets the paces of the fillers on one worker: what the models allow, less
// while a serving task violates its objective, and 0 after a long violation. While other
// fillers wait for room, only fillers that are known to be harmful to such a task are
// halved: slowing the rest would delay more jobs than it helps.
func (s *Scheduler) paceFillers(w *worker, available []*worker, now clock.Millis) {
	longestViolation := clock.Millis(0)
	for _, t := range w.tasks {
		if t.overSince != 0 && t.state == running {
			longestViolation = max(longestViolation, now-t.overSince+1)
		}
	}
	pause := float64(longestViolation) > pauseShare*float64(s.violationLimit)
	fillers, paces := s.fillerPaces(w)
	for _, t := range fillers {
		p := paces[t]
		if t.state != running || t.stopping {
			continue
		}
		switch {
		case pause:
			p = 0
		case longestViolation > 0 && (!s.fillersWaiting || s.contributesToViolation(t, w)):
			p = min(p, max(t.pace/2, minHalvedPace))
		default:
			p = min(p, t.pace+maxPaceIncrease)
		}
		s.setPace(t, skipSmallChange(t.pace, p))
		s.relocateSlowFiller(t, w, available, now)
	}
}

// contributesToViolation reports whether a filler is known to be harmful to a serving
// task on its worker that violates its objective.
func (s *Scheduler) contributesToViolation(f *task, w *worker) bool {
	return slices.ContainsFunc(w.tasks, func(t *task) bool {
		return t.overSince != 0 && s.sensitivityOf(t.spec().Image).harmful(f.spec().Image)
	})
}

// relocateSlowFiller stops a filler that has been slow for relocationDelay if another
// worker could run it at full speed. The next round of placing restarts it from its
// checkpoint.
func (s *Scheduler) relocateSlowFiller(t *task, w *worker, available []*worker, now clock.Millis) {
	switch {
	case t.pace > slowPace:
		t.slowSince = 0
		return
	case t.slowSince == 0:
		t.slowSince = now
		return
	case now-t.slowSince < relocationDelay || !t.spec().Checkpointing:
		return
	}
	for _, o := range available {
		if o != w && !t.denied(o) && o.info.Service == w.info.Service && o.hasLabel(t.spec().Label) && o.fits(t.spec()) && s.interference(t.spec(), o) <= interferenceLimit {
			s.emit(logger.RunRelocated, logger.String("task", t.name().String()), logger.String("worker", w.info.ID), logger.Int("pace", int64(t.pace)))
			s.stop(t)
			return
		}
	}
}

// skipSmallChange returns the pace to set: the current one if the change is too small to
// be worth a call to the worker.
func skipSmallChange(now, next int) int {
	if d := next - now; d < minPaceChange && d > -minPaceChange && next != 0 && next != 100 {
		return now
	}
	return next
}

func (s *Scheduler) setPace(t *task, p int) {
	if p == t.pace && !t.paceUnknown {
		return
	}
	t.pace, t.paceUnknown = p, false
	t.worker.groupsValid = false
	t.pacedAt = s.now()
	s.immediate = append(s.immediate, s.newOrder(Pace, t))
}
