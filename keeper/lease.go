package keeper

import (
	"github.com/looplab/fsm"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// lease is one incarnation on one worker, from the decision until its
	// end is certain.
	lease struct {
		incarnation provider.Incarnation
		host        *host
		task        *task
		size        sizer.Size
		phase       string
		// boot is that of the worker that the lease is meant for, "" where
		// it isn't known.
		boot string
		// until is the latest end by the worker's clock; it counts where
		// timed is set.
		until int64
		timed bool
		// lapseBy is when the end is certain by the owner's own clock.
		lapseBy clock.Millis
		// confirmed is set once the worker was seen to run it.
		confirmed bool
		// stopFor is why it is to be stopped.
		stopFor stopReason
		// granted is when the owner decided it.
		granted clock.Millis
		// checkpointed is when a checkpoint was last asked for.
		checkpointed clock.Millis
		report       *provider.TaskReport
		ending       ending
		// share is what the task may use of its processors, in thousandths,
		// and sharing what the worker has confirmed; 0 where none was set.
		share   int
		sharing int
		// successor is the replica that is to run elsewhere before this run
		// of it is stopped.
		successor *task
	}

	stopReason int
)

// Why a lease is stopped.
const (
	stopNot stopReason = iota
	stopEvict
	stopCancel
	// stopSurplus is for what no longer has a place in the shard.
	stopSurplus
)

// Phases of a lease.
const (
	// phasePlanned has no record that was read back yet.
	phasePlanned = "planned"
	// phaseReady may be ordered.
	phaseReady = "ready"
	// phaseSent is ordered without an answer.
	phaseSent = "sent"
	// phaseHeld is confirmed by the worker.
	phaseHeld = "held"
	// phaseUnclear may run or not.
	phaseUnclear = "unclear"
	// phaseStopping is asked to stop without an answer.
	phaseStopping = "stopping"
	// phaseEnded doesn't run any more, as the worker said.
	phaseEnded = "ended"
	// phaseLapsed doesn't run any more; what it did is not known.
	phaseLapsed = "lapsed"
)

// Events in the life of a lease.
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
	leaseTable = fsm.Events{
		{Name: leaseRecord, Src: []string{phasePlanned}, Dst: phaseReady},
		{Name: leaseSend, Src: []string{phaseReady}, Dst: phaseSent},
		{Name: leaseConfirm, Src: []string{phaseSent, phaseUnclear}, Dst: phaseHeld},
		{Name: leaseMiss, Src: []string{phaseSent, phaseHeld, phaseStopping}, Dst: phaseUnclear},
		{Name: leaseStop, Src: []string{phaseHeld}, Dst: phaseStopping},
		{Name: leaseEnd, Src: []string{phaseReady, phaseSent, phaseHeld, phaseUnclear, phaseStopping, phaseLapsed}, Dst: phaseEnded},
		{Name: leaseLapse, Src: []string{phaseSent, phaseHeld, phaseUnclear, phaseStopping}, Dst: phaseLapsed},
	}
)

// holds tells whether the lease takes up room on its worker.
func (l *lease) holds() bool { return l.phase != phaseEnded && l.phase != phaseLapsed }

// ordered tells whether the worker may have heard of the lease.
func (l *lease) ordered() bool { return l.phase != phasePlanned && l.phase != phaseReady }
