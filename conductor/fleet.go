package conductor

import (
	"context"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Fleet holds the calls that a Conductor makes to workers.
	Fleet struct {
		// Send carries out one order. The epoch is the fencing token: a worker rejects an
		// order whose epoch is lower than one that it has seen.
		Send func(ctx context.Context, o scheduler.Order, epoch int64) scheduler.Outcome
		// Look polls a worker: it returns the worker's runs and extends its lease up to
		// the deadline of q.
		Look func(ctx context.Context, q Question, epoch int64) (scheduler.Report, scheduler.Outcome)
	}

	// Question is a poll of a worker.
	Question struct {
		Worker  string
		Address string
		Born    int64
		// Acked is the highest number of an end (the result of a finished run) that is
		// stored; the worker may discard ends up to it.
		Acked int64
		// Deadline is the time on the worker's own clock at which its lease expires; 0
		// leaves the lease unchanged.
		Deadline clock.Millis
		// Timeout bounds the whole call.
		Timeout clock.Millis
		// Wait is how long the worker may hold the call until a run ends (long polling).
		Wait clock.Millis
	}
)
