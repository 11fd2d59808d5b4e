package estimator

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestForecast guards against forecasts from declarations that say nothing of a queue, and against
// those from run times where the declared ones tell tasks apart.
func TestForecast(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	random := func() clock.Millis { return 100 + clock.Millis(r.Int64N(5000)) }
	tests := map[string]struct {
		runs     int
		declared func() clock.Millis
		actual   func(declared clock.Millis) clock.Millis
		min, max clock.Millis
	}{
		"too few runs":      {runs: 19, declared: random, actual: func(d clock.Millis) clock.Millis { return 3 * d }, min: 2000, max: 2000},
		"declared is short": {runs: 40, declared: random, actual: func(d clock.Millis) clock.Millis { return 3 * d / 2 }, min: 2900, max: 3300},
		"declared at random": {
			runs: 40, declared: random, min: 1000, max: 1200,
			actual: func(clock.Millis) clock.Millis { return 900 + clock.Millis(r.Int64N(200)) },
		},
		"not declared": {runs: 40, declared: func() clock.Millis { return 0 }, actual: func(clock.Millis) clock.Millis { return 700 }, min: 700, max: 770},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEstimator(t, WithMinEvidence(20))
			for range tt.runs {
				d := tt.declared()
				e.RanDeclared(1000, "queue", d, tt.actual(d))
			}
			must.Between(t, tt.min, e.Forecast(1000, "queue", 0.8).RunTime(2000), tt.max)
		})
	}
}
