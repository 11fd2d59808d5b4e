package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// waitState is what a long-running task without a confirmed run waits for.
	waitState int

	// waitChecks is the state of the checks for long-running tasks without a run.
	waitChecks struct {
		// firstAt and lastAt are the times of the first and the last check.
		firstAt, lastAt clock.Millis
		// withoutRun is the number of tasks without a run at the last check.
		withoutRun int
		// logged has the tasks in the last summary line, by state.
		logged [waitStateCount]int
		// starts counts the starts since that line.
		starts lastingStarts
		// demands are those of the current round of placing that are long-running.
		demands []demand
	}

	// waitSummary is the result of one check.
	waitSummary struct {
		// previousAt is the time of the check before.
		previousAt clock.Millis
		// overdue has the tasks that have waited for maxTimeWithoutRun, by state.
		overdue [waitStateCount]int
		longest clock.Millis
		// unplacedCPU is what the tasks without a worker need, in thousandths of a core.
		unplacedCPU int64
		// due are the tasks whose wait is to be logged, resumed those that have a run
		// after such a wait.
		due     []*task
		resumed []resumedTask
	}

	resumedTask struct {
		*task
		waited clock.Millis
	}

	// waitGroup is shared by tasks that are likely to wait for the same cause: the same
	// worker, or a worker for the same step.
	waitGroup struct {
		worker     *worker
		occurrence *occurrence
		step       int
	}
)

const (
	notWaiting waitState = iota
	// waitUnheard: the run is assigned to a worker that is not heard.
	waitUnheard
	// waitUnconfirmed: the run is placed, and its worker has not confirmed it.
	waitUnconfirmed
	// waitUnplaced: no worker was chosen.
	waitUnplaced
	waitStateCount
)

const (
	// maxTimeWithoutRun is the time within which the users expect a new run of a
	// long-running task.
	maxTimeWithoutRun = 3 * clock.Second
	// waitCheckInterval bounds the cost of the checks, which look at every long-running task.
	waitCheckInterval = clock.Second
	// maxWaitLines bounds the lines about single waits, and about their ends, of one check. Five a
	// second name the workers of a lost rack while its leases run out.
	maxWaitLines = 5
)

var waitStateNames = [waitStateCount]string{notWaiting: "running", waitUnheard: "unheard", waitUnconfirmed: "unconfirmed", waitUnplaced: "unplaced"}

// String returns the state as it appears in the log.
func (e waitState) String() string { return waitStateNames[e] }

// waitState returns what a long-running task waits for.
func (t *task) waitState() waitState {
	switch {
	case t.state == pending:
		return waitUnplaced
	case !t.hasRun():
		return notWaiting
	case t.worker.silentSince != 0 || t.worker.unreconciled:
		return waitUnheard
	case t.state == placed:
		return waitUnconfirmed
	default:
		return notWaiting
	}
}

// waitStart returns the earliest time since which a task is known to be without a run, when
// a check first finds it so.
func (t *task) waitStart(now clock.Millis) clock.Millis {
	since := clock.Millis(0)
	switch t.state {
	case pending:
		since = t.waitingSince
	case placed:
		since = t.placedAt
	case running:
		since = t.worker.silentSince
	}
	if since == 0 {
		return now
	}
	return since
}

// checkWaits logs the long-running tasks that have been without a run for too long, and those
// that have one again. The number of lines is bounded; a summary has the number of tasks.
func (s *Scheduler) checkWaits() {
	c, now := &s.waits, s.now()
	if c.lastAt != 0 && now-c.lastAt < waitCheckInterval {
		return
	}
	defer s.holdTime()()
	if c.firstAt == 0 {
		c.firstAt = now
	}
	sum := waitSummary{previousAt: c.lastAt}
	c.lastAt, c.withoutRun = now, 0
	for j := range s.active {
		if !j.longRunning || j.storedPhase == "" && !j.deposited {
			continue
		}
		for _, o := range j.occurrences {
			for i := range o.steps {
				if !j.spec.Steps[i].LongRunning || !o.ready(i) {
					continue
				}
				for _, t := range o.steps[i] {
					s.checkWait(t, &sum, now)
				}
			}
		}
	}
	s.logWaits(&sum, now)
}

