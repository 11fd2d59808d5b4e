// Package adviser asks the policies of queues, for the leader, which workers may run a
// step. A policy answers each host one question at a time, so every daemon takes a
// part of them.
package adviser

import (
	"context"
	"sync"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Adviser carries out the leader's consultations, one after the other, until
	// Close.
	Adviser struct {
		cancel context.CancelFunc
		group  sync.WaitGroup
	}

	// Funcs are what an Adviser works with.
	Funcs struct {
		// Enabled reports whether any queue has a policy.
		Enabled func() bool
		// Next brings the leader an answer, or nil, and returns the next consultation,
		// or nil if there is none for now.
		Next func(context.Context, *scheduler.Verdict) (*scheduler.Consultation, error)
		// Ask carries out a consultation.
		Ask func(context.Context, scheduler.Consultation) scheduler.Verdict
	}
)

const (
	// idlePause is the time between looks whether any queue has a policy; well within
	// the bounds for changes of the configuration.
	idlePause = 500 * clock.Millis(1)
	// leaderPause is the time before the leader is asked again after a failure.
	leaderPause = 250 * clock.Millis(1)
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

// Close ends the work; a consultation under way is broken off.
func (a *Adviser) Close() {
	a.cancel()
	a.group.Wait()
}

func run(ctx context.Context, s Funcs) {
	var last *scheduler.Verdict
	for ctx.Err() == nil {
		if !s.Enabled() {
			recorder.Sleep(ctx, idlePause)
			continue
		}
		c, err := s.Next(ctx, last)
		if err != nil {
			// The leader asks again when the time for the answer is over.
			last = nil
			recorder.Sleep(ctx, leaderPause)
			continue
		}
		last = nil
		if c != nil {
			v := s.Ask(ctx, *c)
			last = &v
		}
	}
}
