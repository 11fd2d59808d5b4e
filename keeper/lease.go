package keeper

import (
	"github.com/looplab/fsm"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// lease is one run (incarnation) of a task on one worker, from the decision to place
	// it until its end is recorded and the worker has forgotten the run.
	lease struct {
		incarnation provider.Incarnation
		host        *host
		// task is nil when the run no longer belongs to a task: its end was recorded, the
		// replica is being replaced, or the log doesn't have the run.
		task  *task
		size  sizer.Size
		phase string
		// boot identifies the worker's boot that the lease is valid for, "" if unknown.
		boot string
		// until is when the lease expires at the latest, as a reading of the worker's clock
		// in milliseconds. It is valid only if untilKnown is set.
		until      int64
		untilKnown bool
		// expiredBy is when the lease has certainly expired, by the owner's clock. It is
		// used if until or the worker's clock in the boot of the lease isn't known.
		expiredBy clock.Millis
		// confirmed is set once the worker has reported the run as running, and stays set.
		confirmed bool
		// stopReason is why the run is to be stopped, stopNone if it isn't.
		stopReason stopReason
		// addedAt is when this keeper added the lease; once successor is set, it is when
		// that was done.
		addedAt clock.Millis
		// checkpointOrderedAt is when the start or the last checkpoint was ordered.
		checkpointOrderedAt clock.Millis
		// report is the worker's report on the ended run, nil if there is none.
		report *provider.TaskReport
		// end is how the lease ended, endNone before.
		end endKind
		// targetShare is the share of its processors that the task may use, in
		// thousandths, and confirmedShare what the worker has confirmed; 0 if none was
		// set.
		targetShare    int
		confirmedShare int
		// successor is set while a service replica is being moved: it is the replica's
		// task, detached from this lease so that it can start on another worker. This run
		// is stopped once the task runs there, or after successorTimeout.
		successor *task
	}

	stopReason int
)

// Why a run is stopped.
const (
	stopNone stopReason = iota
	stopEvict
	stopCancel
	// stopSurplus is for runs that the shard doesn't need: no longer declared, replaced by
	// another run of the same replica, or unknown to the log.
	stopSurplus
)

// Phases of a lease.
const (
	// phasePlanned is a lease whose STARTING record was not read back from the log yet.
	phasePlanned = "planned"
	// phaseReady is a lease whose start order may be sent: its record was read back, or it
	// is that of a service replica.
	phaseReady = "ready"
	// phaseSent is a lease whose start order was sent and has no answer yet.
	phaseSent = "sent"
	// phaseHeld is a lease whose run the worker has confirmed as running.
	phaseHeld = "held"
	// phaseUnclear is a lease whose run may or may not be running, because an order about
	// it has failed, got no answer or got an ambiguous one, or because an earlier owner
	// granted it. The worker's next inventory decides.
	phaseUnclear = "unclear"
	// phaseStopping is a lease whose stop order was sent and has no answer yet.
	phaseStopping = "stopping"
	// phaseEnded is a lease whose run is over or never started: the worker reported its
	// end, rebooted or left it out of its inventory, or no start order was sent.
	phaseEnded = "ended"
	// phaseLapsed is a lease that has certainly expired, with no report on the run's
	// result.
	phaseLapsed = "lapsed"
)

// Names of the transitions of a lease.
const (
	leaseTransitionRecord  = "record"
	leaseTransitionSend    = "send"
	leaseTransitionConfirm = "confirm"
	leaseTransitionUnclear = "miss"
	leaseTransitionStop    = "stop"
	leaseTransitionEnd     = "end"
	leaseTransitionExpire  = "lapse"
)

var (
	leaseTransitions = fsm.Events{
		{Name: leaseTransitionRecord, Src: []string{phasePlanned}, Dst: phaseReady},
		{Name: leaseTransitionSend, Src: []string{phaseReady}, Dst: phaseSent},
		{Name: leaseTransitionConfirm, Src: []string{phaseSent, phaseUnclear}, Dst: phaseHeld},
		{Name: leaseTransitionUnclear, Src: []string{phaseSent, phaseHeld, phaseStopping}, Dst: phaseUnclear},
		{Name: leaseTransitionStop, Src: []string{phaseHeld}, Dst: phaseStopping},
		{Name: leaseTransitionEnd, Src: []string{phaseReady, phaseSent, phaseHeld, phaseUnclear, phaseStopping, phaseLapsed}, Dst: phaseEnded},
		{Name: leaseTransitionExpire, Src: []string{phaseSent, phaseHeld, phaseUnclear, phaseStopping}, Dst: phaseLapsed},
	}
)

// holdsCapacity reports whether the lease counts against the worker's capacity.
func (l *lease) holdsCapacity() bool { return l.phase != phaseEnded && l.phase != phaseLapsed }

// mayHaveStarted reports whether a start order may have reached the worker. It is also
// true for leases that have ended without one.
func (l *lease) mayHaveStarted() bool { return l.phase != phasePlanned && l.phase != phaseReady }
