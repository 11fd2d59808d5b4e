package scheduler

import (
	"math"

	"galenawharf.example/galenawharf/clock"
)

// periodSelector selects, of the candidate periods, the one whose fits predict the
// headroom of all serving tasks best.
type periodSelector struct {
	// errorScores has, for each candidate period, the decaying sum of the squared errors
	// of its fits, normalized by their expected variance.
	errorScores []float64
	// best is the index of the candidate period with the lowest score.
	best int
	// bases caches the harmonic basis of each candidate period at basesTime.
	bases     [][3]float64
	basesTime clock.Millis
}

const (
	// shortestPeriod and longestPeriod bound the candidate periods, in seconds; each is
	// periodRatio times the one before. The customers' loads have periods of 10 to 14 s.
	shortestPeriod = 5.0
	longestPeriod  = 40.0
	periodRatio    = 1.06
	// defaultPeriod is used until another one fits better, in seconds.
	defaultPeriod = 10.0
	// errorDecay is the factor that each new reading applies to the score. In a large
	// deployment the score thus covers about half a minute of readings.
	errorDecay = 0.99999
	// inheritedPeriodBonus is subtracted from the score of the former leader's period.
	inheritedPeriodBonus = 100.0
)

// candidatePeriods are in milliseconds.
var candidatePeriods = func() []float64 {
	var ps []float64
	for p := shortestPeriod; p <= longestPeriod; p *= periodRatio {
		ps = append(ps, p*float64(clock.Second))
	}
	return ps
}()

func newPeriodSelector() *periodSelector {
	c := &periodSelector{errorScores: make([]float64, len(candidatePeriods))}
	for i, p := range candidatePeriods {
		// A slight preference for defaultPeriod, which a second of readings outweighs.
		c.errorScores[i] = math.Abs(math.Log(p / (defaultPeriod * float64(clock.Second))))
	}
	c.selectBest()
	return c
}

// prefer prefers the period that a former leader has stored, given by its index, until
// several seconds of readings fit another one better.
func (c *periodSelector) prefer(period int) {
	if period >= 0 && period < len(c.errorScores) {
		c.errorScores[period] -= inheritedPeriodBonus
		c.selectBest()
	}
}

// selectBest selects the period with the lowest score.
func (c *periodSelector) selectBest() {
	for i, m := range c.errorScores {
		if m < c.errorScores[c.best] {
			c.best = i
		}
	}
}

// basesAt returns the harmonic bases of all candidate periods at a time. It caches them,
// as many readings have the same time.
func (c *periodSelector) basesAt(at clock.Millis) [][3]float64 {
	if c.bases == nil {
		c.bases = make([][3]float64, len(candidatePeriods))
	}
	if c.basesTime != at {
		c.basesTime = at
		for i, p := range candidatePeriods {
			c.bases[i] = harmonicBasis(p, at)
		}
	}
	return c.bases
}

// addError adds the normalized squared error of a reading to the score of a period.
func (c *periodSelector) addError(period int, normalizedError float64) {
	c.errorScores[period] = errorDecay*c.errorScores[period] + normalizedError
}
