package dispatcher

import (
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/ejector"
	"galenawharf.example/galenawharf/router"
)

type (
	// controller ejects executors and brings them back. All but nudge belongs
	// to its one goroutine.
	controller struct {
		now      func() clock.Millis
		snapshot func() *snapshot
		calls    *calls
		policy   policy
		nudges   chan struct{}
		ejectors map[string]*ejector.Ejector
		seen     map[*router.Target]progress
	}

	// progress is when an executor was last seen to answer.
	progress struct {
		answers int64
		at      clock.Millis
	}
)

const (
	controlEvery = 250 * time.Millisecond
	// An executor without answers for driftAfter is taken to be as fast as its
	// peers, little by little.
	driftAfter = clock.Second
	// An executor that said that it is leaving, while the platform's list
	// doesn't, is tried again after returnAfter.
	returnAfter = 30 * clock.Second
)

func newController(now func() clock.Millis, s func() *snapshot, c *calls, p policy) *controller {
	return &controller{
		now:      now,
		snapshot: s,
		calls:    c,
		policy:   p,
		nudges:   make(chan struct{}, 1),
		ejectors: map[string]*ejector.Ejector{},
		seen:     map[*router.Target]progress{},
	}
}

// nudge says that an executor failed several times in a row.
func (c *controller) nudge() {
	select {
	case c.nudges <- struct{}{}:
	default:
	}
}

// run watches the executors until stop is closed.
func (c *controller) run(stop <-chan struct{}) {
	ticker := time.NewTicker(controlEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.step()
		case <-c.nudges:
			c.step()
		case <-stop:
			return
		}
	}
}

func (c *controller) step() {
	c.calls.rotate()
	routes := c.snapshot().routes
	seen := make(map[*router.Target]progress, len(c.seen))
	for name, r := range routes {
		c.drift(r, seen)
		c.eject(name, r)
		r.measure()
	}
	c.seen = seen
	for name := range c.ejectors {
		if routes[name] == nil {
			delete(c.ejectors, name)
		}
	}
}

func (c *controller) drift(r *route, seen map[*router.Target]progress) {
	now := c.now()
	for _, t := range r.pool.Targets() {
		p, known := c.seen[t]
		if !known || p.answers != t.Answers() {
			p = progress{answers: t.Answers(), at: now}
		}
		if now-p.at >= driftAfter && t.InFlight() == 0 {
			t.Drift(r.latency.Mean())
		}
		if t.Leaving() && now-t.LeavingSince() >= returnAfter {
			t.Return()
		}
		seen[t] = p
	}
}

func (c *controller) eject(name string, r *route) {
	e := c.ejectors[name]
	if e == nil {
		e = ejector.New()
		c.ejectors[name] = e
	}
	targets := make(map[string]*router.Target, len(r.pool.Targets()))
	reports := make([]ejector.Report, 0, len(r.pool.Targets()))
	for _, t := range r.pool.Targets() {
		targets[t.Host().Address] = t
		reports = append(reports, ejector.NewReport(t.Host().Address, t.Share(), t.Answers(), t.Failures(), t.Latency()))
	}
	for _, change := range c.policy.eject(e, c.now(), reports) {
		apply(targets[change.Address()], change.State())
	}
}

func apply(t *router.Target, state string) {
	switch state {
	case ejector.Ejected:
		t.SetMode(router.Closed)
	case ejector.Probing:
		t.Forget()
		t.SetMode(router.Probing)
	case ejector.Healthy:
		t.SetMode(router.Open)
	}
}
