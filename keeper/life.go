package keeper

import (
	"context"

	"github.com/looplab/fsm"

	"galenawharf.example/galenawharf/schema"
)

type (
	// stateMachine is a transition table shared by all tasks or leases; the current state
	// is kept by each of them.
	stateMachine struct {
		machine *fsm.FSM
	}
)

// States of a task, as recorded in the log.
const (
	stateWaiting   = "waiting"
	stateGranted   = "granted"
	stateSucceeded = "succeeded"
	stateFailed    = "failed"
	stateCancelled = "cancelled"
	stateParked    = "parked"
	stateUnknown   = "unknown"
)

// Events of a task.
const (
	eventStart   = "start"
	eventEvict   = "evict"
	eventLose    = "lose"
	eventRetry   = "retry"
	eventSucceed = "succeed"
	eventFail    = "fail"
	eventCancel  = "cancel"
	eventPark    = "park"
	eventDoubt   = "doubt"
)

var (
	taskTransitions = fsm.Events{
		{Name: eventStart, Src: []string{stateWaiting}, Dst: stateGranted},
		{Name: eventEvict, Src: []string{stateGranted}, Dst: stateWaiting},
		{Name: eventLose, Src: []string{stateGranted}, Dst: stateWaiting},
		{Name: eventRetry, Src: []string{stateGranted}, Dst: stateWaiting},
		{Name: eventSucceed, Src: []string{stateGranted, stateUnknown}, Dst: stateSucceeded},
		{Name: eventFail, Src: []string{stateGranted, stateUnknown}, Dst: stateFailed},
		{Name: eventCancel, Src: []string{stateWaiting, stateGranted}, Dst: stateCancelled},
		{Name: eventPark, Src: []string{stateWaiting, stateGranted}, Dst: stateParked},
		{Name: eventDoubt, Src: []string{stateGranted}, Dst: stateUnknown},
	}

	// eventOfState maps each recorded state to the event that leads to it.
	eventOfState = map[schema.TaskState]string{
		schema.TaskState_TASK_STATE_STARTING:  eventStart,
		schema.TaskState_TASK_STATE_EVICTED:   eventEvict,
		schema.TaskState_TASK_STATE_LOST:      eventLose,
		schema.TaskState_TASK_STATE_RETRYING:  eventRetry,
		schema.TaskState_TASK_STATE_SUCCEEDED: eventSucceed,
		schema.TaskState_TASK_STATE_FAILED:    eventFail,
		schema.TaskState_TASK_STATE_CANCELLED: eventCancel,
		schema.TaskState_TASK_STATE_PARKED:    eventPark,
		schema.TaskState_TASK_STATE_UNKNOWN:   eventDoubt,
	}
)

func newStateMachine(initial string, table fsm.Events) *stateMachine {
	return &stateMachine{machine: fsm.NewFSM(initial, table, nil)}
}

// next returns the state after an event and whether the state allows the event.
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

// ended reports whether a state is final: the task will not run again.
func ended(state string) bool {
	switch state {
	case stateSucceeded, stateFailed, stateCancelled, stateParked, stateUnknown:
		return true
	}
	return false
}
