package checker

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// capacityRule reports a worker whose runs together need more than its processors,
	// memory or accelerators, and a run on a worker that was never added.
	capacityRule struct {
		capacities map[string]sizer.Size
		running    map[string]map[provider.Incarnation]sizer.Size
	}
)

func newCapacityRule() *capacityRule {
	return &capacityRule{capacities: map[string]sizer.Size{}, running: map[string]map[provider.Incarnation]sizer.Size{}}
}

func (c *capacityRule) observe(e Event) []Violation {
	switch e.kind {
	case workerAdded:
		c.capacities[e.worker] = e.size
		c.running[e.worker] = map[provider.Incarnation]sizer.Size{}
	case runEnded:
		delete(c.running[e.worker], e.incarnation)
	case runStarted:
		return c.start(e)
	}
	return nil
}

func (c *capacityRule) start(e Event) []Violation {
	if c.running[e.worker] == nil {
		return newViolation("capacity", e, "%s started on unknown worker %s", e.incarnation, e.worker)
	}
	c.running[e.worker][e.incarnation] = e.size
	var sum sizer.Size
	for _, s := range c.running[e.worker] {
		sum = sum.Add(s)
	}
	if !sum.Fits(c.capacities[e.worker]) {
		return newViolation("capacity", e, "the runs on %s need %v, more than its capacity %v, after the start of %s", e.worker, sum, c.capacities[e.worker], e.incarnation)
	}
	return nil
}

func (c *capacityRule) finish(clock.Millis) []Violation { return nil }
