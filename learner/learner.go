// Package learner learns how much classes of work on the same worker slow each other
// down. For each victim class it estimates the effect of each aggressor class, depending on
// the worker's load, and the uncertainty of the estimate.
package learner

import (
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Learner keeps a Kalman filter for each victim class. It is not safe for concurrent
	// use.
	Learner struct {
		ids     map[string]int
		filters []*filter
		// timelines holds the recent runs on each worker.
		timelines map[string]*Timeline
		noise     float64
		drift     float64
		retention clock.Millis
	}

	// Option configures a Learner.
	Option func(*Learner)

	// Effect is the slowdown that an aggressor class causes to a victim class if it uses
	// all processors of the worker, with the uncertainty of the estimate. If it uses a
	// fraction of the processors, it causes that fraction of the slowdown.
	Effect struct {
		mean      float64
		deviation float64
	}
)

const (
	// MaxClasses is the number of classes that are distinguished. All classes after the
	// first MaxClasses-1 share the last number.
	MaxClasses = 24

	// defaultNoise is the standard deviation of an observed slowdown.
	defaultNoise = 0.15
	// defaultDrift is in units of variance per millisecond.
	defaultDrift     = 2e-6
	defaultRetention = 10 * clock.Minute

	effectPriorMean      = 0.3
	effectPriorDeviation = 1.0
	// referenceLoad is the load at which the effect of a class equals its first coefficient
	// in the filter.
	referenceLoad = 0.5
	// overloadThreshold is the load above which overload slows all classes further.
	overloadThreshold = 0.9
)

// New returns a Learner without observations.
func New(opts ...Option) (*Learner, error) {
	l := &Learner{ids: map[string]int{}, timelines: map[string]*Timeline{}, noise: defaultNoise, drift: defaultDrift, retention: defaultRetention}
	for _, o := range opts {
		o(l)
	}
	if l.noise <= 0 || l.drift < 0 || l.retention < 1 {
		return nil, errors.New("learner.New: noise and retention must be positive, drift not negative")
	}
	return l, nil
}

// WithNoise sets the standard deviation of an observed slowdown.
func WithNoise(deviation float64) Option { return func(l *Learner) { l.noise = deviation } }

// WithDrift sets the process noise: by how much variance per millisecond the uncertainty
// grows.
func WithDrift(variance float64) Option { return func(l *Learner) { l.drift = variance } }

// WithRetention sets how long runs that ended are kept to attribute late samples.
func WithRetention(d clock.Millis) Option { return func(l *Learner) { l.retention = d } }

// Class returns the number of a class, below MaxClasses. A new name gets the next number.
func (l *Learner) Class(name string) int {
	if id, known := l.ids[name]; known {
		return id
	}
	id := min(len(l.ids), MaxClasses-1)
	l.ids[name] = id
	for len(l.filters) <= id {
		l.filters = append(l.filters, newFilter())
	}
	return id
}

// Effect returns the effect of the aggressor class on the victim class. load is the
// fraction of the worker's processors in use.
func (l *Learner) Effect(victim, aggressor int, load float64) Effect {
	return l.filters[victim].effect(aggressor, load-referenceLoad)
}

// KnownWithin reports whether the standard deviation of an effect at referenceLoad is at
// most deviation.
func (l *Learner) KnownWithin(victim, aggressor int, deviation float64) bool {
	return l.Effect(victim, aggressor, referenceLoad).deviation <= deviation
}

// Observe learns from one observed slowdown, 0 for none, 1 for twice the run time. mix is
// the fraction of the worker's processors that each class used beside the victim.
func (l *Learner) Observe(now clock.Millis, victim int, mix []float64, load, slowdown float64) {
	f := l.filters[victim]
	f.addProcessNoise(float64(now)*l.drift, l.drift > 0)
	f.update(nonzeroFeatures(mix, load), slowdown, l.noise*l.noise)
}

// Mean returns the expected effect, at least 0.
func (e Effect) Mean() float64 { return max(e.mean, 0) }

// UpperBound returns the mean plus a number of standard deviations, at least 0.
func (e Effect) UpperBound(deviations float64) float64 { return max(e.mean+deviations*e.deviation, 0) }

// Deviation returns the standard deviation of the estimate.
func (e Effect) Deviation() float64 { return e.deviation }

// NewEffect returns an effect with a mean and a standard deviation.
func NewEffect(mean, deviation float64) Effect { return Effect{mean: mean, deviation: deviation} }
