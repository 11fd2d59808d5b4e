package imitator

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// WorkerEvent is the start or end of a run on a Worker.
	WorkerEvent struct {
		at          clock.Millis
		incarnation provider.Incarnation
		size        sizer.Size
		phase       provider.TaskPhase
		checkpoint  string
	}
)

// At returns when the run started or ended, by the time source of Worker.Now.
func (e WorkerEvent) At() clock.Millis { return e.at }

// Incarnation returns the incarnation that started or ended.
func (e WorkerEvent) Incarnation() provider.Incarnation { return e.incarnation }

// Size returns the resources that the run reserves.
func (e WorkerEvent) Size() sizer.Size { return e.size }

// Phase returns PhaseRunning for a start, and the final phase for an end.
func (e WorkerEvent) Phase() provider.TaskPhase { return e.phase }

// Checkpoint returns the checkpoint from which the run resumed, or the last one that
// it had saved when it ended.
func (e WorkerEvent) Checkpoint() string { return e.checkpoint }

// Now returns the current time of the time source that NewWorker got.
func (w *Worker) Now() clock.Millis { return w.now() }

// Watch makes the worker call f at the start and end of each run. f must not call the
// worker. A task that ends by itself or whose lease expires is reported only at the
// next call to the worker.
func (w *Worker) Watch(f func(WorkerEvent)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watcher = f
}

func (w *Worker) notifyWatcher(t *task, at clock.Millis) {
	if w.watcher == nil {
		return
	}
	w.watcher(WorkerEvent{
		at:          w.bootedAt + at,
		incarnation: t.order.Incarnation,
		size:        t.size,
		phase:       t.phase,
		checkpoint:  t.checkpoint,
	})
}
