package sharer

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Tier ranks tasks. A task of a lower tier goes first, regardless of priority and share.
	Tier int

	// Request describes a task that waits to be placed.
	Request struct {
		id            string
		team          string
		job           string
		tier          Tier
		size          sizer.Size
		priority      int
		submitted     clock.Millis
		deadline      clock.Millis
		runTime       clock.Millis
		remainingWork float64
	}
)

// Tiers, in the order in which they are placed.
const (
	// TierService is for latency-critical services.
	TierService Tier = iota
	// TierUrgent is for watch jobs, and for submitted jobs that are exclusive or not
	// idempotent. (In package placer services are urgent, too.)
	TierUrgent
	// TierBatch is for all other tasks, which belong to batch jobs.
	TierBatch
)

// NewRequest returns a request. deadline is clock.Never if there is none, runTime is an
// estimate, and remainingWork is the work in the waiting tasks of the same submission, in
// core-seconds.
func NewRequest(id, team, job string, t Tier, size sizer.Size, priority int, submitted, deadline, runTime clock.Millis, remainingWork float64) Request {
	return Request{
		id: id, team: team, job: job, tier: t, size: size, priority: priority,
		submitted: submitted, deadline: deadline, runTime: runTime, remainingWork: remainingWork,
	}
}

// ID returns the id of the task.
func (r Request) ID() string { return r.id }

// Team returns the team that owns the task.
func (r Request) Team() string { return r.team }

// Tier returns the tier of the task.
func (r Request) Tier() Tier { return r.tier }
