package keeper

import (
	"context"

	"github.com/looplab/fsm"

	"galenawharf.example/galenawharf/schema"
)

type (
	// stateMachine is the transition table of all tasks or of all leases. The current
	// state is a field of each task or lease, not of the machine.
	stateMachine struct {
		machine *fsm.FSM
	}
)

// States of a task, as kept in memory and in snapshots.
const (
	stateWaiting = "waiting"
	// stateGranted is a task that has been assigned to a worker and has a lease, whether
	// or not the worker has started it.
	stateGranted   = "granted"
	stateSucceeded = "succeeded"
	stateFailed    = "failed"
	stateCancelled = "cancelled"
	// stateParked is a task that was given up: it failed too often, missed its deadline,
	// fits no worker, or its job was parked.
	stateParked = "parked"
	// stateUnknown is a task that must not run twice and whose last run may or may not
	// have completed. A late report of the worker can still turn it into succeeded or
	// failed.
	stateUnknown = "unknown"
)

// Names of the transitions of a task.
const (
	transitionStart          = "start"
	transitionEvict          = "evict"
	transitionLoseRun        = "lose"
	transitionRetry          = "retry"
	transitionSucceed        = "succeed"
	transitionFail           = "fail"
	transitionCancel         = "cancel"
	transitionPark           = "park"
	transitionOutcomeUnknown = "doubt"
)

var (
	taskTransitions = fsm.Events{
		{Name: transitionStart, Src: []string{stateWaiting}, Dst: stateGranted},
		{Name: transitionEvict, Src: []string{stateGranted}, Dst: stateWaiting},
		{Name: transitionLoseRun, Src: []string{stateGranted}, Dst: stateWaiting},
		{Name: transitionRetry, Src: []string{stateGranted}, Dst: stateWaiting},
		{Name: transitionSucceed, Src: []string{stateGranted, stateUnknown}, Dst: stateSucceeded},
		{Name: transitionFail, Src: []string{stateGranted, stateUnknown}, Dst: stateFailed},
		{Name: transitionCancel, Src: []string{stateWaiting, stateGranted}, Dst: stateCancelled},
		{Name: transitionPark, Src: []string{stateWaiting, stateGranted}, Dst: stateParked},
		{Name: transitionOutcomeUnknown, Src: []string{stateGranted}, Dst: stateUnknown},
	}

	// transitionOfRecord maps the state in a schema.TaskEvent to the transition that it
	// records.
	transitionOfRecord = map[schema.TaskState]string{
		schema.TaskState_TASK_STATE_STARTING:  transitionStart,
		schema.TaskState_TASK_STATE_EVICTED:   transitionEvict,
		schema.TaskState_TASK_STATE_LOST:      transitionLoseRun,
		schema.TaskState_TASK_STATE_RETRYING:  transitionRetry,
		schema.TaskState_TASK_STATE_SUCCEEDED: transitionSucceed,
		schema.TaskState_TASK_STATE_FAILED:    transitionFail,
		schema.TaskState_TASK_STATE_CANCELLED: transitionCancel,
		schema.TaskState_TASK_STATE_PARKED:    transitionPark,
		schema.TaskState_TASK_STATE_UNKNOWN:   transitionOutcomeUnknown,
	}
)

func newStateMachine(initial string, table fsm.Events) *stateMachine {
	return &stateMachine{machine: fsm.NewFSM(initial, table, nil)}
}

// next returns the state after a transition and whether the state allows it. If it
// doesn't, the state is returned unchanged.
func (l *stateMachine) next(state, event string) (string, bool) {
	l.machine.SetState(state)
	if l.machine.Cannot(event) {
		return state, false
	}
	if err := l.machine.Event(context.Background(), event); err != nil && l.machine.Current() == state {
		return state, false
	}
	return l.machine.Current(), true
}

// ended reports whether a task in this state will not run again.
func ended(state string) bool {
	switch state {
	case stateSucceeded, stateFailed, stateCancelled, stateParked, stateUnknown:
		return true
	}
	return false
}
