package scheduler

import (
	"slices"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

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

// maxSlack bounds the slack factor of a queue: a job of a second then has eleven days.
const maxSlack = 1_000_000

// validate returns an error for numbers that would overflow in what is computed with them.
func (q *Queue) validate() error {
	bounded := func(ms ...clock.Millis) bool {
		return !slices.ContainsFunc(ms, func(m clock.Millis) bool { return m < 0 || m > maxTaskTime })
	}
	// Not a number compares as neither less nor more.
	if !(q.Slack >= 0 && q.Slack <= maxSlack) || !bounded(q.Target) || q.Advice != nil && !bounded(q.Advice.Base, q.Advice.PerWorker, q.Advice.Validity) {
		return errors.Errorf("a number of queue %q is out of range", q.Name)
	}
	return nil
}
