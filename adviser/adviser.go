// Package adviser asks the policy service, on behalf of the leader, which workers may run
// a step. The service answers one request of a host at a time, so the daemons of all
// hosts share the consultations.
package adviser

import (
	"context"
	"sync"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Adviser carries out consultations (calls to the policy service for the leader), one
	// after the other, until Close.
	Adviser struct {
		cancel context.CancelFunc
		group  sync.WaitGroup
	}

	// Funcs are the functions that an Adviser calls.
	Funcs struct {
		// Enabled reports whether any queue has a policy.
		Enabled func() bool
		// Next delivers the verdict of the previous consultation to the leader, unless it
		// is nil, and returns the next consultation, or nil if there is none for now.
		Next func(context.Context, *scheduler.Verdict) (*scheduler.Consultation, error)
		// Ask sends a consultation to the policy service and returns its verdict.
		Ask func(context.Context, scheduler.Consultation) scheduler.Verdict
	}
)

const (
	// enabledCheckInterval is the time between calls of Enabled while no queue has a
	// policy. It is well within the time allowed for a change of the configuration.
	enabledCheckInterval = 500 * clock.Millis(1)
	// leaderRetryDelay is the time before a failed call of Next is retried.
	leaderRetryDelay = 250 * clock.Millis(1)
)

// New starts to carry out consultations.
func New(s Funcs) *Adviser {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Adviser{cancel: cancel}
	a.group.Add(1)
	go func() {
		defer a.group.Done()
		run(ctx, s)
	}()
	return a
}

// Close stops the adviser and cancels a consultation in progress.
func (a *Adviser) Close() {
	a.cancel()
	a.group.Wait()
}

func run(ctx context.Context, s Funcs) {
	var last *scheduler.Verdict
	for ctx.Err() == nil {
		if !s.Enabled() {
			recorder.Sleep(ctx, enabledCheckInterval)
			continue
		}
		c, err := s.Next(ctx, last)
		if err != nil {
			// The leader issues the consultation again when its time limit has passed.
			last = nil
			recorder.Sleep(ctx, leaderRetryDelay)
			continue
		}
		last = nil
		if c != nil {
			v := s.Ask(ctx, *c)
			last = &v
		}
	}
}
