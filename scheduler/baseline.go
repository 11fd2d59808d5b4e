package scheduler

import (
	"math"

	"galenawharf.example/galenawharf/clock"
)

// baseline follows the headroom that the serving tasks of one step would have without
// fillers. The tasks share their users, whose load swings with a period that is not
// known beforehand, so there is a fit for each period of the calendar.
type baseline struct {
	calendar *calendar
	fits     []harmonic
	at       clock.Millis
}

const (
	// idleHeadroom is the headroom of a task without users: objectives are 4.5 times the
	// tail of an idle task, from the users' sheets.
	idleHeadroom = 4.5
	// meanLoad is the mean load of the users of a task, and swingShare how much of it the
	// load swings up and down, from the users' sheets.
	meanLoad   = 0.42
	swingShare = 0.5
	// levelDeviation is how far the mean headroom may be from what follows from them.
	levelDeviation = 0.3
	// gaugeAge is how old a gauge is when it is reported: it covers half a second, and
	// is read at any time of the next one.
	gaugeAge = 400 * clock.Millis(1)
)

func newBaseline(c *calendar) *baseline {
	b := &baseline{calendar: c, fits: make([]harmonic, len(periods))}
	amplitude := idleHeadroom * meanLoad * swingShare
	for i := range b.fits {
		b.fits[i].state[0] = idleHeadroom * (1 - meanLoad)
		b.fits[i].covariance = [3][3]float64{{levelDeviation * levelDeviation}, {0, amplitude * amplitude / 2}, {0, 0, amplitude * amplitude / 2}}
	}
	return b
}

// expect returns the headroom without fillers at a time.
func (b *baseline) expect(at clock.Millis) float64 {
	i := b.calendar.chosen
	return math.Max(b.fits[i].value(phase(periods[i], at)), 0)
}

// variance returns that of the headroom without fillers at a time.
func (b *baseline) variance(at clock.Millis) float64 {
	i := b.calendar.chosen
	_, variance, _ := b.fits[i].predict(phase(periods[i], at))
	return variance
}

// least returns the lower of the headrooms at two times.
func (b *baseline) least(from, to clock.Millis) float64 {
	return math.Min(b.expect(from), b.expect(to))
}

// learn takes in a reading of the headroom without fillers, with its variance.
func (b *baseline) learn(at clock.Millis, headroom, variance float64) {
	elapsed := 0.0
	if b.at != 0 && at > b.at {
		elapsed = float64(at-b.at) / float64(clock.Second)
	}
	b.at = max(at, b.at)
	phases := b.calendar.phasesAt(at)
	for i := range b.fits {
		b.calendar.miss(i, b.fits[i].learn(phases[i], elapsed, headroom, variance))
	}
	b.calendar.choose()
}

// baselineOf returns the baseline of the step of a serving task.
func (s *Scheduler) baselineOf(t *task) *baseline {
	o := t.occurrence
	b := o.baselines[t.step]
	if b == nil {
		if o.baselines == nil {
			o.baselines = map[int]*baseline{}
		}
		b = newBaseline(s.calendar)
		o.baselines[t.step] = b
	}
	return b
}
