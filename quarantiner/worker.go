package quarantiner

import (
	"context"

	"github.com/looplab/fsm"

	"galenawharf.example/galenawharf/clock"
)

type (
	// worker is the record of one worker.
	worker struct {
		life *fsm.FSM
		// failed counts, by job, the failures since the last success.
		failed map[string]int
		// pending is when each task began that has not ended.
		pending map[string]clock.Millis
		// quarantines counts the quarantines since the last whole recovery.
		quarantines int
		probeAt     clock.Millis
		proved      int
	}
)

func newWorker() *worker {
	return &worker{
		life:    fsm.NewFSM(Healthy, life, fsm.Callbacks{}),
		failed:  map[string]int{},
		pending: map[string]clock.Millis{},
	}
}

// fire moves the worker along its life where the table has such a step.
func (w *worker) fire(event string) bool {
	return w.life.Can(event) && w.life.Event(context.Background(), event) == nil
}

func (w *worker) state() string { return w.life.Current() }

// unproven counts the tasks that began after a moment and have not ended.
func (w *worker) unproven(since clock.Millis) int {
	n := 0
	for _, at := range w.pending {
		if at > since {
			n++
		}
	}
	return n
}
