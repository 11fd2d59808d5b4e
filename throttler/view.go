package throttler

import "galenawharf.example/galenawharf/clock"

type (
	// View is the last known state of one worker.
	View struct {
		worker       string
		pressure     float64
		sampledUntil clock.Millis
		candidates   []Candidate
	}

	// Candidate is a batch task that may be throttled or evicted.
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

// minEvictionCost is the cost of an eviction that loses no work, in core-seconds.
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

// benefitPerCost returns the value for ordering candidates. Throttling is free, so only a
// task whose next action is an eviction has a cost.
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

// Permille returns the new share of its processors for the task, 1000 for all; 0 for an
// eviction.
func (a Action) Permille() int { return a.permille }

// Evict reports whether the task is to be stopped after a checkpoint.
func (a Action) Evict() bool { return a.evict }
