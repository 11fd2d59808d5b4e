package conductor

import (
	"context"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Fleet holds the functions by which a Conductor calls workers. Their contexts end with
	// the term. Their timeouts may start when there is a connection to the worker.
	Fleet struct {
		// Send sends one order to a worker and returns its outcome, which is Unclear after
		// OrderTimeout. The epoch is the
		// fencing token: a worker rejects an order whose epoch is lower than one that it
		// has seen.
		Send func(ctx context.Context, o scheduler.Order, epoch int64) scheduler.Outcome
		// Poll polls a worker: it returns the worker's runs and extends its lease up to
		// the deadline of q.
		Poll func(ctx context.Context, q PollRequest, epoch int64) (scheduler.Report, scheduler.Outcome)
	}

	// PollRequest is the request of one poll.
	PollRequest struct {
		Worker  string
		Address string
		// Born is the start time of the worker's process in Unix ms. If the worker has
		// restarted since, the poll fails.
		Born int64
		// Acked is the highest number of an ended run whose result is stored. The worker
		// numbers its ended runs and may discard them up to this one.
		Acked int64
		// Deadline is the time on the worker's own clock at which its lease expires; 0
		// leaves the lease unchanged.
		Deadline clock.Millis
		// Timeout is how long the worker may take to answer; 0 means any time.
		Timeout clock.Millis
		// Wait is how long the worker may hold the call until a run ends (long polling).
		Wait clock.Millis
	}
)
