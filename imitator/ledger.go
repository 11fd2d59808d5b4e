package imitator

import (
	"fmt"
	"slices"
	"strings"

	"galenawharf.example/galenawharf/clock"
)

type (
	// ledger records the runs of all tasks of a Pool and the acknowledgements of their ends,
	// and from these the violations of at-most-once execution.
	ledger struct {
		// running has the current runs of each task that was ever started.
		running map[string][]taskRun
		// idleSince has the end of the last run of each task that has had one and has none now.
		idleSince map[string]clock.Millis
		// gaps are the times between the runs of tasks.
		gaps []Gap
		// acked has the acknowledgement of each task's successful end.
		acked      map[string]acknowledgement
		violations []string
	}

	// taskRun is an attempt to run a task on one process of a worker.
	taskRun struct {
		worker  string
		born    int64
		attempt int
		started clock.Millis
	}

	// acknowledgement is the acknowledgement of the end of a run by a poll.
	acknowledgement struct {
		run taskRun
		// number is the number of the end, acked the highest number that the poll
		// acknowledged.
		number, acked int64
		// listed is whether the end was in an answer before the poll.
		listed bool
		at     clock.Millis
	}
)

func newLedger() *ledger {
	return &ledger{running: map[string][]taskRun{}, idleSince: map[string]clock.Millis{}, acked: map[string]acknowledgement{}}
}

func (l *ledger) start(task string, r taskRun) {
	for _, other := range l.running[task] {
		l.violate("%s runs twice: %s, while %s runs", task, r, other)
	}
	if a, ok := l.acked[task]; ok {
		l.violate("%s runs again after its end was acknowledged: %s, after %s", task, r, a)
	}
	if since, ok := l.idleSince[task]; ok {
		delete(l.idleSince, task)
		l.gaps = append(l.gaps, Gap{task: task, from: since, to: r.started})
	}
	l.running[task] = append(l.running[task], r)
}

func (l *ledger) end(task string, r taskRun, at clock.Millis) {
	l.running[task] = slices.DeleteFunc(l.running[task], func(other taskRun) bool { return other == r })
	if len(l.running[task]) == 0 {
		l.idleSince[task] = at
	}
}

func (l *ledger) acknowledge(task string, a acknowledgement, done bool) {
	if !a.listed {
		l.violate("%s has an end acknowledged that was never listed: %s", task, a)
	}
	if done {
		l.acked[task] = a
	}
}

func (l *ledger) violate(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// started reports whether any task of a job was ever started. Names of tasks begin with
// the job and ".".
func (l *ledger) started(job string) bool {
	for name := range l.running {
		if strings.HasPrefix(name, job+".") {
			return true
		}
	}
	return false
}

func (r taskRun) String() string {
	return fmt.Sprintf("attempt %d on %s born %d started at %s", r.attempt, r.worker, r.born, r.started)
}

func (a acknowledgement) String() string {
	listed := "listed before"
	if !a.listed {
		listed = "never listed"
	}
	return fmt.Sprintf("%s, acknowledged as end %d (%s) by a poll with acked %d at %s", a.run, a.number, listed, a.acked, a.at)
}
