package sharer

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Tier ranks work: a lower tier is ordered first, regardless of priority and share.
	Tier int

	// Request is a task waiting to be placed.
	Request struct {
		id        string
		team      string
		job       string
		tier      Tier
		size      sizer.Size
		priority  int
		submitted clock.Millis
		deadline  clock.Millis
		runTime   clock.Millis
		remaining float64
	}
)

// Tiers, first to last.
const (
	// TierService is for latency-critical services.
	TierService Tier = iota
	// TierUrgent is for watch jobs, and for submitted jobs that are exclusive or not
	// idempotent.
	TierUrgent
	// TierBatch is for tasks of all other batch jobs.
	TierBatch
)

// NewRequest returns a request. deadline is clock.Never if there is none, runTime is an
// estimate, and remaining is the work left in the whole job, in core-seconds.
func NewRequest(id, team, job string, t Tier, size sizer.Size, priority int, submitted, deadline, runTime clock.Millis, remaining float64) Request {
	return Request{
		id: id, team: team, job: job, tier: t, size: size, priority: priority,
		submitted: submitted, deadline: deadline, runTime: runTime, remaining: remaining,
	}
}

// ID returns the id of the task.
func (r Request) ID() string { return r.id }

// Team returns the team that owns the task.
func (r Request) Team() string { return r.team }

// Tier returns the tier of the task.
func (r Request) Tier() Tier { return r.tier }
