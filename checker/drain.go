package checker

import "galenawharf.example/galenawharf/clock"

type (
	// drainRule reports runs that start in a data centre later than the bound after
	// operators drained it.
	drainRule struct {
		bound       clock.Millis
		dataCentres map[string]string
		drainedAt   map[string]clock.Millis
	}
)

func newDrainRule(bound clock.Millis) *drainRule {
	return &drainRule{bound: bound, dataCentres: map[string]string{}, drainedAt: map[string]clock.Millis{}}
}

func (d *drainRule) observe(e Event) []Violation {
	switch e.kind {
	case workerAdded:
		d.dataCentres[e.worker] = e.dataCentre
	case drainAccepted:
		d.drainedAt[e.dataCentre] = e.at
	case drainLifted:
		delete(d.drainedAt, e.dataCentre)
	case runStarted:
		since, drained := d.drainedAt[d.dataCentres[e.worker]]
		if drained && e.at > since+d.bound {
			return newViolation("drain", e, "%s started in %s, which was drained at %d", e.incarnation, d.dataCentres[e.worker], since)
		}
	}
	return nil
}

func (d *drainRule) finish(clock.Millis) []Violation { return nil }
