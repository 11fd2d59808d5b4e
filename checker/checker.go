// Package checker tests a trace of events against the system's invariants. Events are
// observations of workers, executors, callers, operators, daemons and the log; the
// internal state of the code under test is never used. Every rule reads the whole trace.
//
// There is one rule for each guarantee of the system:
//
//	capacity      no worker runs more than its capacity
//	alone         work of one exclusive key never runs in two places at once
//	resume        evicted work resumes exactly once
//	drain         nothing starts in a drained data centre
//	answer        each request gets its own complete answer exactly once
//	not-run       work or a request reported as not run never ran
//	at-most-once  non-idempotent work runs at most once
//	leaving       a leaving backend server gets no new work
//	shutdown      a graceful shutdown answers every request in flight
//	config        an accepted configuration soon takes effect and never reverts
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Checker collects a trace and tests it. It is safe for concurrent use.
	Checker struct {
		mu     sync.Mutex
		bounds Bounds
		events []Event
	}

	// Bounds are the longest times, in milliseconds, that a drain, a leaving backend
	// server and a new configuration may take to have their effect.
	Bounds struct {
		drain   clock.Millis
		leaving clock.Millis
		config  clock.Millis
	}

	// Violation is a breach of one rule.
	Violation struct {
		rule   string
		at     clock.Millis
		text   string
		task   string
		worker string
	}

	// rule is called with each event in order of time, then once with the time at
	// which the trace ends.
	rule interface {
		observe(e Event) []Violation
		finish(now clock.Millis) []Violation
	}
)

const (
	defaultDrain   = 5 * clock.Second
	defaultLeaving = 5 * clock.Second
	defaultConfig  = 12 * clock.Second
)

// NewBounds returns the time limits, counted from when a drain is accepted, a backend
// server starts to leave and a configuration is accepted.
func NewBounds(drain, leaving, config clock.Millis) Bounds {
	return Bounds{drain: drain, leaving: leaving, config: config}
}

// New returns a Checker with the default bounds.
func New() *Checker { return NewWithin(NewBounds(defaultDrain, defaultLeaving, defaultConfig)) }

// NewWithin returns a Checker with the given bounds.
func NewWithin(b Bounds) *Checker { return &Checker{bounds: b} }

// Add appends an event to the trace. Events may be added in any order; they are sorted
// by their times.
func (c *Checker) Add(e Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
}

// Events returns the trace in order of time.
func (c *Checker) Events() []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	sorted := slices.Clone(c.events)
	starts := map[runKey]bool{}
	for _, e := range sorted {
		if e.kind == runStarted {
			starts[e.runKey()] = true
		}
	}
	slices.SortStableFunc(sorted, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.rank(starts), b.rank(starts)))
	})
	return sorted
}

// Violations returns every breach of every rule in a trace that ends at now.
func (c *Checker) Violations(now clock.Millis) []Violation {
	rules := c.rules()
	var found []Violation
	for _, e := range c.Events() {
		for _, r := range rules {
			found = append(found, r.observe(e)...)
		}
	}
	for _, r := range rules {
		found = append(found, r.finish(now)...)
	}
	return found
}

func (c *Checker) rules() []rule {
	return []rule{
		newCapacityRule(),
		newExclusiveRule(),
		newResumeRule(),
		newDrainRule(c.bounds.drain),
		newAnswerRule(),
		newNoRunRule(),
		newAtMostOnceRule(),
		newLeavingRule(c.bounds.leaving),
		newShutdownRule(),
		newConfigRule(c.bounds.config),
	}
}

// Rule returns the rule's name as listed in the package documentation.
func (v Violation) Rule() string { return v.rule }

// Task returns the task that broke the rule, or "" if the violation concerns none.
func (v Violation) Task() string { return v.task }

// Worker returns the worker on which the rule was broken, or "" if the violation concerns
// none.
func (v Violation) Worker() string { return v.worker }

// At returns the time of the event that broke the rule.
func (v Violation) At() clock.Millis { return v.at }

// String returns the rule, the time and a description of what happened.
func (v Violation) String() string { return fmt.Sprintf("%s: at %d: %s", v.rule, v.at, v.text) }

func newViolation(name string, e Event, format string, args ...any) []Violation {
	return []Violation{{rule: name, at: e.at, task: e.incarnation.Task, worker: e.worker, text: fmt.Sprintf(format, args...)}}
}
