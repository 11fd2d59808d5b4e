package checker

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// capacity: no worker runs more than its processors, memory and
	// accelerators can hold.
	capacity struct {
		capacities map[string]sizer.Size
		running    map[string]map[provider.Incarnation]sizer.Size
	}
)

func newCapacity() *capacity {
	return &capacity{capacities: map[string]sizer.Size{}, running: map[string]map[provider.Incarnation]sizer.Size{}}
}

func (c *capacity) see(e Event) []Violation {
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

func (c *capacity) start(e Event) []Violation {
	if c.running[e.worker] == nil {
		return broken("capacity", e, "%s started on %s, which is not known", e.incarnation, e.worker)
	}
	c.running[e.worker][e.incarnation] = e.size
	var sum sizer.Size
	for _, s := range c.running[e.worker] {
		sum = sum.Add(s)
	}
	if !sum.Fits(c.capacities[e.worker]) {
		return broken("capacity", e, "%s holds %v of %v with %s", e.worker, sum, c.capacities[e.worker], e.incarnation)
	}
	return nil
}

func (c *capacity) end(clock.Millis) []Violation { return nil }
