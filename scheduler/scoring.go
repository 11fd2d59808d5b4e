package scheduler

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
)

const (
	// awayPenalty, failurePenalty and avoidPenalty are shares of a whole worker.
	awayPenalty    = 1.0
	failurePenalty = 0.5
	avoidPenalty   = 1.0
	// disturbancePenalty weighs a serving task that loses a comfortable headroom against
	// free processors.
	disturbancePenalty = 4.0
	// disturbanceLimit is the disturbance that keeps a filler off a worker. Each
	// disturbancePatience of waiting allows as much more.
	disturbanceLimit    = 0.05
	disturbancePatience = 2 * clock.Second
	// imageBonus gathers the serving tasks of one image on few workers, so that
	// fillers which disturb that image find room on others.
	imageBonus = 1.0
)

// hasRoom reports whether a worker would suit a task, whatever the policy of its
// queue says of workers that it was not asked about.
func (s *Scheduler) hasRoom(t *task, ws []*worker) bool {
	step, tolerance := t.spec(), s.tolerance(t)
	return slices.ContainsFunc(ws, func(w *worker) bool { return s.suits(t, step, w, tolerance) })
}

// suits reports whether a worker has what a task needs, and room for it.
func (s *Scheduler) suits(t *task, step *Step, w *worker, tolerance float64) bool {
	switch {
	case w.info.Service != t.job().spec.Queue.Service, !w.hasLabel(step.Label), !w.fits(step), t.denied(w):
		return false
	case step.PerWorker > 0 && w.countOf(t) >= step.PerWorker:
		return false
	case step.Rack != "" && !w.hasLabel(step.Rack) && s.racks[step.Rack] && !s.worthDetour(t, step):
		return false
	case w.failures >= failureQuarantine && w.probedAt >= w.failedAt:
		// One run at a time shows whether it is well again.
		return false
	default:
		return !step.Filler || !s.overdue(w) && s.disturbance(step, w) <= tolerance
	}
}

// worthDetour reports whether a task has waited for room beside its data as long as a
// run elsewhere would take longer: until then waiting on may end sooner.
func (s *Scheduler) worthDetour(t *task, step *Step) bool {
	return t.waiting != 0 && s.now()-t.waiting >= s.detour(step)
}

// detour returns how much longer a task is expected to take away from its data, or a
// gang spread over racks.
func (s *Scheduler) detour(step *Step) clock.Millis {
	return clock.Millis((s.remoteFactor - 1) * float64(step.Estimate))
}

func racksOf(ws []*worker) map[string]bool {
	racks := map[string]bool{}
	for _, w := range ws {
		racks[w.info.Rack] = true
	}
	return racks
}

// overdue reports whether a serving task of the worker is over its objective.
func (s *Scheduler) overdue(w *worker) bool {
	return w.serving > 0 && len(s.servingGroups(w)) > 0 && w.overdue
}

// tolerance returns how much a filler may disturb the tasks beside it.
func (s *Scheduler) tolerance(t *task) float64 {
	return disturbanceLimit * (1 + float64(s.now()-t.waiting)/float64(disturbancePatience))
}

func (w *worker) countOf(t *task) int {
	n := 0
	for _, o := range w.tasks {
		if o.occurrence == t.occurrence && o.step == t.step {
			n++
		}
	}
	return n
}

// score rates a worker by the share of its processors that stays free.
func (s *Scheduler) score(t *task, step *Step, w *worker) float64 {
	total := float64(max(w.info.CPU, 1))
	free := float64(w.info.CPU-w.cpu-w.fillerCPU) / total
	switch {
	case step.Filler:
		free -= disturbancePenalty * s.disturbance(step, w)
	case step.Objective > 0:
		free += imageBonus * w.imageShare(step.Image)
	}
	if step.Rack != "" && !w.hasLabel(step.Rack) {
		free -= awayPenalty
	}
	free -= failurePenalty * w.failures
	if w.due {
		free -= duePenalty
	}
	if t.avoid == w.info.ID {
		free -= avoidPenalty
	}
	return free
}

// imageShare returns the share of the worker's serving tasks that are of an image.
func (w *worker) imageShare(image string) float64 {
	if w.serving == 0 {
		return 0
	}
	n := 0
	for _, t := range w.tasks {
		if t.spec().Objective > 0 && t.spec().Image == image {
			n++
		}
	}
	return float64(n) / float64(w.serving)
}
