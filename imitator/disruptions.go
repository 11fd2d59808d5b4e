package imitator

import (
	"sync"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Disruptions records when faults were injected, and judges by that how long a task that
	// lasts may be without a run. It is safe for concurrent use. The zero value has none.
	Disruptions struct {
		mu    sync.Mutex
		spans []*disruption
	}

	disruption struct{ began, ended clock.Millis }
)

const (
	// A task that lasts must not be without a run for idleLimit, counted from graceTime after
	// the end of its last run, if that time and the calmTime before it are without a disruption;
	// from the platform's rules (LOST).
	graceTime = 6 * clock.Second
	calmTime  = 4 * clock.Second
	idleLimit = 3 * clock.Second
)

// Begin records that a disruption begins, and returns the function that records its end.
func (d *Disruptions) Begin() (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &disruption{began: clock.System(), ended: clock.Never}
	d.spans = append(d.spans, s)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		s.ended = clock.System()
	}
}

// Calm reports whether there was no disruption from a time until now, nor in the calmTime before it.
func (d *Disruptions) Calm(from clock.Millis) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.spans {
		if s.ended >= from-calmTime {
			return false
		}
	}
	return true
}

// Limit returns the time by which a task whose last run ended at a time has to run again. It is
// clock.Never if there has been no calm time that is long enough.
func (d *Disruptions) Limit(from clock.Millis) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := from + graceTime + idleLimit
	for moved := true; moved; {
		moved = false
		for _, s := range d.spans {
			if s.began <= limit && s.ended > limit-calmTime-idleLimit {
				limit, moved = s.ended.Add(calmTime+idleLimit), true
			}
		}
		if limit == clock.Never {
			break
		}
	}
	return limit
}

// Exceeded reports whether a gap goes on after its limit.
func (d *Disruptions) Exceeded(g Gap) bool { return g.to > d.Limit(g.from) }
