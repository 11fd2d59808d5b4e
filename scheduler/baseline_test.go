package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// fillerNames and fillerWeights are the filler images of fitWeights and their weights.
var (
	fillerNames   = []string{"a", "b", "c", "d"}
	fillerWeights = map[string]float64{"a": 0.8, "b": 1.5, "c": 9, "d": 16}
)

// TestBaselinePrediction checks the predicted headroom of periodic loads against the
// margins that pacingHeadroom and placementHeadroom leave for prediction errors: the
// former must cover 95% of the errors, the latter all of them.
func TestBaselinePrediction(t *testing.T) {
	tests := map[string]struct {
		mean, amplitude float64
		period          clock.Millis
	}{
		"period of 7 s":  {mean: 2.6, amplitude: 0.9, period: 7 * clock.Second},
		"period of 10 s": {mean: 2.6, amplitude: 0.9, period: 10 * clock.Second},
		"period of 14 s": {mean: 2.6, amplitude: 0.9, period: 14 * clock.Second},
		"period of 25 s": {mean: 2.6, amplitude: 0.9, period: 25 * clock.Second},
		"constant load":  {mean: 2.2, period: 10 * clock.Second},
		"light load":     {mean: 3.4, amplitude: 0.4, period: 12 * clock.Second},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			const steps, readings = 6, 10
			r := rand.New(rand.NewPCG(1, 2))
			selector := newPeriodSelector()
			var bs []*baseline
			var phases []float64
			for range steps {
				bs = append(bs, newBaseline(selector, newSensitivity()))
				phases = append(phases, r.Float64()*2*math.Pi)
			}
			trueHeadroom := func(i int, at clock.Millis) float64 {
				return c.mean + c.amplitude*math.Sin(2*math.Pi*float64(at)/float64(c.period)+phases[i])
			}
			predictions, withinMargin, largestError := 0, 0, 0.0
			for at := clock.Millis(1_000_000); at < 1_060_000; at += 500 {
				for i, b := range bs {
					for range readings {
						h := trueHeadroom(i, at) * (1 + 0.1*r.NormFloat64())
						b.update(at, reading{value: h, noise: 0.01 * h * h})
					}
					if at > 1_030_000 {
						predictions++
						if math.Abs(b.predict(at+pacingHorizon)-trueHeadroom(i, at+pacingHorizon)) <= pacingHeadroom-1 {
							withinMargin++
						}
						largestError = max(largestError, math.Abs(b.predict(at+placementHorizon)-trueHeadroom(i, at+placementHorizon)))
					}
				}
			}
			must.GreaterEq(t, 0.95, float64(withinMargin)/float64(predictions))
			must.LessEq(t, placementHeadroom-1, largestError)
		})
	}
}

// fitWeights returns a sensitivity after 480 readings in 40 s of steps that have a user
// load of their own each. noise is the standard deviation of a reading as a share of it.
func fitWeights(seed uint64, steps int, noise float64) *sensitivity {
	r := rand.New(rand.NewPCG(seed, 4))
	m, selector := newSensitivity(), newPeriodSelector()
	var bs []*baseline
	for range steps {
		bs = append(bs, newBaseline(selector, m))
	}
	for at := clock.Millis(1_000_000); at < 1_040_000; at += 500 {
		for i := range 6 {
			step := i % steps
			headroom := 2.6 + 0.9*math.Sin(2*math.Pi*(float64(at)/10_000+float64(step)/float64(steps)))
			shares := map[string]float64{}
			for _, f := range fillerNames {
				if r.IntN(3) == 0 {
					shares[f] = 0.02 + 0.04*r.Float64()
					headroom -= fillerWeights[f] * shares[f]
				}
			}
			m.update(bs[step], at, max(headroom, 0.2)*(1+noise*r.NormFloat64()), shares)
		}
	}
	return m
}

// TestSensitivityWeights guards against attributing the user load to fillers: the
// estimated weights must be near the true ones although the user load is unknown and
// larger than the effect of the fillers.
func TestSensitivityWeights(t *testing.T) {
	tests := map[string]struct{ seed uint64 }{
		"seed 1": {1}, "seed 3": {3}, "seed 4": {4}, "seed 6": {6}, "seed 8": {8}, "seed 13": {13},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			m := fitWeights(c.seed, 1, 0.08)
			for f, w := range fillerWeights {
				must.Eq(t, w >= harmfulWeight, m.harmful(f), must.Sprint(f, m.weight(f)))
				must.InDelta(t, w, m.weight(f), 0.25*w+0.8, must.Sprint(f))
			}
		})
	}
}

// By the Fisher information, the best unbiased weights miss the tolerance in 0.18% of the
// draws (standard deviations of 0.32, 0.31, 0.29 and 0.28); more than 3 misses in 200
// draws have a probability below 0.1%.
func TestSensitivityWeightErrors(t *testing.T) {
	const draws, most = 200, 3
	misses := 0
	for seed := range uint64(draws) {
		m := fitWeights(seed, 1, 0.08)
		for f, w := range fillerWeights {
			if math.Abs(m.weights[m.index[f]]-w) > 0.25*w+0.8 {
				misses++
			}
		}
	}
	must.LessEq(t, most, misses)
}

// Without noise, only 1.2% (its variance as a share of priorVariance) of the first error
// of a weight, 15 at most, may be left.
func TestBaselineDoesNotBiasWeights(t *testing.T) {
	tests := map[string]struct{ steps int }{"one step": {1}, "three steps": {3}}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				m := fitWeights(seed, c.steps, 0)
				for f, w := range fillerWeights {
					must.InDelta(t, w, m.weights[m.index[f]], 0.2, must.Sprint(f, " of seed ", seed))
				}
			}
		})
	}
}
