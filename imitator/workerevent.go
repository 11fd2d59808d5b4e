package imitator

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// WorkerEvent is the begin or end of a run, as the worker itself saw it.
	WorkerEvent struct {
		at          clock.Millis
		incarnation provider.Incarnation
		size        sizer.Size
		phase       provider.TaskPhase
		checkpoint  string
	}
)

// At gives when it happened by the time source of the worker.
func (e WorkerEvent) At() clock.Millis { return e.at }

// Incarnation gives the run.
func (e WorkerEvent) Incarnation() provider.Incarnation { return e.incarnation }

// Size gives what the run holds.
func (e WorkerEvent) Size() sizer.Size { return e.size }

// Phase gives PhaseRunning for a begin and how it ended for an end.
func (e WorkerEvent) Phase() provider.TaskPhase { return e.phase }

// Checkpoint gives the state that a run began from or had saved at its end.
func (e WorkerEvent) Checkpoint() string { return e.checkpoint }

// Now gives the time of the worker's time source.
func (w *Worker) Now() clock.Millis { return w.now() }

// Watch has f called at the begin and end of each run. f must not call the
// worker. Ends that nobody asked for are told when the worker is next asked
// for anything.
func (w *Worker) Watch(f func(WorkerEvent)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watcher = f
}

func (w *Worker) tell(t *task, at clock.Millis) {
	if w.watcher == nil {
		return
	}
	w.watcher(WorkerEvent{
		at:          w.booted + at,
		incarnation: t.order.Incarnation,
		size:        t.size,
		phase:       t.phase,
		checkpoint:  t.checkpoint,
	})
}
