package checker

import (
	"fmt"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Event is an observation made outside the code under test. Times are in
	// milliseconds.
	Event struct {
		kind          kind
		at            clock.Millis
		dataCentre    string
		worker        string
		daemon        string
		backend       string
		key           string
		exclusive     string
		nonIdempotent bool
		incarnation   provider.Incarnation
		size          sizer.Size
		phase         provider.TaskPhase
		checkpoint    string
		request       string
		payload       string
		notRun        bool
		version       int64
	}

	kind int

	// runKey identifies the start or end of a run and its time. A start and an end with
	// the same key belong to a run that ended in the millisecond in which it started.
	runKey struct {
		at          clock.Millis
		worker      string
		incarnation provider.Incarnation
	}
)

// Kinds of events. String prints them as numbers.
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

// rank returns the position of the event among those of the same millisecond:
// declarations first, then ends of runs, then other events, then starts. The end of a
// run that also started in that millisecond comes last.
func (e Event) rank(starts map[runKey]bool) int {
	switch e.kind {
	case workDeclared, workerAdded:
		return 0
	case runEnded:
		if starts[e.runKey()] {
			return 4
		}
		return 1
	case runStarted:
		return 3
	}
	return 2
}

// About reports whether name is the event's work key, task or worker.
func (e Event) About(name string) bool {
	return e.key == name || e.incarnation.Task == name || e.worker == name
}

// String returns the event's fields for test output.
func (e Event) String() string {
	return fmt.Sprintf("%d kind %d %s %s%s %s %s %q", e.at, e.kind, e.incarnation, e.key, e.request, e.worker+e.daemon+e.backend+e.dataCentre, e.phase, e.checkpoint)
}

func (e Event) runKey() runKey { return runKey{at: e.at, worker: e.worker, incarnation: e.incarnation} }

// WorkDeclared returns the event that work was declared under a key. exclusive is its
// exclusive key, or "" if it has none; non-idempotent work must not run twice.
func WorkDeclared(at clock.Millis, key, exclusive string, nonIdempotent bool) Event {
	return Event{kind: workDeclared, at: at, key: key, exclusive: exclusive, nonIdempotent: nonIdempotent}
}

// WorkEnded returns the event that work was cancelled or that a caller got its result.
// Such work doesn't have to resume.
func WorkEnded(at clock.Millis, key string) Event {
	return Event{kind: workEnded, at: at, key: key}
}

// WorkAnswered returns the event that a caller got an answer about its work. notRun is
// whether the answer was that the work did not and will not run.
func WorkAnswered(at clock.Millis, key string, notRun bool) Event {
	return Event{kind: workAnswered, at: at, key: key, notRun: notRun}
}

// WorkerAdded returns the event that a worker with the given capacity exists.
func WorkerAdded(at clock.Millis, worker, dataCentre string, capacity sizer.Size) Event {
	return Event{kind: workerAdded, at: at, worker: worker, dataCentre: dataCentre, size: capacity}
}

// RunStarted returns the event that a run of size s started on a worker from a
// checkpoint.
func RunStarted(at clock.Millis, worker string, i provider.Incarnation, s sizer.Size, checkpoint string) Event {
	return Event{kind: runStarted, at: at, worker: worker, incarnation: i, size: s, checkpoint: checkpoint}
}

// RunEnded returns the event that a run ended on a worker in phase p. checkpoint is the
// state that it saved.
func RunEnded(at clock.Millis, worker string, i provider.Incarnation, p provider.TaskPhase, checkpoint string) Event {
	return Event{kind: runEnded, at: at, worker: worker, incarnation: i, phase: p, checkpoint: checkpoint}
}

// EvictionRecorded returns the event that the log has a valid record that a run was
// evicted. The next run must start from the recorded checkpoint.
func EvictionRecorded(at clock.Millis, i provider.Incarnation, checkpoint string) Event {
	return Event{kind: evictionRecorded, at: at, incarnation: i, checkpoint: checkpoint}
}

// DrainAccepted returns the event that the drain of a data centre was accepted.
func DrainAccepted(at clock.Millis, dataCentre string) Event {
	return Event{kind: drainAccepted, at: at, dataCentre: dataCentre}
}

// DrainLifted returns the event that operators ended the drain of a data centre.
func DrainLifted(at clock.Millis, dataCentre string) Event {
	return Event{kind: drainLifted, at: at, dataCentre: dataCentre}
}

// RequestSent returns the event that a caller sent a request to a daemon. want is the
// only correct answer.
func RequestSent(at clock.Millis, daemon, request, want string) Event {
	return Event{kind: requestSent, at: at, daemon: daemon, request: request, payload: want}
}

// RequestAnswered returns the event that a caller got an answer. If notRun is set, the
// answer was that the request did not and will not run, and payload is ignored.
func RequestAnswered(at clock.Millis, daemon, request, payload string, notRun bool) Event {
	return Event{kind: requestAnswered, at: at, daemon: daemon, request: request, payload: payload, notRun: notRun}
}

// RequestDispatched returns the event that a request reached a backend server.
func RequestDispatched(at clock.Millis, backend, request string) Event {
	return Event{kind: requestDispatched, at: at, backend: backend, request: request}
}

// BackendLeaving returns the event that a backend server was reported as leaving by
// one of the sources of that state.
func BackendLeaving(at clock.Millis, backend string) Event {
	return Event{kind: backendLeaving, at: at, backend: backend}
}

// BackendReturned returns the event that a backend server is no longer leaving.
func BackendReturned(at clock.Millis, backend string) Event {
	return Event{kind: backendReturned, at: at, backend: backend}
}

// DaemonStarted returns the event that a daemon reported that it serves requests.
func DaemonStarted(at clock.Millis, daemon string) Event {
	return Event{kind: daemonStarted, at: at, daemon: daemon}
}

// ShutdownBegun returns the event that a daemon was ordered to shut down.
func ShutdownBegun(at clock.Millis, daemon string) Event {
	return Event{kind: shutdownBegun, at: at, daemon: daemon}
}

// DaemonStopped returns the event that a daemon's graceful shutdown ended.
func DaemonStopped(at clock.Millis, daemon string) Event {
	return Event{kind: daemonStopped, at: at, daemon: daemon}
}

// DaemonKilled returns the event that a daemon was killed without a shutdown.
func DaemonKilled(at clock.Millis, daemon string) Event {
	return Event{kind: daemonKilled, at: at, daemon: daemon}
}

// ConfigAccepted returns the event that an operator got the answer that a configuration
// change was accepted.
func ConfigAccepted(at clock.Millis, version int64) Event {
	return Event{kind: configAccepted, at: at, version: version}
}

// ConfigInForce returns the event that a daemon uses a configuration version.
func ConfigInForce(at clock.Millis, daemon string, version int64) Event {
	return Event{kind: configInForce, at: at, daemon: daemon, version: version}
}

// ConfigCutOff returns the event that a daemon lost its connections to the log and to
// all other daemons.
func ConfigCutOff(at clock.Millis, daemon string) Event {
	return Event{kind: configCutOff, at: at, daemon: daemon}
}

// ConfigJoined returns the event that a daemon is reachable again.
func ConfigJoined(at clock.Millis, daemon string) Event {
	return Event{kind: configJoined, at: at, daemon: daemon}
}
