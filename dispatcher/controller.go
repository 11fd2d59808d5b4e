package dispatcher

import (
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/ejector"
	"galenawharf.example/galenawharf/router"
)

type (
	// controller ejects failing executors and readmits them. It runs in one goroutine;
	// only trigger may be called from others.
	controller struct {
		now          func() clock.Millis
		snapshot     func() *snapshot
		calls        *callCache
		policy       policy
		triggers     chan struct{}
		ejectors     map[string]*ejector.Ejector
		lastProgress map[*router.Target]progress
	}

	// progress is the answer count of an executor, and when it last changed.
	progress struct {
		answers int64
		at      clock.Millis
	}
)

const (
	controlPeriod = 250 * time.Millisecond
	// After driftAfter without an answer, the latency estimate of an idle executor moves
	// towards the mean of the service. Otherwise an executor that was slow once might never
	// be picked again.
	driftAfter = clock.Second
	// An executor whose answer announced that it is leaving is readmitted after
	// readmitAfter, unless the platform lists it as leaving.
	readmitAfter = 30 * clock.Second
)

func newController(now func() clock.Millis, s func() *snapshot, c *callCache, p policy) *controller {
	return &controller{
		now:          now,
		snapshot:     s,
		calls:        c,
		policy:       p,
		triggers:     make(chan struct{}, 1),
		ejectors:     map[string]*ejector.Ejector{},
		lastProgress: map[*router.Target]progress{},
	}
}

// trigger requests a step before the next tick, because an executor failed several times
// in a row.
func (c *controller) trigger() {
	select {
	case c.triggers <- struct{}{}:
	default:
	}
}

// run steps the controller until stop is closed.
func (c *controller) run(stop <-chan struct{}) {
	ticker := time.NewTicker(controlPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.step()
		case <-c.triggers:
			c.step()
		case <-stop:
			return
		}
	}
}

func (c *controller) step() {
	c.calls.rotate()
	routes := c.snapshot().routes
	current := make(map[*router.Target]progress, len(c.lastProgress))
	for name, r := range routes {
		c.updateTargets(r, current)
		c.eject(name, r)
		r.updateSlots()
	}
	c.lastProgress = current
	for name := range c.ejectors {
		if routes[name] == nil {
			delete(c.ejectors, name)
		}
	}
}

// updateTargets moves the latency estimates of idle executors towards the mean of the
// service, and readmits executors that reported readmitAfter ago that they were leaving. It
// stores the progress of each executor in current.
func (c *controller) updateTargets(r *route, current map[*router.Target]progress) {
	now := c.now()
	for _, t := range r.pool.Targets() {
		p, known := c.lastProgress[t]
		if !known || p.answers != t.Answers() {
			p = progress{answers: t.Answers(), at: now}
		}
		if now-p.at >= driftAfter && t.InFlight() == 0 {
			t.DecayLatency(r.latency.Mean())
		}
		if t.Leaving() && now-t.LeavingSince() >= readmitAfter {
			t.ClearLeaving()
		}
		current[t] = p
	}
}

// eject ejects, probes or readmits executors of a service, as the policy decides from their
// failures and latencies.
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
		applyState(targets[change.Address()], change.State())
	}
}

func applyState(t *router.Target, state string) {
	switch state {
	case ejector.Ejected:
		t.SetMode(router.Closed)
	case ejector.Probing:
		t.ResetStats()
		t.SetMode(router.Probing)
	case ejector.Healthy:
		t.SetMode(router.Open)
	}
}
