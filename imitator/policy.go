package imitator

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Policy is a fake of the policy service, which decides which workers may run a step
	// of a job (see scheduler.Advice). It issues tickets: a ticket allows one worker to
	// start the tasks of one step until the ticket expires.
	Policy struct {
		mu             sync.Mutex
		allowed        func(step, worker string) bool
		decisionTime   clock.Millis
		ticketLifetime clock.Millis
		ticketExpiry   map[string]clock.Millis
		issued         int
	}
)

// NewPolicy returns a policy that takes decisionTime for each request and issues tickets
// that expire after ticketLifetime. allowed reports whether a worker may run a step.
func NewPolicy(decisionTime, ticketLifetime clock.Millis, allowed func(step, worker string) bool) *Policy {
	return &Policy{allowed: allowed, decisionTime: decisionTime, ticketLifetime: ticketLifetime, ticketExpiry: map[string]clock.Millis{}}
}

// Ask answers the request c with a ticket for each worker that may run the step.
func (p *Policy) Ask(ctx context.Context, c scheduler.Consultation) scheduler.Verdict {
	v := scheduler.Verdict{Consultation: c, Tickets: map[string]string{}, Validity: p.ticketLifetime}
	if !recorder.Sleep(ctx, p.decisionTime) {
		v.Failed = "no answer in time"
		return v
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range c.Workers {
		if !p.allowed(c.Step, w) {
			continue
		}
		p.issued++
		ticket := fmt.Sprintf("%s/%s/%d", c.Step, w, p.issued)
		p.ticketExpiry[ticket] = clock.System() + p.ticketLifetime
		v.Tickets[w] = ticket
	}
	return v
}

// admits reports whether a ticket allows a worker to start a task now. The name of a task
// is that of its step, "." and the index of the task, see scheduler.TaskName.
func (p *Policy) admits(task, worker, ticket string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	step := task[:strings.LastIndex(task, ".")]
	return strings.HasPrefix(ticket, step+"/"+worker+"/") && clock.System() <= p.ticketExpiry[ticket]
}
