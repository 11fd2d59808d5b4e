// Package checker holds what happened against what must always hold. It reads a
// trace of what workers, executors, callers and operators saw, never what the
// code under test believes, and every rule reads the whole trace.
//
// One rule stands for each point of the brief:
//
//	capacity      no worker runs more than it can hold
//	alone         exclusive work never runs in two places at once
//	resume        evicted work resumes exactly once
//	drain         nothing starts in a data centre that was taken out
//	answer        each request gets its own, whole answer, once
//	not-run       what was said not to have run did not
//	at-most-once  non-idempotent work runs at most once
//	leaving       a leaving backend gets nothing new
//	shutdown      no request in flight is cut off by a shutdown
//	config        an accepted configuration is soon in force and never reverts
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Checker gathers a trace. It is safe for concurrent use.
	Checker struct {
		mu     sync.Mutex
		bounds Bounds
		events []Event
	}

	// Bounds are what "a few seconds" means in the rules.
	Bounds struct {
		drain   clock.Millis
		leaving clock.Millis
		config  clock.Millis
	}

	// Violation is a rule that did not hold.
	Violation struct {
		rule   string
		at     clock.Millis
		text   string
		task   string
		worker string
	}

	// rule watches a trace in the order of time.
	rule interface {
		see(e Event) []Violation
		end(now clock.Millis) []Violation
	}
)

const (
	defaultDrain   = 5 * clock.Second
	defaultLeaving = 5 * clock.Second
	defaultConfig  = 12 * clock.Second
)

// NewBounds sets how long after its acceptance a drain, a leaving backend and
// a configuration may still not be heeded.
func NewBounds(drain, leaving, config clock.Millis) Bounds {
	return Bounds{drain: drain, leaving: leaving, config: config}
}

// New gives a checker with the usual bounds.
func New() *Checker { return NewWithin(NewBounds(defaultDrain, defaultLeaving, defaultConfig)) }

// NewWithin gives a checker with bounds.
func NewWithin(b Bounds) *Checker { return &Checker{bounds: b} }

// Add notes what happened. Events may come in any order; their times count.
func (c *Checker) Add(e Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
}

// Events gives the trace in the order of time.
func (c *Checker) Events() []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	sorted := slices.Clone(c.events)
	brief := map[run]bool{}
	for _, e := range sorted {
		if e.kind == runStarted {
			brief[e.run()] = true
		}
	}
	slices.SortStableFunc(sorted, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.rank(brief), b.rank(brief)))
	})
	return sorted
}

// Violations gives every breach of every rule in the trace up to a moment.
func (c *Checker) Violations(now clock.Millis) []Violation {
	rules := c.rules()
	var found []Violation
	for _, e := range c.Events() {
		for _, r := range rules {
			found = append(found, r.see(e)...)
		}
	}
	for _, r := range rules {
		found = append(found, r.end(now)...)
	}
	return found
}

func (c *Checker) rules() []rule {
	return []rule{
		newCapacity(),
		newAlone(),
		newResume(),
		newDrained(c.bounds.drain),
		newAnswered(),
		newNotRun(),
		newAtMostOnce(),
		newLeaving(c.bounds.leaving),
		newShutdown(),
		newConfig(c.bounds.config),
	}
}

// Rule names the rule.
func (v Violation) Rule() string { return v.rule }

// Task names the work that it is about, where it is about one.
func (v Violation) Task() string { return v.task }

// Worker names the worker that it is about, where it is about one.
func (v Violation) Worker() string { return v.worker }

// At gives when it was broken.
func (v Violation) At() clock.Millis { return v.at }

// String gives rule, time and what was seen.
func (v Violation) String() string { return fmt.Sprintf("%s: at %d: %s", v.rule, v.at, v.text) }

func broken(name string, e Event, format string, args ...any) []Violation {
	return []Violation{{rule: name, at: e.at, task: e.incarnation.Task, worker: e.worker, text: fmt.Sprintf(format, args...)}}
}
