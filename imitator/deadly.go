package imitator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// deadly makes tasks crash the workers that start them, and counts what follows.
	deadly struct {
		is func(scheduler.TaskName) bool
		// renamed is whether a worker comes back under another ID at the same address.
		renamed bool
		// restart ends the process of a worker and starts the next one; nil for the pool's own way.
		restart func(worker string)
		// crashes counts the workers that each task has crashed, startsAfter its starts
		// after crashLimit crashes.
		crashes, startsAfter map[string]int
	}
)

const (
	// crashDelay is the time from the start of a deadly task to the crash of its worker,
	// crashDownTime that from the crash to the start of the next process.
	crashDelay    = 10 * clock.Millis(1)
	crashDownTime = 3200 * clock.Millis(1)
	// After crashLimit crashes a task may be started fewer than startLimit times; from the
	// platform's rules (BUDGET).
	crashLimit = 3
	startLimit = 3
)

// SetDeadly makes the tasks for which f returns true crash their worker soon after each start. The
// worker comes back after some seconds, under another ID if renamed is set. More starts than the
// platform's rules allow are violations.
func (p *Pool) SetDeadly(f func(scheduler.TaskName) bool, renamed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadly = &deadly{is: f, renamed: renamed, crashes: map[string]int{}, startsAfter: map[string]int{}}
}

// OnCrash makes f end the process of a worker that a deadly task crashes, and start the next one.
func (p *Pool) OnCrash(f func(worker string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadly.restart = f
}

// Crashes returns the number of workers that each deadly task has crashed.
func (p *Pool) Crashes() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.deadly.crashes)
}

// CrashesUnder returns the largest number of worker processes that have ended with a run of one task of a
// job. Names of tasks begin with the job and ".".
func (p *Pool) CrashesUnder(job string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0
	for task, n := range p.crashesUnder {
		if strings.HasPrefix(task, job+".") {
			most = max(most, n)
		}
	}
	return most
}

// IDs returns the workers that have ever run, sorted.
func (p *Pool) IDs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.workers))
}

// noteStart crashes the worker of a run that has just started if its task is deadly.
func (p *Pool) noteStart(w *poolWorker, o scheduler.Order) {
	d := p.deadly
	if d == nil || !d.is(o.Task) {
		return
	}
	name := o.Task.String()
	if d.crashes[name] >= crashLimit {
		if d.startsAfter[name]++; d.startsAfter[name] == startLimit {
			p.ledger.violate("%s was started %d times after %d workers had crashed under it", name, startLimit, crashLimit)
		}
	}
	time.AfterFunc(crashDelay.Duration(), func() { p.crash(w, name) })
}

// crash kills the process of a worker. Its address refuses connections until the next process starts.
func (p *Pool) crash(w *poolWorker, task string) {
	p.mu.Lock()
	if w.dead() {
		p.mu.Unlock()
		return
	}
	p.deadly.crashes[task]++
	if restart := p.deadly.restart; restart != nil {
		p.mu.Unlock()
		restart(w.info.ID)
		return
	}
	w.refusing = true
	p.mu.Unlock()
	p.Kill(w.info.ID)
	time.AfterFunc(crashDownTime.Duration(), func() { p.comeBack(w) })
}

func (p *Pool) comeBack(w *poolWorker) {
	if !p.deadly.renamed {
		p.Boot(w.info.ID)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Restarts++
	w.replaced = true
	address, _, _ := strings.Cut(w.info.ID, "-")
	id := fmt.Sprintf("%s-%d", address, p.counts.Restarts)
	p.startWorker(id, w.slots, w.info.Born+1, w.clockRate)
	p.workers[id].info.Address = address
}

// refusal returns the outcome of a call to the address of a worker process that has crashed. The second
// result is false if the process has not, or if calls time out instead.
func (w *poolWorker) refusal() (scheduler.Outcome, bool) {
	switch {
	case w == nil:
		return scheduler.Unclear, false
	case w.replaced:
		return scheduler.WorkerRestarted, true
	case w.refusing:
		return scheduler.ConnectionRefused, true
	default:
		return scheduler.Unclear, false
	}
}
