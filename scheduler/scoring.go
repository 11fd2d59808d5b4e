package scheduler

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
)

const (
	// These penalties and imageBonus are shares of a worker's processors, like the score.
	// remotePenalty is for a worker outside the rack of the task's data, failurePenalty
	// for each point of its failure score, and avoidPenalty for the worker where the task
	// last failed or stalled.
	remotePenalty  = 1.0
	failurePenalty = 0.5
	avoidPenalty   = 1.0
	// refusedPenalty is for a worker that has refused the task. It exceeds all others, as a worker that
	// rejects tasks stays empty and looks best.
	refusedPenalty = 100.0
	// interferencePenalty is the factor by which the interference of a filler lowers the
	// score.
	interferencePenalty = 4.0
	// interferenceLimit is the interference up to which a filler that has not waited may
	// be placed on a worker. Each toleranceStepTime that it waits raises the limit by
	// interferenceLimit.
	interferenceLimit = 0.05
	toleranceStepTime = 2 * clock.Second
	// imageBonus packs the serving tasks of one image onto few workers, so that the other
	// workers have room for fillers that are harmful to that image.
	imageBonus = 1.0
)

// hasRoom reports whether any of the workers could run a task. Workers that still need a
// ticket of the policy count; those that it has denied do not. A task whose tenant holds more than its
// cap could not start again.
func (s *Scheduler) hasRoom(t *task, ws []*worker) bool {
	if s.isOverCap(t) {
		return false
	}
	step, tolerance := t.spec(), s.tolerance(t)
	return slices.ContainsFunc(ws, func(w *worker) bool { return s.canRun(t, step, w, tolerance) })
}

// canRun reports whether a worker meets the requirements of a task and has room for it.
func (s *Scheduler) canRun(t *task, step *Step, w *worker, tolerance float64) bool {
	return s.unsuitability(t, step, w, tolerance) == notExcluded
}

// mayRunRemote reports whether a task has waited for a worker in its rack for at least
// the extra run time elsewhere. Until then it may still end sooner by waiting. A task that
// lasts has no end to wait for.
func (s *Scheduler) mayRunRemote(t *task, step *Step) bool {
	return step.LongRunning || t.waitingSince != 0 && s.now()-t.waitingSince >= s.remoteDelay(step)
}

// remoteDelay returns the expected extra run time of a task outside the rack of its data,
// or of a colocated gang across racks.
func (s *Scheduler) remoteDelay(step *Step) clock.Millis {
	return clock.Millis((s.remoteFactor - 1) * float64(step.Estimate))
}

func racksOf(ws []*worker) map[string]bool {
	racks := map[string]bool{}
	for _, w := range ws {
		racks[w.info.Rack] = true
	}
	return racks
}

// servingOverObjective reports whether a serving task of the worker violates its
// objective.
func (s *Scheduler) servingOverObjective(w *worker) bool {
	return w.serving > 0 && len(s.servingGroups(w)) > 0 && w.overObjective
}

// tolerance returns the interference up to which a filler may be placed now.
func (s *Scheduler) tolerance(t *task) float64 {
	return interferenceLimit * (1 + float64(s.now()-t.waitingSince)/float64(toleranceStepTime))
}

func (w *worker) countOfStep(t *task) int {
	n := 0
	for _, o := range w.tasks {
		if o.occurrence == t.occurrence && o.step == t.step {
			n++
		}
	}
	return n
}

// score rates a worker for a task; higher is better. It is the free share of the worker's
// processors, or how well the task fits while larger ones wait, plus imageBonus less the penalties.
func (s *Scheduler) score(t *task, step *Step, w *worker) float64 {
	free := s.roomScore(t, step, w)
	switch {
	case step.Filler:
		free -= interferencePenalty * s.interference(step, w)
	case step.Objective > 0:
		free += imageBonus * w.imageShare(step.Image)
	}
	if step.Rack != "" && !w.hasLabel(step.Rack) {
		free -= remotePenalty
	}
	free -= failurePenalty * w.failures
	if w.upkeepDue {
		free -= upkeepPenalty
	}
	if t.avoidWorker == w.info.ID {
		free -= avoidPenalty
	}
	if t.wasRefusedBy(w) {
		free -= refusedPenalty
	}
	return free
}

// imageShare returns the share of the worker's serving tasks that run an image.
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
