package checker

import "galenawharf.example/galenawharf/clock"

type (
	// drained: some seconds after operators took a data centre out, nothing
	// starts there.
	drained struct {
		bound   clock.Millis
		centres map[string]string
		since   map[string]clock.Millis
	}
)

func newDrained(bound clock.Millis) *drained {
	return &drained{bound: bound, centres: map[string]string{}, since: map[string]clock.Millis{}}
}

func (d *drained) see(e Event) []Violation {
	switch e.kind {
	case workerAdded:
		d.centres[e.worker] = e.dataCentre
	case drainAccepted:
		d.since[e.dataCentre] = e.at
	case drainLifted:
		delete(d.since, e.dataCentre)
	case runStarted:
		since, out := d.since[d.centres[e.worker]]
		if out && e.at > since+d.bound {
			return broken("drain", e, "%s started in %s, which is out since %d", e.incarnation, d.centres[e.worker], since)
		}
	}
	return nil
}

func (d *drained) end(clock.Millis) []Violation { return nil }
