package imitator

import (
	"fmt"
	"slices"
	"strings"

	"galenawharf.example/galenawharf/clock"
)

// Gap is the time from the end of the last run of a task to the start of its next one.
type Gap struct {
	task     string
	from, to clock.Millis
	open     bool
}

// Length returns how long the task was without a run.
func (g Gap) Length() clock.Millis { return g.to - g.from }

// Open reports whether the task still had no run.
func (g Gap) Open() bool { return g.open }

// From returns when the last run ended.
func (g Gap) From() clock.Millis { return g.from }

func (g Gap) String() string {
	state := ""
	if g.open {
		state = ", and still is"
	}
	return fmt.Sprintf("%s was without a run for %d ms from %s%s", g.task, g.Length(), g.from, state)
}

// Gaps returns the gaps of all tasks of a job. That of a task without a run lasts until now. Names
// of tasks begin with the job and ".".
func (p *Pool) Gaps(job string) []Gap {
	p.mu.Lock()
	defer p.mu.Unlock()
	var gaps []Gap
	for _, g := range p.ledger.gaps {
		if strings.HasPrefix(g.task, job+".") {
			gaps = append(gaps, g)
		}
	}
	for task, since := range p.ledger.idleSince {
		if strings.HasPrefix(task, job+".") {
			gaps = append(gaps, Gap{task: task, from: since, to: clock.System(), open: true})
		}
	}
	return gaps
}

// ExpectRun makes a gap begin for a task that has had no run, as its job was accepted. A task whose
// run has begun before the answer to the submission arrived has a gap without length.
func (p *Pool) ExpectRun(task string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.System()
	if len(p.ledger.running[task]) == 0 {
		p.ledger.idleSince[task] = now
		return
	}
	p.ledger.gaps = append(p.ledger.gaps, Gap{task: task, from: now, to: now})
}

// WorkersOf returns the workers with runs of a job, sorted.
func (p *Pool) WorkersOf(job string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for task, runs := range p.ledger.running {
		for _, r := range runs {
			if strings.HasPrefix(task, job+".") && !slices.Contains(ids, r.worker) {
				ids = append(ids, r.worker)
			}
		}
	}
	slices.Sort(ids)
	return ids
}
