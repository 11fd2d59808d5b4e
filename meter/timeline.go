package meter

import "galenawharf.example/galenawharf/clock"

type (
	// timeline gives the time of a stream's records. Writers' clocks differ
	// and may step, but the stream's time never runs backwards over a small
	// step, and follows a large one only where several records agree on it.
	timeline struct {
		last      clock.Millis
		candidate clock.Millis
		agreeing  int
	}
)

const (
	// maxStep is the largest step between two records that is taken at once.
	maxStep = clock.Day
	// stepAgreement is the number of records in a row that make a large
	// step true.
	stepAgreement = 3
)

// at gives the stream's time for a record that its writer's clock puts at t,
// and whether that clock was in line.
func (l *timeline) at(t clock.Millis) (clock.Millis, bool) {
	if l.last == 0 || near(t, l.last) {
		l.agreeing = 0
		l.last = max(l.last, t)
		return l.last, true
	}
	if l.agreeing > 0 && near(t, l.candidate) {
		l.agreeing++
	} else {
		l.agreeing = 1
	}
	l.candidate = t
	if l.agreeing >= stepAgreement {
		l.agreeing = 0
		l.last = t
	}
	return l.last, false
}

func near(a, b clock.Millis) bool {
	d := a.Sub(b)
	return d >= -maxStep && d <= maxStep
}
