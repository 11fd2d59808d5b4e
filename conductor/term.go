package conductor

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/scheduler"
)

// Term describes the term that this daemon was elected for.
type Term struct {
	// Epoch is the number of the term, which is also the fencing token.
	Epoch int64
	// PredecessorStopped is whether the previous leader is known to have stopped. If it
	// isn't, it may still send orders and extend leases.
	PredecessorStopped bool
	// LastRenewal returns when this daemon last renewed its claim to lead.
	LastRenewal func() clock.Millis
	// Relay is the clock that leaders hand on; nil if there is none.
	Relay *clock.Relay
	// PredecessorRenewal is when the previous leader renewed its claim for the last time,
	// as a reading of Relay; 0 if it is not known. PredecessorResigned is whether it
	// resigned then.
	PredecessorRenewal  clock.Millis
	PredecessorResigned bool
	// PredecessorClocks are the clock readings that the previous leader has left,
	// PredecessorClocksAt is when they were taken, as a reading of Relay. LeaveClocks leaves
	// those of this leader to the next; it may be nil.
	PredecessorClocks   []scheduler.ClockReading
	PredecessorClocksAt clock.Millis
	LeaveClocks         func(takenAt clock.Millis, rs []scheduler.ClockReading)
}
