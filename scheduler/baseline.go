package scheduler

import (
	"math"

	"galenawharf.example/galenawharf/clock"
)

// baseline estimates the headroom that the serving tasks of one step would have without
// fillers. The tasks share one user load, which is periodic with an unknown period, so
// there is a harmonic fit for each candidate period.
type baseline struct {
	selector    *periodSelector
	fits        []harmonic
	lastReading clock.Millis
}

const (
	// idleHeadroom is the headroom of a task without load: in the customers'
	// specification objectives are 4.5 times the tail latency of an idle task.
	idleHeadroom = 4.5
	// meanLoad is the mean load of a serving task, and loadSwing the amplitude of its
	// oscillation as a share of meanLoad. Both are from the customers' specification.
	meanLoad  = 0.42
	loadSwing = 0.5
	// headroomDeviation is the prior standard deviation of the mean headroom.
	headroomDeviation = 0.3
	// readingAge is the mean age of a tail latency when it is reported: the worker
	// measures it over half a second and reports it at any time within the next half
	// second.
	readingAge = 400 * clock.Millis(1)
)

func newBaseline(c *periodSelector) *baseline {
	b := &baseline{selector: c, fits: make([]harmonic, len(candidatePeriods))}
	amplitude := idleHeadroom * meanLoad * loadSwing
	for i := range b.fits {
		b.fits[i].state[0] = idleHeadroom * (1 - meanLoad)
		b.fits[i].covariance = [3][3]float64{{headroomDeviation * headroomDeviation}, {0, amplitude * amplitude / 2}, {0, 0, amplitude * amplitude / 2}}
	}
	return b
}

// predict returns the headroom without fillers at a time.
func (b *baseline) predict(at clock.Millis) float64 {
	i := b.selector.best
	return math.Max(b.fits[i].value(harmonicBasis(candidatePeriods[i], at)), 0)
}

// variance returns the variance of predict.
func (b *baseline) variance(at clock.Millis) float64 {
	i := b.selector.best
	_, variance, _ := b.fits[i].predict(harmonicBasis(candidatePeriods[i], at))
	return variance
}

// lowerOf returns the lower of the headrooms predicted for two times.
func (b *baseline) lowerOf(from, to clock.Millis) float64 {
	return math.Min(b.predict(from), b.predict(to))
}

// update applies a headroom that was measured at a time, corrected for the effect of
// fillers, with its variance.
func (b *baseline) update(at clock.Millis, headroom, variance float64) {
	elapsed := 0.0
	if b.lastReading != 0 && at > b.lastReading {
		elapsed = float64(at-b.lastReading) / float64(clock.Second)
	}
	b.lastReading = max(at, b.lastReading)
	bases := b.selector.basesAt(at)
	for i := range b.fits {
		b.selector.addError(i, b.fits[i].update(bases[i], elapsed, headroom, variance))
	}
	b.selector.selectBest()
}

// baselineOf returns the baseline of a serving task's step, which it creates on first
// use.
func (s *Scheduler) baselineOf(t *task) *baseline {
	o := t.occurrence
	b := o.baselines[t.step]
	if b == nil {
		if o.baselines == nil {
			o.baselines = map[int]*baseline{}
		}
		b = newBaseline(s.periodSelector)
		o.baselines[t.step] = b
	}
	return b
}
