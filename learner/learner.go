// Package learner learns how much classes of work on one worker disturb each
// other: per pair of classes, with the worker's load as covariate, and with
// the uncertainty of each estimate.
package learner

import (
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Learner keeps one Kalman filter per class that is disturbed. It is used
	// by one goroutine.
	Learner struct {
		ids       map[string]int
		victims   []*filter
		timelines map[string]*Timeline
		noise     float64
		drift     float64
		keep      clock.Millis
	}

	// Option sets up a Learner.
	Option func(*Learner)

	// Effect is how much of a slowdown a class causes another, for each whole
	// worker's processors that the former uses.
	Effect struct {
		mean      float64
		deviation float64
	}
)

const (
	// MaxClasses is how many classes are told apart; later ones share the
	// last place.
	MaxClasses = 24

	defaultNoise = 0.15
	defaultDrift = 2e-6
	defaultKeep  = 10 * clock.Minute

	priorMean      = 0.3
	priorDeviation = 1.0
	loadMiddle     = 0.5
	overload       = 0.9
)

// New gives a Learner that has seen nothing.
func New(opts ...Option) (*Learner, error) {
	l := &Learner{ids: map[string]int{}, timelines: map[string]*Timeline{}, noise: defaultNoise, drift: defaultDrift, keep: defaultKeep}
	for _, o := range opts {
		o(l)
	}
	if l.noise <= 0 || l.drift < 0 || l.keep < 1 {
		return nil, errors.New("learner.New: noise and keep must be positive, drift not negative")
	}
	return l, nil
}

// WithNoise sets the standard deviation of one observed slowdown.
func WithNoise(deviation float64) Option { return func(l *Learner) { l.noise = deviation } }

// WithDrift sets how fast what is known grows uncertain, as variance per
// millisecond.
func WithDrift(variance float64) Option { return func(l *Learner) { l.drift = variance } }

// WithKeep sets how long it is remembered what ran on a worker.
func WithKeep(d clock.Millis) Option { return func(l *Learner) { l.keep = d } }

// Class gives the number of a class, below MaxClasses.
func (l *Learner) Class(name string) int {
	if id, known := l.ids[name]; known {
		return id
	}
	id := min(len(l.ids), MaxClasses-1)
	l.ids[name] = id
	for len(l.victims) <= id {
		l.victims = append(l.victims, newFilter())
	}
	return id
}

// Effect gives what a class does to another at a load of the worker, the part
// of its processors in use.
func (l *Learner) Effect(victim, aggressor int, load float64) Effect {
	return l.victims[victim].effect(aggressor, load-loadMiddle)
}

// Known tells whether what a class does to another is known better than to
// a deviation.
func (l *Learner) Known(victim, aggressor int, deviation float64) bool {
	return l.Effect(victim, aggressor, loadMiddle).deviation <= deviation
}

// Observe learns from one slowdown: 0 for none, 1 for half the progress. mix is
// the part of the worker's processors that each class beside the victim used.
func (l *Learner) Observe(now clock.Millis, victim int, mix []float64, load, slowdown float64) {
	f := l.victims[victim]
	f.age(float64(now)*l.drift, l.drift > 0)
	f.update(features(mix, load), slowdown, l.noise*l.noise)
}

// Mean gives the expected effect, not below 0.
func (e Effect) Mean() float64 { return max(e.mean, 0) }

// UpperBound gives the effect that is exceeded only where the truth lies more than
// deviations above the mean; not below 0.
func (e Effect) UpperBound(deviations float64) float64 { return max(e.mean+deviations*e.deviation, 0) }

// Deviation gives the standard deviation of what is known.
func (e Effect) Deviation() float64 { return e.deviation }

// NewEffect gives an effect of a mean and a standard deviation.
func NewEffect(mean, deviation float64) Effect { return Effect{mean: mean, deviation: deviation} }
