package keeper

import (
	"github.com/looplab/fsm"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// lease is one incarnation of a task on one worker, from the decision until its end
	// is certain.
	lease struct {
		incarnation provider.Incarnation
		host        *host
		task        *task
		size        sizer.Size
		phase       string
		// boot identifies the worker's boot that the lease is valid for, "" if unknown.
		boot string
		// until is the latest end by the worker's clock in milliseconds; valid only if
		// untilKnown.
		until      int64
		untilKnown bool
		// lapseBy is when the lease has certainly expired, by the owner's clock.
		lapseBy clock.Millis
		// confirmed is set once the worker has reported the run as running.
		confirmed bool
		// stopFor is why the run is to be stopped, stopNone if it isn't.
		stopFor stopReason
		// grantedAt is when the owner decided on the lease.
		grantedAt clock.Millis
		// checkpointedAt is when a checkpoint was last ordered.
		checkpointedAt clock.Millis
		report         *provider.TaskReport
		end            endKind
		// targetShare is the share of its processors that the task may use, in
		// thousandths, and confirmedShare what the worker has confirmed; 0 if none was
		// set.
		targetShare    int
		confirmedShare int
		// successor is the replica that has to run on another worker before this run of
		// it is stopped.
		successor *task
	}

	stopReason int
)

// Why a lease is stopped.
const (
	stopNone stopReason = iota
	stopEvict
	stopCancel
	// stopSurplus is for runs that don't belong to the shard any more.
	stopSurplus
)

// Phases of a lease.
const (
	// phasePlanned waits for its record to be read back.
	phasePlanned = "planned"
	// phaseReady is recorded; its start order may be sent.
	phaseReady = "ready"
	// phaseSent has a start order without an answer.
	phaseSent = "sent"
	// phaseHeld is confirmed by the worker.
	phaseHeld = "held"
	// phaseUnclear may or may not be running.
	phaseUnclear = "unclear"
	// phaseStopping has a stop order without an answer.
	phaseStopping = "stopping"
	// phaseEnded no longer runs or never started: the worker reported its end, rebooted,
	// or left it out of its inventory.
	phaseEnded = "ended"
	// phaseLapsed has expired; the result of the run is not known.
	phaseLapsed = "lapsed"
)

// Events of a lease.
const (
	leaseRecord  = "record"
	leaseSend    = "send"
	leaseConfirm = "confirm"
	leaseMiss    = "miss"
	leaseStop    = "stop"
	leaseEnd     = "end"
	leaseLapse   = "lapse"
)

var (
	leaseTransitions = fsm.Events{
		{Name: leaseRecord, Src: []string{phasePlanned}, Dst: phaseReady},
		{Name: leaseSend, Src: []string{phaseReady}, Dst: phaseSent},
		{Name: leaseConfirm, Src: []string{phaseSent, phaseUnclear}, Dst: phaseHeld},
		{Name: leaseMiss, Src: []string{phaseSent, phaseHeld, phaseStopping}, Dst: phaseUnclear},
		{Name: leaseStop, Src: []string{phaseHeld}, Dst: phaseStopping},
		{Name: leaseEnd, Src: []string{phaseReady, phaseSent, phaseHeld, phaseUnclear, phaseStopping, phaseLapsed}, Dst: phaseEnded},
		{Name: leaseLapse, Src: []string{phaseSent, phaseHeld, phaseUnclear, phaseStopping}, Dst: phaseLapsed},
	}
)

// holdsCapacity reports whether the lease counts against the worker's capacity.
func (l *lease) holdsCapacity() bool { return l.phase != phaseEnded && l.phase != phaseLapsed }

// orderSent reports whether a start order may have reached the worker.
func (l *lease) orderSent() bool { return l.phase != phasePlanned && l.phase != phaseReady }
