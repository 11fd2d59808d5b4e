package checker

import (
	"fmt"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Event is something that happened, as those outside the system saw it.
	Event struct {
		kind        kind
		at          clock.Millis
		dataCentre  string
		worker      string
		daemon      string
		backend     string
		key         string
		exclusive   string
		once        bool
		incarnation provider.Incarnation
		size        sizer.Size
		phase       provider.TaskPhase
		checkpoint  string
		request     string
		payload     string
		notRun      bool
		version     int64
	}

	kind int

	// run is a run that began or ended at a moment.
	run struct {
		at          clock.Millis
		worker      string
		incarnation provider.Incarnation
	}
)

// Kinds of events.
const (
	workDeclared kind = iota
	workerAdded
	runEnded
	evictionRecorded
	daemonStarted
	drainLifted
	backendReturned
	configCutOff
	configJoined
	configAccepted
	configInForce
	drainAccepted
	backendLeaving
	requestSent
	requestDispatched
	runStarted
	workEnded
	workAnswered
	requestAnswered
	shutdownBegun
	daemonStopped
	daemonKilled
)

// rank orders the events of one moment: what stands from the outset goes first,
// and a run ends before another begins, unless it began at that moment too.
func (e Event) rank(begun map[run]bool) int {
	switch e.kind {
	case workDeclared, workerAdded:
		return 0
	case runEnded:
		if begun[e.run()] {
			return 4
		}
		return 1
	case runStarted:
		return 3
	}
	return 2
}

// About tells whether the event is about a task, key or worker.
func (e Event) About(name string) bool {
	return e.key == name || e.incarnation.Task == name || e.worker == name
}

// String gives the event for people.
func (e Event) String() string {
	return fmt.Sprintf("%d kind %d %s %s%s %s %s %q", e.at, e.kind, e.incarnation, e.key, e.request, e.worker+e.daemon+e.backend+e.dataCentre, e.phase, e.checkpoint)
}

func (e Event) run() run { return run{at: e.at, worker: e.worker, incarnation: e.incarnation} }

// WorkDeclared tells of work under a key: its exclusive key, "" for none, and
// whether it must not run twice.
func WorkDeclared(at clock.Millis, key, exclusive string, once bool) Event {
	return Event{kind: workDeclared, at: at, key: key, exclusive: exclusive, once: once}
}

// WorkEnded tells of work that a caller was told the end of, or cancelled; it
// need not be resumed.
func WorkEnded(at clock.Millis, key string) Event {
	return Event{kind: workEnded, at: at, key: key}
}

// WorkAnswered tells what a caller was told of work: notRun is set where the
// answer says that it did not and will not run.
func WorkAnswered(at clock.Millis, key string, notRun bool) Event {
	return Event{kind: workAnswered, at: at, key: key, notRun: notRun}
}

// WorkerAdded tells of a worker and all that it can hold.
func WorkerAdded(at clock.Millis, worker, dataCentre string, capacity sizer.Size) Event {
	return Event{kind: workerAdded, at: at, worker: worker, dataCentre: dataCentre, size: capacity}
}

// RunStarted tells of a run that began on a worker from a checkpoint.
func RunStarted(at clock.Millis, worker string, i provider.Incarnation, s sizer.Size, checkpoint string) Event {
	return Event{kind: runStarted, at: at, worker: worker, incarnation: i, size: s, checkpoint: checkpoint}
}

// RunEnded tells of a run that ended on a worker.
func RunEnded(at clock.Millis, worker string, i provider.Incarnation, p provider.TaskPhase, checkpoint string) Event {
	return Event{kind: runEnded, at: at, worker: worker, incarnation: i, phase: p, checkpoint: checkpoint}
}

// EvictionRecorded tells of a valid record in the log that a run was stopped
// and goes on from a state.
func EvictionRecorded(at clock.Millis, i provider.Incarnation, checkpoint string) Event {
	return Event{kind: evictionRecorded, at: at, incarnation: i, checkpoint: checkpoint}
}

// DrainAccepted tells of a data centre that operators took out.
func DrainAccepted(at clock.Millis, dataCentre string) Event {
	return Event{kind: drainAccepted, at: at, dataCentre: dataCentre}
}

// DrainLifted tells of a data centre that operators brought back.
func DrainLifted(at clock.Millis, dataCentre string) Event {
	return Event{kind: drainLifted, at: at, dataCentre: dataCentre}
}

// RequestSent tells of a caller's request to a daemon and the answer that is
// its own.
func RequestSent(at clock.Millis, daemon, request, want string) Event {
	return Event{kind: requestSent, at: at, daemon: daemon, request: request, payload: want}
}

// RequestAnswered tells of the answer that a caller got; notRun is set where
// it says that the request did not and will not run, in place of a payload.
func RequestAnswered(at clock.Millis, daemon, request, payload string, notRun bool) Event {
	return Event{kind: requestAnswered, at: at, daemon: daemon, request: request, payload: payload, notRun: notRun}
}

// RequestDispatched tells of a request that reached a backend server.
func RequestDispatched(at clock.Millis, backend, request string) Event {
	return Event{kind: requestDispatched, at: at, backend: backend, request: request}
}

// BackendLeaving tells of a backend server of which some source says that it
// leaves.
func BackendLeaving(at clock.Millis, backend string) Event {
	return Event{kind: backendLeaving, at: at, backend: backend}
}

// BackendReturned tells of a backend server that no longer leaves.
func BackendReturned(at clock.Millis, backend string) Event {
	return Event{kind: backendReturned, at: at, backend: backend}
}

// DaemonStarted tells of a daemon that says that it serves.
func DaemonStarted(at clock.Millis, daemon string) Event {
	return Event{kind: daemonStarted, at: at, daemon: daemon}
}

// ShutdownBegun tells of a daemon that was asked to end.
func ShutdownBegun(at clock.Millis, daemon string) Event {
	return Event{kind: shutdownBegun, at: at, daemon: daemon}
}

// DaemonStopped tells of a daemon that ended of itself.
func DaemonStopped(at clock.Millis, daemon string) Event {
	return Event{kind: daemonStopped, at: at, daemon: daemon}
}

// DaemonKilled tells of a daemon that was killed.
func DaemonKilled(at clock.Millis, daemon string) Event {
	return Event{kind: daemonKilled, at: at, daemon: daemon}
}

// ConfigAccepted tells of a change that an operator was told is accepted.
func ConfigAccepted(at clock.Millis, version int64) Event {
	return Event{kind: configAccepted, at: at, version: version}
}

// ConfigInForce tells of the version that a daemon goes by.
func ConfigInForce(at clock.Millis, daemon string, version int64) Event {
	return Event{kind: configInForce, at: at, daemon: daemon, version: version}
}

// ConfigCutOff tells of a daemon that nothing can reach, neither the log nor
// any other daemon.
func ConfigCutOff(at clock.Millis, daemon string) Event {
	return Event{kind: configCutOff, at: at, daemon: daemon}
}

// ConfigJoined tells of a daemon that can be reached again.
func ConfigJoined(at clock.Millis, daemon string) Event {
	return Event{kind: configJoined, at: at, daemon: daemon}
}