// checkWait adds a long-running task to the result of a check.
func (s *Scheduler) checkWait(t *task, sum *waitSummary, now clock.Millis) {
	state := t.waitState()
	if state == notWaiting {
		if t.withoutRunSince == 0 {
			return
		}
		// A run that goes on because its worker is heard again was still waited for then.
		end := sum.previousAt
		if t.confirmedAt > t.withoutRunSince {
			end = t.confirmedAt
		}
		if waited := end - t.withoutRunSince; waited >= maxTimeWithoutRun && t.hasRun() {
			sum.resumed = append(sum.resumed, resumedTask{t, waited})
		}
		t.withoutRunSince = 0
		return
	}
	s.waits.withoutRun++
	if state == waitUnplaced {
		sum.unplacedCPU += t.spec().CPU
	}
	if t.withoutRunSince == 0 {
		t.withoutRunSince = t.waitStart(now)
		t.nextWaitLine = t.withoutRunSince + maxTimeWithoutRun
	}
	waited := now - t.withoutRunSince
	if waited < maxTimeWithoutRun {
		return
	}
	sum.overdue[state]++
	sum.longest = max(sum.longest, waited)
	if t.nextWaitLine <= now {
		sum.due = append(sum.due, t)
	}
}

// logWaits logs the result of a check.
func (s *Scheduler) logWaits(sum *waitSummary, now clock.Millis) {
	counts := map[waitGroup]*waitCounts{}
	lines := selectWaitLines(sum.due)
	for _, t := range lines {
		s.logWait(t, counts, now)
		// A wait that goes on is logged each time that it has doubled.
		t.nextWaitLine = 2*now - t.withoutRunSince
	}
	slices.SortFunc(sum.resumed, func(a, b resumedTask) int {
		if c := cmp.Compare(b.waited, a.waited); c != 0 {
			return c
		}
		return a.compareName(b.task)
	})
	for _, r := range sum.resumed[:min(len(sum.resumed), maxWaitLines)] {
		s.emit(logger.TaskResumed, logger.String("task", r.name().String()), logger.Int("attempt", int64(r.attempt)),
			logger.String("worker", r.worker.info.ID), logger.Int("waited-ms", int64(r.waited)))
	}
	if sum.overdue == s.waits.logged && len(sum.resumed) == 0 {
		return
	}
	s.waits.logged = sum.overdue
	c := &s.waits.starts
	s.emit(logger.TasksWaiting, logger.Int(waitUnheard.String(), int64(sum.overdue[waitUnheard])),
		logger.Int(waitUnconfirmed.String(), int64(sum.overdue[waitUnconfirmed])), logger.Int(waitUnplaced.String(), int64(sum.overdue[waitUnplaced])),
		logger.Int("longest-ms", int64(sum.longest)), logger.Int("resumed", int64(len(sum.resumed))), logger.Int("not-logged", int64(len(sum.due)-len(lines))),
		logger.Int("first-runs", int64(c.first)), logger.Int("restarts", int64(c.again)), logger.Int("overtaking", int64(c.overtaking)),
		logger.Int("unplaced-millicores", sum.unplacedCPU), logger.Int("free-millicores", s.freeCPU(now)))
	*c = lastingStarts{}
}

