package throttler

import "galenawharf.example/galenawharf/clock"

type (
	// View is the last known state of one worker, as input to Step.
	View struct {
		worker       string
		pressure     float64
		sampledUntil clock.Millis
		candidates   []Candidate
	}

	// Candidate is a batch task that may be throttled or evicted. permille is its current
	// share of its processors.
	Candidate struct {
		task         string
		contribution float64
		cost         float64
		permille     int
	}

	// Action is a change of a task's share, or its eviction.
	Action struct {
		worker   string
		task     string
		permille int
		evict    bool
	}
)

// minEvictionCost is added to the work that an eviction loses, in core-seconds, so that an
// eviction without lost work has a cost, too.
const minEvictionCost = 1

// NewView returns the view of a worker. pressure is the highest slowdown among its
// services divided by what each tolerates, from samples that end at sampledUntil.
func NewView(worker string, pressure float64, sampledUntil clock.Millis, candidates []Candidate) View {
	return View{worker: worker, pressure: pressure, sampledUntil: sampledUntil, candidates: candidates}
}

// NewCandidate returns a candidate. contribution is the part of the worker's pressure
// that the task causes, cost the core-seconds of work that its eviction loses, permille
// the current share of its processors.
func NewCandidate(task string, contribution, cost float64, permille int) Candidate {
	return Candidate{task: task, contribution: contribution, cost: cost, permille: permille}
}

// Worker returns the worker's name.
func (v View) Worker() string { return v.worker }

// benefitPerCost returns the contribution of the candidate divided by the cost of its next
// action. Throttling has no cost that depends on the task, so its divisor is 1.
func (c Candidate) benefitPerCost() float64 {
	if c.permille > secondThrottle {
		return c.contribution
	}
	return c.contribution / (minEvictionCost + c.cost)
}

// Worker returns the worker's name.
func (a Action) Worker() string { return a.worker }

// Task returns the task's id.
func (a Action) Task() string { return a.task }

// Permille returns the new share of its processors that the task may use, in thousandths; 0
// for an eviction.
func (a Action) Permille() int { return a.permille }

// IsEviction reports whether the action is an eviction: the task is stopped after a checkpoint.
func (a Action) IsEviction() bool { return a.evict }
