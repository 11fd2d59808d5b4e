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
	// Policy is a stand-in for the service that knows which workers may run the steps
	// of a queue. Its tickets admit tasks for a time.
	Policy struct {
		mu       sync.Mutex
		allowed  func(step, worker string) bool
		decision clock.Millis
		validity clock.Millis
		until    map[string]clock.Millis
		issued   int
	}
)

// NewPolicy returns a policy that takes a while for each question.
func NewPolicy(decision, validity clock.Millis, allowed func(step, worker string) bool) *Policy {
	return &Policy{allowed: allowed, decision: decision, validity: validity, until: map[string]clock.Millis{}}
}

// Ask carries out a consultation.
func (p *Policy) Ask(ctx context.Context, c scheduler.Consultation) scheduler.Verdict {
	v := scheduler.Verdict{Consultation: c, Tickets: map[string]string{}, Validity: p.validity}
	if !recorder.Sleep(ctx, p.decision) {
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
		p.until[ticket] = clock.System() + p.validity
		v.Tickets[w] = ticket
	}
	return v
}

// admits reports whether a ticket lets a worker start a task.
func (p *Policy) admits(task, worker, ticket string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	step := task[:strings.LastIndex(task, ".")]
	return strings.HasPrefix(ticket, step+"/"+worker+"/") && clock.System() <= p.until[ticket]
}
