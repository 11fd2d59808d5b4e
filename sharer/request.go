package sharer

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Tier is a rank of work that goes before every lower one.
	Tier int

	// Request is one waiting task.
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

// Tiers in their order.
const (
	// TierService is latency-critical work.
	TierService Tier = iota
	// TierUrgent is submitted and standing work.
	TierUrgent
	// TierBatch is the rest.
	TierBatch
)

// NewRequest gives a waiting task. deadline is clock.Never for none, runTime an
// estimate, and remaining the core-milliseconds that the whole job still needs.
func NewRequest(id, team, job string, t Tier, size sizer.Size, priority int, submitted, deadline, runTime clock.Millis, remaining float64) Request {
	return Request{
		id: id, team: team, job: job, tier: t, size: size, priority: priority,
		submitted: submitted, deadline: deadline, runTime: runTime, remaining: remaining,
	}
}

// ID gives the task's id.
func (r Request) ID() string { return r.id }

// Team gives the team that owns it.
func (r Request) Team() string { return r.team }

// Tier gives its rank.
func (r Request) Tier() Tier { return r.tier }
