package keeper

import (
	"context"

	"github.com/looplab/fsm"

	"galenawharf.example/galenawharf/schema"
)

type (
	// life is a table of states that many things go through; the machine
	// itself holds none of them.
	life struct {
		machine *fsm.FSM
	}
)

// States of a task, as the log has them.
const (
	stateWaiting   = "waiting"
	stateGranted   = "granted"
	stateSucceeded = "succeeded"
	stateFailed    = "failed"
	stateCancelled = "cancelled"
	stateParked    = "parked"
	stateUnknown   = "unknown"
)

// Events in the life of a task.
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
	taskTable = fsm.Events{
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

	// eventNames has the event that each recorded state stands for.
	eventNames = map[schema.TaskState]string{
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

func newLife(initial string, table fsm.Events) *life {
	return &life{machine: fsm.NewFSM(initial, table, nil)}
}

// next gives the state after an event, and whether the event may come there.
func (l *life) next(state, event string) (string, bool) {
	l.machine.SetState(state)
	if l.machine.Cannot(event) {
		return state, false
	}
	if err := l.machine.Event(context.Background(), event); err != nil && l.machine.Current() == state {
		return state, false
	}
	return l.machine.Current(), true
}

// ended tells whether a task in a state will not run again.
func ended(state string) bool {
	switch state {
	case stateSucceeded, stateFailed, stateCancelled, stateParked, stateUnknown:
		return true
	}
	return false
}
