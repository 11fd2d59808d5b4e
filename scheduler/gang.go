package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

// placeGang places all tasks of a gang or none.
func (s *Scheduler) placeGang(d demand, ws []*worker, now clock.Millis) {
	if len(d.tasks) != d.occurrence.job.spec.Steps[d.step].Count {
		// Some members of the former run still hold their workers.
		for _, t := range d.occurrence.steps[d.step] {
			if t.hasRun() && !t.stopping {
				s.stop(t)
			}
		}
		return
	}
	attempt, checkpoint := 0, ""
	for _, t := range d.tasks {
		attempt = max(attempt, t.attempt)
		if t.checkpoint > checkpoint {
			checkpoint = t.checkpoint
		}
	}
	if !s.chooseGangWorkers(d, ws, now) {
		return
	}
	for _, t := range d.tasks {
		w := t.worker
		t.attempt, t.checkpoint = attempt, checkpoint
		s.assign(t, w, now)
	}
}

// chooseGangWorkers assigns a worker to each task of a gang, or to none. A colocated gang
// waits for a single rack with enough room, at most for the time that it would lose by
// running across racks.
func (s *Scheduler) chooseGangWorkers(d demand, ws []*worker, now clock.Millis) bool {
	step := &d.occurrence.job.spec.Steps[d.step]
	if !step.Colocate || len(s.racks) <= 1 {
		return s.chooseGangWorkersFrom(d, ws)
	}
	free := map[string]int64{}
	for _, w := range ws {
		if w.info.Service == d.occurrence.job.spec.Queue.Service {
			free[w.info.Rack] += max(w.info.CPU-w.cpu, 0)
		}
	}
	racks := slices.SortedFunc(maps.Keys(free), func(a, b string) int { return cmp.Or(cmp.Compare(free[b], free[a]), cmp.Compare(a, b)) })
	for _, r := range racks {
		if free[r] < int64(step.Count)*step.CPU {
			break
		}
		if s.chooseGangWorkersFrom(d, slices.DeleteFunc(slices.Clone(ws), func(w *worker) bool { return w.info.Rack != r })) {
			return true
		}
	}
	return now-d.tasks[0].waitingSince >= s.remoteDelay(step) && s.chooseGangWorkersFrom(d, ws)
}

// chooseGangWorkersFrom assigns one of the given workers to each task of a gang, or to
// none.
func (s *Scheduler) chooseGangWorkersFrom(d demand, ws []*worker) bool {
	for i, t := range d.tasks {
		w := s.chooseWorker(t, ws)
		if w == nil {
			for _, c := range d.tasks[:i] {
				s.release(c)
			}
			return false
		}
		t.worker = w
		w.addTask(t)
	}
	return true
}
