package imitator

import (
	"fmt"
	"strings"

	"galenawharf.example/galenawharf/clock"
)

// Gap is the time from the end of the last run of a task to the start of its next one.
type Gap struct {
	task     string
	from, to clock.Millis
}

// Length returns how long the task was without a run.
func (g Gap) Length() clock.Millis { return g.to - g.from }

// From returns when the last run ended.
func (g Gap) From() clock.Millis { return g.from }

func (g Gap) String() string {
	return fmt.Sprintf("%s without a run for %d ms from %s", g.task, g.Length(), g.from)
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
			gaps = append(gaps, Gap{task: task, from: since, to: clock.System()})
		}
	}
	return gaps
}
