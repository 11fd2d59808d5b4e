package scheduler

import (
	"math"

	"galenawharf.example/galenawharf/clock"
)

// calendar tells which period fits the load of all users best.
type calendar struct {
	// misfits are sums of the squared errors of the fits in multiples of what they
	// expect, one for each of periods.
	misfits []float64
	// chosen is the index of the lowest.
	chosen int
	// phases are those of all periods at a time.
	phases [][3]float64
	at     clock.Millis
}

const (
	// shortestPeriod and longestPeriod bound the periods that are tried, in seconds; each
	// is longer than the one before by periodRatio. The users' loads swing in 10 to 14 s.
	shortestPeriod = 5.0
	longestPeriod  = 40.0
	periodRatio    = 1.06
	// usualPeriod is taken before one fits better than the others.
	usualPeriod = 10.0
	// misfitMemory is the weight of a misfit after the next reading: about half a minute
	// of readings of a large deployment.
	misfitMemory = 0.99999
	// inheritedPreference is what the misfits of the period of a former leader are less.
	inheritedPreference = 100.0
)

// periods are those that are tried, in milliseconds.
var periods = func() []float64 {
	var ps []float64
	for p := shortestPeriod; p <= longestPeriod; p *= periodRatio {
		ps = append(ps, p*float64(clock.Second))
	}
	return ps
}()

func newCalendar() *calendar {
	c := &calendar{misfits: make([]float64, len(periods))}
	for i, p := range periods {
		// A slight preference, which a second of readings outweighs.
		c.misfits[i] = math.Abs(math.Log(p / (usualPeriod * float64(clock.Second))))
	}
	c.choose()
	return c
}

// prefer takes a period that fitted a former leader's readings for the best until the
// readings of some seconds say otherwise.
func (c *calendar) prefer(period int) {
	if period >= 0 && period < len(c.misfits) {
		c.misfits[period] -= inheritedPreference
		c.choose()
	}
}

// choose notes the period that fits best.
func (c *calendar) choose() {
	for i, m := range c.misfits {
		if m < c.misfits[c.chosen] {
			c.chosen = i
		}
	}
}

// phasesAt returns the parts of the fits of all periods at a time. Readings come
// several at a time.
func (c *calendar) phasesAt(at clock.Millis) [][3]float64 {
	if c.phases == nil {
		c.phases = make([][3]float64, len(periods))
	}
	if c.at != at {
		c.at = at
		for i, p := range periods {
			c.phases[i] = phase(p, at)
		}
	}
	return c.phases
}

// miss takes in the misfit of a reading of one period.
func (c *calendar) miss(period int, misfit float64) {
	c.misfits[period] = misfitMemory*c.misfits[period] + misfit
}
