package scheduler

import "galenawharf.example/galenawharf/clock"

type (
	// Queue is the set of properties that the jobs of one route share.
	Queue struct {
		// Name is the name of the route.
		Name string `json:"name"`
		// Service is the pool of workers that runs the tasks.
		Service string `json:"service"`
		// Priority orders the queues; 0 is the highest.
		Priority int `json:"priority,omitempty"`
		// MaxAttempts is the number of failed runs of a task after which its job fails.
		MaxAttempts int `json:"max-attempts"`
		// Slack and Target define the objective for the time from the acceptance of a job
		// to its end: Slack times its critical path plus Target.
		Slack float64 `json:"slack"`
		// Target is the constant part of the objective.
		Target clock.Millis `json:"target"`
		// Advice is set if a policy decides which workers may run a step.
		Advice *Advice `json:"advice,omitempty"`
	}
)
