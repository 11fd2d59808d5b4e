package scheduler

import (
	"math"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/rescuer"
)

// rescues is the state of the starts of fillers whose jobs have had nothing running for too long, and of
// long-running fillers that have waited for too long.
type rescues struct {
	lastAt, lastLastingAt clock.Millis

	offers []rescuer.Offer
	lines  lineBudget
}

// rescueFillers starts fillers of jobs that have had nothing running for too long on the workers where
// they disturb least, whatever they tolerate. It comes after the placing of a round.
func (s *Scheduler) rescueFillers(ds []demand, ws []*worker, now clock.Millis) {
	if now-s.rescues.lastAt < rescuer.Interval {
		return
	}
	s.rescues.lastAt = now
	var ts []*task
	var idle []clock.Millis
	seen := map[*job]struct{}{}
	for _, d := range ds {
		j := d.occurrence.job
		if _, ok := seen[j]; ok {
			continue
		}
		t := d.firstWaiting()
		if t == nil || !s.mayRescue(t, now) {
			continue
		}
		seen[j] = struct{}{}
		ts, idle = append(ts, t), append(idle, now-max(t.waitingSince, j.runEndedAt))
	}
	rescued := 0
	for _, w := range ws {
		rescued += w.rescuedCount(now)
	}
	for _, i := range rescuer.Due(idle, rescued, len(ws)) {
		if s.startsLeft <= 0 {
			return
		}
		s.rescue(ts[i], ws, now)
	}
}

// rescueLastingFillers starts long-running fillers that have waited for too long, whatever they tolerate.
// It comes before the placing of tasks that end by themselves, which could take the room.
func (s *Scheduler) rescueLastingFillers(ds []demand, ws []*worker, now clock.Millis) {
	if now-s.rescues.lastLastingAt < rescuer.Interval {
		return
	}
	s.rescues.lastLastingAt = now
	var ts []*task
	var waits []clock.Millis
	for _, d := range ds {
		if step := &d.occurrence.job.spec.Steps[d.step]; !step.Filler || !step.LongRunning || step.Gang {
			continue
		}
		for _, t := range d.tasks {
			if t.state == pending && t.waitingSince != 0 && !t.isSuspect() && s.mayStart(t, now) {
				ts, waits = append(ts, t), append(waits, now-t.waitingSince)
			}
		}
	}
	started, noWorker := 0, map[*Step]bool{}
	for _, i := range rescuer.DueLasting(waits) {
		if s.startsLeft <= 0 || started >= rescuer.MaxStarts {
			return
		}
		// The start before may have used up the cap of the tenant.
		t := ts[i]
		if noWorker[t.spec()] || !s.mayStart(t, now) {
			continue
		}
		if s.rescue(t, ws, now) {
			started++
		} else {
			noWorker[t.spec()] = true
		}
	}
}

// firstWaiting returns the task of a demand that has waited longest for a worker, nil if none waits.
func (d *demand) firstWaiting() *task {
	var first *task
	for _, t := range d.tasks {
		if t.state == pending && t.waitingSince != 0 && (first == nil || t.waitingSince < first.waitingSince) {
			first = t
		}
	}
	return first
}

// mayRescue reports whether a task may start for the reason that its job has nothing running.
func (s *Scheduler) mayRescue(t *task, now clock.Millis) bool {
	step := t.spec()
	return step.Filler && !step.Gang && !step.LongRunning && !t.isSuspect() && !t.job().hasRuns() && s.mayStart(t, now)
}

// rescue starts a task on the worker where it disturbs least, and reports whether there is one for it.
func (s *Scheduler) rescue(t *task, ws []*worker, now clock.Millis) bool {
	step, offers := t.spec(), s.rescues.offers[:0]
	countRescued := (*worker).rescuedCount
	if step.LongRunning {
		countRescued = (*worker).unsettledRescues
	}
	var offering []*worker
	for _, w := range ws {
		if w.availableIn != s.round || w.isOnTrial() || s.reservedForOthers(t, step, w) || !s.admitted(t, w) {
			continue
		}
		if e := s.unsuitability(t, step, w, math.Inf(1)); e != notExcluded && e != interfering {
			continue
		}
		offering = append(offering, w)
		offers = append(offers, rescuer.Offer{Interference: s.interference(step, w), Violated: s.servingOverObjective(w), Rescued: countRescued(w, now)})
	}
	s.rescues.offers = offers
	i := rescuer.Choose(offers)
	if i < 0 {
		return false
	}
	w := offering[i]
	if s.rescues.lines.allows(now) {
		s.emit(logger.FillerRescued, logger.String("task", t.name().String()), logger.String("worker", w.info.ID), logger.Int("waited-ms", int64(now-t.waitingSince)),
			logger.String("tolerance", formatInterference(s.tolerance(t))), logger.String("interference", formatInterference(offers[i].Interference)))
	}
	s.assign(t, w, now)
	t.rescued = true
	return true
}

// rescuedCount returns the number of runs on the worker that started because their jobs had nothing
// running, and of the rescued long-running ones that have not settled.
func (w *worker) rescuedCount(now clock.Millis) int {
	n := w.unsettledRescues(now)
	for _, t := range w.tasks {
		if t.rescued && !t.spec().LongRunning {
			n++
		}
	}
	return n
}

// unsettledRescues returns the number of rescued long-running tasks on the worker whose effect it has not
// reported yet. Rescued runs that end by themselves don't hold up long-running ones.
func (w *worker) unsettledRescues(now clock.Millis) int {
	n := 0
	for _, t := range w.tasks {
		if t.rescued && t.spec().LongRunning && now-t.placedAt < rescuer.SettleTime {
			n++
		}
	}
	return n
}
