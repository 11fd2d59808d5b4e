package conductor

import (
	"context"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Fleet is how workers are reached.
	Fleet struct {
		// Send carries out one order under an epoch.
		Send func(ctx context.Context, o scheduler.Order, epoch int64) scheduler.Outcome
		// Look extends the lease of a worker and returns its runs.
		Look func(ctx context.Context, q Question, epoch int64) (scheduler.Report, scheduler.Outcome)
	}

	// Question is what a worker is asked.
	Question struct {
		Worker  string
		Address string
		Born    int64
		// Acked is the highest stored end, which the worker may forget.
		Acked int64
		// Deadline is until when the worker may work, by its own clock; 0 to leave
		// its lease as it is.
		Deadline clock.Millis
		// Limit is how long to wait for the answer.
		Limit clock.Millis
		// Wait is how long the worker holds the question until a run ends.
		Wait clock.Millis
	}
)
