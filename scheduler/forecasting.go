package scheduler

import "galenawharf.example/galenawharf/clock"

// defaultRunTime is the forecast for a task whose run time is neither declared nor known: that of the
// short queue in docs/design/packing.md.
const defaultRunTime = clock.Second

// forecast returns how long a run of a task that ends by itself is expected to take on a worker.
func (s *Scheduler) forecast(t *task, w *worker) clock.Millis {
	step := t.spec()
	d := step.Estimate
	if d == 0 {
		d = defaultRunTime
	}
	if step.Rack != "" && !w.hasLabel(step.Rack) {
		d = clock.Millis(s.remoteFactor * float64(d))
	}
	return d
}

// runEnd returns the forecast of the end of a task's newest run. One that has passed its forecast is
// expected to take another half of its elapsed time.
func (s *Scheduler) runEnd(t *task, now clock.Millis) clock.Millis {
	began := t.placedAt
	if t.confirmedAt != 0 {
		began = t.confirmedAt
	}
	if end := began + s.forecast(t, t.worker); end > now {
		return end
	}
	return now + max((now-began)/2, 1)
}
