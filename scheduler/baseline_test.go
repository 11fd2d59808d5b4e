package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
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
				bs = append(bs, newBaseline(selector))
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
						b.update(at, h, 0.01*h*h)
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

// TestSensitivityWeights guards against attributing the user load to fillers: the
// estimated weights must be near the true ones although the user load is unknown and
// larger than the effect of the fillers.
func TestSensitivityWeights(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	weights := map[string]float64{"a": 0.8, "b": 1.5, "c": 9, "d": 16}
	m, b := newSensitivity(), newBaseline(newPeriodSelector())
	for at := clock.Millis(1_000_000); at < 1_040_000; at += 500 {
		for range 6 {
			headroom := 2.6 + 0.9*math.Sin(2*math.Pi*float64(at)/10_000)
			shares := map[string]float64{}
			for _, f := range []string{"a", "b", "c", "d"} {
				if r.IntN(3) == 0 {
					shares[f] = 0.02 + 0.04*r.Float64()
					headroom -= weights[f] * shares[f]
				}
			}
			m.update(b, at, max(headroom, 0.2)*(1+0.08*r.NormFloat64()), shares)
		}
	}
	for f, w := range weights {
		must.Eq(t, w >= harmfulWeight, m.harmful(f), must.Sprint(f, m.weight(f)))
		must.InDelta(t, w, m.weight(f), 0.25*w+0.8, must.Sprint(f))
	}
}
