package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// finiteWaitChecks is the state of the checks for ready tasks without a run that end by themselves.
	finiteWaitChecks struct {
		// lastAt is the time of the last check, lastSummary that of the last summary line.
		lastAt, lastSummary clock.Millis
		// longest is the longest wait that the last check found.
		longest clock.Millis
	}

	// finiteWaitSummary is the result of one check.
	finiteWaitSummary struct {
		// tasks and fillers are the numbers of waiting tasks, and of the fillers among them, overdue of
		// those that have waited for finiteWaitLineAt.
		tasks, fillers, overdue int
		// jobs are those of which no task has a run.
		jobs map[*job]struct{}
		// longest is the longest wait, longestFiller that of a filler.
		longest, longestFiller clock.Millis
		// due are the tasks whose wait is to be logged, the one of each step that has waited longest.
		due []*task
	}
)

const (
	// finiteCheckInterval bounds the cost of the checks, which look at every waiting task, as a round
	// of placing does some ten times a second.
	finiteCheckInterval = clock.Second
	// finiteWaitLineAt is the wait from which a task gets a line: thrice the run time of the customers'
	// tasks, within which a full worker has room again.
	finiteWaitLineAt = 8 * clock.Second
	// maxFiniteWaitLines bounds the lines of one check: each counts all workers, and the next check has
	// other tasks, as a line for the same task waits until its wait has doubled.
	maxFiniteWaitLines = 2
	// finiteSummaryInterval is the least time between summary lines.
	finiteSummaryInterval = 5 * clock.Second
)

// checkFiniteWaits logs the longest waits of the tasks that end by themselves for which a round of
// placing has found no worker. The number of lines is bounded; a summary has the number of tasks.
func (s *Scheduler) checkFiniteWaits(ds []demand, now clock.Millis) {
	c := &s.finiteWaits
	if c.lastAt != 0 && now-c.lastAt < finiteCheckInterval {
		return
	}
	c.lastAt = now
	sum := finiteWaitSummary{jobs: map[*job]struct{}{}}
	for _, d := range ds {
		if step := &d.occurrence.job.spec.Steps[d.step]; !step.LongRunning {
			sum.add(d, step, now)
		}
	}
	c.longest = sum.longest
	s.logFiniteWaits(&sum, now)
}

// add adds the tasks of a demand that have no run.
func (sum *finiteWaitSummary) add(d demand, step *Step, now clock.Millis) {
	var first *task
	for _, t := range d.tasks {
		if t.state != pending || t.waitingSince == 0 {
			continue
		}
		sum.tasks++
		if step.Filler {
			sum.fillers++
		}
		if now-t.waitingSince >= finiteWaitLineAt {
			sum.overdue++
		}
		if first == nil || t.waitingSince < first.waitingSince {
			first = t
		}
	}
	if first == nil {
		return
	}
	if !d.occurrence.job.hasRuns() {
		sum.jobs[d.occurrence.job] = struct{}{}
	}
	waited := now - first.waitingSince
	sum.longest = max(sum.longest, waited)
	if step.Filler {
		sum.longestFiller = max(sum.longestFiller, waited)
	}
	if waited >= finiteWaitLineAt && first.nextWaitLine <= now {
		sum.due = append(sum.due, first)
	}
}

// logFiniteWaits logs the result of a check.
func (s *Scheduler) logFiniteWaits(sum *finiteWaitSummary, now clock.Millis) {
	slices.SortFunc(sum.due, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.waitingSince, b.waitingSince), a.compareName(b))
	})
	lines := sum.due[:min(len(sum.due), maxFiniteWaitLines)]
	for _, t := range lines {
		s.logFiniteWait(t, now)
		t.nextWaitLine = 2*now - t.waitingSince
	}
	if c := &s.finiteWaits; sum.overdue > 0 && (c.lastSummary == 0 || now-c.lastSummary >= finiteSummaryInterval) {
		c.lastSummary = now
		s.emit(logger.FiniteTasksWaiting, logger.Int("tasks", int64(sum.tasks)), logger.Int("fillers", int64(sum.fillers)),
			logger.Int("overdue", int64(sum.overdue)), logger.Int("jobs-without-run", int64(len(sum.jobs))), logger.Int("longest-ms", int64(sum.longest)),
			logger.Int("longest-filler-ms", int64(sum.longestFiller)), logger.Int("not-logged", int64(len(sum.due)-len(lines))))
	}
}

// logFiniteWait logs the wait of one task, and how many workers each reason excludes.
func (s *Scheduler) logFiniteWait(t *task, now clock.Millis) {
	j, step := t.job(), t.spec()
	r := s.rankOf(j)
	fields := []logger.Field{
		logger.String("task", t.name().String()), logger.Int("attempt", int64(t.attempt)), logger.Int("waited-ms", int64(now-t.waitingSince)),
		logger.Int("job-age-ms", int64(s.ageOf(j))), logger.Text("job-has-runs", j.hasRuns()), logger.Text("filler", step.Filler),
		logger.Int("lateness", int64(r.lateness)), logger.Int("cpu", step.CPU), logger.Int("memory", step.Memory), logger.Int("gpu", step.GPU),
		logger.Text("over-cap", s.isOverCap(t)), logger.Text("lacks-tickets", t.occurrence.lacksTickets(t.step, now)), logger.Text("suspect", t.isSuspect()),
	}
	if step.Filler {
		fields = append(fields, s.fillerFields(t, step, now)...)
	}
	for e, n := range s.countExclusions(t, now) {
		if n > 0 || exclusion(e) == notExcluded {
			fields = append(fields, logger.Int("workers-"+exclusion(e).String(), int64(n)))
		}
	}
	s.emit(logger.FiniteTaskWaiting, fields...)
}

// fillerFields returns the interference that a filler tolerates, the least on the workers that have room
// for it, and how many of these have a serving task over its objective.
func (s *Scheduler) fillerFields(t *task, step *Step, now clock.Millis) []logger.Field {
	least, over := math.Inf(1), 0
	for _, w := range s.workers {
		if e := s.exclusionOf(t, step, w, math.Inf(1), now); e != notExcluded && e != interfering {
			continue
		}
		if s.servingOverObjective(w) {
			over++
			continue
		}
		least = min(least, s.interference(step, w))
	}
	fields := []logger.Field{logger.String("tolerance", formatInterference(s.tolerance(t))), logger.Int("workers-over-objective", int64(over))}
	if !math.IsInf(least, 1) {
		fields = append(fields, logger.String("least-interference", formatInterference(least)))
	}
	return fields
}

func formatInterference(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }
