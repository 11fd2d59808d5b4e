package scheduler

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

// A task may crash each worker that starts it. A task is suspected by the weight of the evidence,
// cleared when its worker lists it for a while after its start, and given up, with its job, when
// workers crash on which it was tried alone. What counts is stored with the task before its next
// start, so that it outlasts the leader.
const (
	// isolationSuspicion is the suspicion from which a task starts on a worker of its own. One
	// crash reaches it unless it may well have another cause.
	isolationSuspicion = sharedWeight
	// convictionSuspicion is the suspicion from which a task is given up: one crash that it
	// shared and one on trial.
	convictionSuspicion = sharedWeight + soleWeight
	// isolationCrashes is the number of crashes, whatever the evidence, from which a task has a
	// worker of its own until it has lasted for lateCrashTime.
	isolationCrashes = 3
	// convictionCrashes is the number of crashes, whatever the evidence, from which a task is
	// given up; after three crashes the platform's rules allow two more starts.
	convictionCrashes = 5
	// minConvictionCrashes is the number of crashes below which no task is given up; from the
	// platform's rules.
	minConvictionCrashes = 2
	// lateCrashTime is how long after the start of a run a crash of its worker may still be held
	// against the task. Once a run has lasted for that long, earlier crashes no longer count.
	lateCrashTime = 2 * clock.Second
)

// WithOnGivenUp sets a function that is called for each task that is given up because workers crash
// that start it.
func WithOnGivenUp(f func()) Option { return func(s *Scheduler) { s.onGivenUp = f } }

// isSuspect reports whether a task must not share a worker with others.
func (t *task) isSuspect() bool {
	return t.suspicion >= isolationSuspicion || t.crashes >= isolationCrashes
}

// applyEvidence adds evidence against a task, and reports whether the task has to be given up.
func (s *Scheduler) applyEvidence(t *task, w *worker, e evidence) bool {
	if t.job().phase.final() || !e.crashed && e.weight == 0 {
		return false
	}
	if e.crashed {
		t.crashes++
	}
	t.suspicion += e.weight
	t.lossNoted = true
	s.markDirty(t.job())
	if e.weight > 0 {
		s.emit(logger.TaskSuspected, logger.String("task", t.name().String()), logger.Int("attempt", int64(t.attempt)), logger.String("worker", w.info.ID),
			logger.String("evidence", e.kind), logger.Int("suspicion", int64(t.suspicion)), logger.Int("crashes", int64(t.crashes)))
	}
	return t.suspicion >= convictionSuspicion && t.crashes >= minConvictionCrashes || t.crashes >= convictionCrashes
}

// suspectUnheard adds weak evidence against a task whose run is lost with a worker that has left the
// registry and was never heard again: nothing proves a crash, so this alone convicts nobody.
func (s *Scheduler) suspectUnheard(t *task, w *worker) {
	if w.registered || t.settled || t.lossNoted || t.suspicion >= isolationSuspicion {
		return
	}
	s.applyEvidence(t, w, evidence{weight: weakWeight, kind: "unheard"})
}

// clearSuspicion must be called when a run of a task has settled or has ended by itself.
func (s *Scheduler) clearSuspicion(t *task) {
	if t.suspicion == 0 {
		return
	}
	t.suspicion = 0
	s.markDirty(t.job())
	// Others may be placed beside it.
	s.searches.noteChange(t.worker)
	s.emit(logger.TaskCleared, logger.String("task", t.name().String()), logger.Int("attempt", int64(t.attempt)), logger.Int("crashes", int64(t.crashes)))
}

// settle applies that a worker has listed a run in a report which was requested at sent.
func (s *Scheduler) settle(t *task, sent clock.Millis) {
	age := sent - t.confirmedAt
	if !t.settled && age >= proofTime {
		t.settled = true
		s.clearSuspicion(t)
	}
	if t.crashes > 0 && age >= lateCrashTime {
		t.crashes = 0
		s.markDirty(t.job())
	}
}

// giveUp ends the jobs of tasks that were convicted.
func (s *Scheduler) giveUp(ts []*task) {
	for _, t := range ts {
		if t.job().phase.final() {
			continue
		}
		s.onGivenUp()
		s.emit(logger.TaskGivenUp, logger.String("task", t.name().String()), logger.Int("attempt", int64(t.attempt)),
			logger.Int("crashes", int64(t.crashes)), logger.Int("suspicion", int64(t.suspicion)))
		s.finishJob(t.job(), Failed)
	}
}
