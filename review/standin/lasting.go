package main

import (
	"strings"

	"galenawharf.example/galenawharf/clock"
)

const (
	// lastingTasks is the number of tasks of the job that lasts.
	lastingTasks = 3
	// workTime is how long they run before the disruption, restartTime how long after the end of a run
	// the next one has to have begun: the 6 s and the 3 s of the rule.
	workTime    = 6 * clock.Second
	restartTime = 9 * clock.Second
)

// playLasting runs a gang that lasts, whose runs end once.
func playLasting(w *world, trouble bool) ([]string, bool) {
	j := w.newJob("watch", "0", []wireStep{{Count: lastingTasks, CPU: 4000, MemMB: 1024, EstimateMS: 1000, Gang: true, LongRunning: true}})
	if !w.submit(j, 0, 4) {
		return nil, false
	}
	sleep(workTime)
	if w.activeOf(j) != lastingTasks {
		w.rec.write("the tasks do not run")
		return nil, false
	}
	if trouble {
		w.endAll(j, "done")
	}
	sleep(restartTime)
	n := w.activeOf(j)
	w.rec.write("%d tasks of %s run, which has not been cancelled; it is shown as %s", n, j.id, w.ask(j, finishTime))
	if n < lastingTasks {
		return []string{j.id + " lasts until it is cancelled, and its tasks have not started again in 9 s"}, true
	}
	return nil, true
}

func (w *world) activeOf(j *job) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return j.active()
}

// endAll ends all runs of a job.
func (w *world) endAll(j *job, how string) {
	for _, e := range w.executors {
		e.mu.Lock()
		if f := e.life; f != nil {
			for n, r := range f.runs {
				if strings.HasPrefix(n, j.id+".") {
					f.endRun(r, how)
				}
			}
		}
		e.mu.Unlock()
	}
}
