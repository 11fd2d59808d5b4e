package scheduler

import "galenawharf.example/galenawharf/clock"

type (
	// Queue is how the jobs of one route are run.
	Queue struct {
		// Name is the route's name.
		Name string `json:"name"`
		// Service is the pool of workers that runs the tasks.
		Service string `json:"service"`
		// Priority orders queues; 0 goes first.
		Priority int `json:"priority,omitempty"`
		// MaxAttempts bounds the failed runs of a task.
		MaxAttempts int `json:"max-attempts"`
		// Slack is the objective in multiples of the job's critical path.
		Slack float64 `json:"slack"`
		// Target is added to the objective.
		Target clock.Millis `json:"target"`
		// Advice is set where a policy says which workers may run a step.
		Advice *Advice `json:"advice,omitempty"`
	}
)
