package meter

import "galenawharf.example/galenawharf/clock"

type (
	// streamClock derives the time of a stream from the times that writers stamp on
	// its records. Writers' clocks differ and may step. The stream's time doesn't
	// follow a small step backwards, and follows a step of more than maxStep in either
	// direction only after several consecutive records agree on it.
	streamClock struct {
		// now is the stream's time, 0 before the first record.
		now clock.Millis
		// candidate is the time of the last record if it was a larger step than
		// maxStep, and consecutive the number of records in a row that agreed on it.
		candidate   clock.Millis
		consecutive int
	}
)

const (
	// maxStep is the largest step between two records that is accepted at once.
	maxStep = clock.Day
	// minStepRecords is the number of consecutive records that must agree on a larger
	// step before it is accepted.
	minStepRecords = 3
)

// advance returns the stream's time for a record that its writer stamped with t, and
// reports whether t was within maxStep of the stream's time.
func (l *streamClock) advance(t clock.Millis) (clock.Millis, bool) {
	if l.now == 0 || withinMaxStep(t, l.now) {
		l.consecutive = 0
		l.now = max(l.now, t)
		return l.now, true
	}
	if l.consecutive > 0 && withinMaxStep(t, l.candidate) {
		l.consecutive++
	} else {
		l.consecutive = 1
	}
	l.candidate = t
	if l.consecutive >= minStepRecords {
		l.consecutive = 0
		l.now = t
	}
	return l.now, false
}

func withinMaxStep(a, b clock.Millis) bool {
	d := a.Sub(b)
	return d >= -maxStep && d <= maxStep
}
