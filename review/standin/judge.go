package main

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"galenawharf.example/galenawharf/clock"
)

// turn is a task whose turn has come: all steps before it are done, and it is not.
func (j *job) turn() string {
	for k := range max(j.repeat, 1) {
		for i := range j.phases {
			ready := true
			for _, a := range j.phases[i].After {
				ready = ready && j.isDone(k, a)
			}
			if ready && !j.isDone(k, i) {
				return j.id + "." + strconv.Itoa(k) + "." + strconv.Itoa(i)
			}
		}
	}
	return ""
}

func (j *job) isDone(k, step int) bool {
	return j.doneTasks[strconv.Itoa(k)+"."+strconv.Itoa(step)] >= j.phases[step].Count
}

func (j *job) active() int {
	n := 0
	for _, r := range j.running {
		n += r
	}
	return n
}

// noteDone counts a task that has ended done.
func (j *job) noteDone(task string) {
	if j.seen[task] {
		return
	}
	j.seen[task] = true
	f := strings.Split(task, ".")
	j.doneTasks[f[1]+"."+f[2]]++
}

// idleTime is for how long a job has nothing running until it counts as lost.
const idleTime = 3 * clock.Second

// judgeLost waits finish_s after the end of the traffic and then returns the accepted jobs for which the
// rule LOST is broken: that are not known, get no answer in time, are shown as failed or cancelled
// without cause, or have nothing running for 3 s while a task's turn has come. All executors together
// have room for every job twice over, and most of their room is free.
func (w *world) judgeLost() []string {
	w.rec.write("end of the traffic; jobs are asked for in %d ms", int64(finishTime))
	sleep(finishTime)
	type view struct {
		turn   string
		starts int
	}
	before := map[*job]view{}
	w.mu.Lock()
	jobs := slices.Collect(maps.Values(w.jobs))
	for _, j := range jobs {
		if j.accepted != 0 && j.active() == 0 {
			before[j] = view{j.turn(), j.starts}
		}
	}
	w.mu.Unlock()
	sleep(idleTime)
	var broken []string
	for _, j := range jobs {
		w.mu.Lock()
		asked := j.accepted != 0
		v, idle := before[j]
		idle = idle && v.turn != "" && j.active() == 0 && j.starts == v.starts
		failed := j.failed
		w.mu.Unlock()
		if !asked {
			continue
		}
		state := w.ask(j, clock.Millis(3000))
		switch {
		case state == "" || state == "410":
			broken = append(broken, j.id+" ("+j.class+") is not known or gets no answer: "+state)
		case state == "cancelled", state == "failed" && failed < maxAttempts:
			broken = append(broken, j.id+" ("+j.class+") is shown as "+state+" with "+strconv.Itoa(failed)+" ends that failed")
		case state != "failed" && idle:
			broken = append(broken, j.id+" ("+j.class+") is "+state+" and has nothing running for 3 s while the turn of "+v.turn+" has come")
		}
	}
	return broken
}
