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
	// Policy is a fake of the policy service, which decides which workers may run the
	// steps of a queue. It issues tickets that allow a worker to start tasks of a step
	// until they expire.
	Policy struct {
		mu           sync.Mutex
		allowed      func(step, worker string) bool
		decisionTime clock.Millis
		validity     clock.Millis
		validUntil   map[string]clock.Millis
		issued       int
	}
)

// NewPolicy returns a policy that takes decisionTime for each consultation and issues
// tickets that are valid for validity. allowed reports whether a worker may run a step.
func NewPolicy(decisionTime, validity clock.Millis, allowed func(step, worker string) bool) *Policy {
	return &Policy{allowed: allowed, decisionTime: decisionTime, validity: validity, validUntil: map[string]clock.Millis{}}
}

// Ask returns the verdict on a consultation, with a ticket for each allowed worker.
func (p *Policy) Ask(ctx context.Context, c scheduler.Consultation) scheduler.Verdict {
	v := scheduler.Verdict{Consultation: c, Tickets: map[string]string{}, Validity: p.validity}
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
		p.validUntil[ticket] = clock.System() + p.validity
		v.Tickets[w] = ticket
	}
	return v
}

// admits reports whether a ticket allows a worker to start a task now.
func (p *Policy) admits(task, worker, ticket string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	step := task[:strings.LastIndex(task, ".")]
	return strings.HasPrefix(ticket, step+"/"+worker+"/") && clock.System() <= p.validUntil[ticket]
}