// selectWaitLines returns up to maxWaitLines of the tasks whose wait is to be logged: those that
// were due first, of different groups if possible.
func selectWaitLines(due []*task) []*task {
	// The first of each group is enough, unless there are few groups.
	firsts := map[waitGroup]*task{}
	for _, t := range due {
		if f := firsts[t.waitGroup()]; f == nil || t.compareWait(f) < 0 {
			firsts[t.waitGroup()] = t
		}
	}
	lines := slices.SortedFunc(maps.Values(firsts), (*task).compareWait)
	if len(lines) < maxWaitLines {
		slices.SortFunc(due, (*task).compareWait)
		for _, t := range due {
			if len(lines) < maxWaitLines && !slices.Contains(lines, t) {
				lines = append(lines, t)
			}
		}
	}
	return lines[:min(len(lines), maxWaitLines)]
}

// compareWait orders tasks by the time at which their wait is to be logged.
func (t *task) compareWait(o *task) int {
	if c := cmp.Compare(t.nextWaitLine, o.nextWaitLine); c != 0 {
		return c
	}
	return t.compareName(o)
}

func (t *task) waitGroup() waitGroup {
	if t.worker != nil {
		return waitGroup{worker: t.worker}
	}
	return waitGroup{occurrence: t.occurrence, step: t.step}
}

// compareName orders tasks by job, occurrence, step and index.
func (t *task) compareName(o *task) int {
	return cmp.Or(cmp.Compare(t.job().spec.ID, o.job().spec.ID), cmp.Compare(t.occurrence.number, o.occurrence.number),
		cmp.Compare(t.step, o.step), cmp.Compare(t.index, o.index))
}

// logWait logs the wait of one task. counts has the counted workers by step; they are counted
// once for all of its tasks.
func (s *Scheduler) logWait(t *task, counts map[waitGroup]*waitCounts, now clock.Millis) {
	state := t.waitState()
	fields := []logger.Field{
		logger.String("task", t.name().String()), logger.Int("attempt", int64(t.attempt)), logger.Int("waited-ms", int64(now-t.withoutRunSince)),
		logger.Text("state", state), logger.Text("whole-term", t.withoutRunSince <= s.waits.firstAt),
	}
	if w := t.worker; w != nil {
		fields = append(fields, logger.String("worker", w.info.ID), logger.Int("born", w.info.Born), logger.Text("unclear", t.unclear),
			logger.Int("unanswered", int64(t.ordersInFlight)), logger.Text("stopping", t.stopping))
	}
	switch state {
	case waitUnheard:
		fields = append(fields, unheardFields(t.worker, s.delayedAt, now)...)
	case waitUnconfirmed:
		fields = append(fields, logger.Text("recorded", t.recorded), logger.Text("unresolved", t.unresolvedSince != 0))
		if t.placedAt != 0 {
			fields = append(fields, logger.Int("since-order-ms", int64(now-t.placedAt)))
		}
	case waitUnplaced:
		g := t.waitGroup()
		if counts[g] == nil {
			counts[g] = &waitCounts{exclusions: *s.countExclusions(t, now), room: s.countRoom(t, now)}
		}
		fields = append(fields, logger.Int("workers", int64(len(s.workers))), logger.Text("over-cap", !s.admitsStart(t.job().spec.Tenant, t.spec().startSize())))
		for e, n := range counts[g].exclusions {
			if n > 0 || exclusion(e) == notExcluded {
				fields = append(fields, logger.Int("workers-"+exclusion(e).String(), int64(n)))
			}
		}
		fields = append(fields, counts[g].room.fields(t, now)...)
	}
	s.emit(logger.TaskWaiting, fields...)
}

// unheardFields returns what keeps the runs of a worker that is not heard from being given up.
func unheardFields(w *worker, delayedAt, now clock.Millis) []logger.Field {
	silentFor := clock.Millis(0)
	if w.silentSince != 0 {
		silentFor = now - w.silentSince
	}
	return []logger.Field{
		logger.Int("lease-left-ms", int64(w.leaseBound()-now)), logger.Int("silent-ms", int64(silentFor)), logger.Text("heard-in-term", !w.unreconciled),
		logger.Text("registered", w.registered), logger.Text("has-address", w.info.Address != ""), logger.Text("delayed-since-call", w.failedCallAt < delayedAt),
	}
}
