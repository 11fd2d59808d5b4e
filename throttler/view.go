package throttler

import "galenawharf.example/galenawharf/clock"

type (
	// View is one worker as last seen.
	View struct {
		worker     string
		pressure   float64
		seenUntil  clock.Millis
		candidates []Candidate
	}

	// Candidate is a batch task that may be throttled or evicted.
	Candidate struct {
		task     string
		relief   float64
		cost     float64
		permille int
	}

	// Action is one step to take.
	Action struct {
		worker   string
		task     string
		permille int
		evict    bool
	}
)

const leastCost = 1

// NewView gives a worker with its pressure, the largest slowdown among its
// services over what each tolerates, as of samples that end at seenUntil.
func NewView(worker string, pressure float64, seenUntil clock.Millis, candidates []Candidate) View {
	return View{worker: worker, pressure: pressure, seenUntil: seenUntil, candidates: candidates}
}

// NewCandidate gives a batch task. relief is the pressure that its removal
// takes off, cost the core-seconds of work that an eviction loses, permille
// the share of its processors that it may use.
func NewCandidate(task string, relief, cost float64, permille int) Candidate {
	return Candidate{task: task, relief: relief, cost: cost, permille: permille}
}

// Worker gives the worker's name.
func (v View) Worker() string { return v.worker }

// worth gives the relief for the cost: throttling loses little.
func (c Candidate) worth() float64 {
	if c.permille > secondStep {
		return c.relief
	}
	return c.relief / (leastCost + c.cost)
}

// Worker gives the worker's name.
func (a Action) Worker() string { return a.worker }

// Task gives the task's id.
func (a Action) Task() string { return a.task }

// Permille gives the share of its processors that the task may use from now
// on, 1000 for all; 0 where it is evicted.
func (a Action) Permille() int { return a.permille }

// Evict tells whether the task is to be stopped after a checkpoint.
func (a Action) Evict() bool { return a.evict }
