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
		// Members of the former run are still held.
		for _, t := range d.occurrence.steps[d.step] {
			if t.held() && !t.stopping {
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
	if !s.seatGang(d, ws, now) {
		return
	}
	for _, t := range d.tasks {
		w := t.worker
		t.attempt, t.checkpoint = attempt, checkpoint
		s.assign(t, w, now)
	}
}

// seatGang gives each task of a gang a worker, or none. A gang that is slow over
// several racks is kept to one until it has waited as long as the detour would take.
func (s *Scheduler) seatGang(d demand, ws []*worker, now clock.Millis) bool {
	step := &d.occurrence.job.spec.Steps[d.step]
	if !step.Colocate || len(s.racks) <= 1 {
		return s.seatOn(d, ws)
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
		if s.seatOn(d, slices.DeleteFunc(slices.Clone(ws), func(w *worker) bool { return w.info.Rack != r })) {
			return true
		}
	}
	return now-d.tasks[0].waiting >= s.detour(step) && s.seatOn(d, ws)
}

// seatOn gives each task of a gang one of the workers, or none.
func (s *Scheduler) seatOn(d demand, ws []*worker) bool {
	for i, t := range d.tasks {
		w := s.choose(t, ws)
		if w == nil {
			for _, c := range d.tasks[:i] {
				s.release(c)
			}
			return false
		}
		t.worker = w
		w.add(t)
	}
	return true
}
