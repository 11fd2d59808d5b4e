package quarantiner

import (
	"context"

	"github.com/looplab/fsm"

	"galenawharf.example/galenawharf/clock"
)

type (
	// worker holds the state and the failures of one worker.
	worker struct {
		lifecycle *fsm.FSM
		// failuresByJob counts the failures of each job since the last success.
		failuresByJob map[string]int
		// pending holds the start time of each running task.
		pending map[string]clock.Millis
		// quarantines counts the quarantines since the worker was last restored; it
		// determines the backoff.
		quarantines int
		// probeAt is when the backoff ends.
		probeAt clock.Millis
		// probeSuccesses counts the tasks that succeeded since the last quarantine.
		probeSuccesses int
	}
)

func newWorker() *worker {
	return &worker{
		lifecycle:     fsm.NewFSM(Healthy, transitions, fsm.Callbacks{}),
		failuresByJob: map[string]int{},
		pending:       map[string]clock.Millis{},
	}
}

// fire applies an event, and reports whether the current state allows it.
func (w *worker) fire(event string) bool {
	return w.lifecycle.Can(event) && w.lifecycle.Event(context.Background(), event) == nil
}

func (w *worker) state() string { return w.lifecycle.Current() }

// startedSince counts the running tasks that started after a time.
func (w *worker) startedSince(since clock.Millis) int {
	n := 0
	for _, at := range w.pending {
		if at > since {
			n++
		}
	}
	return n
}
