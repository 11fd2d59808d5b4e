package scheduler

import (
	"math"

	"galenawharf.example/galenawharf/clock"
)

// harmonic is a mean and an oscillation of one period, followed by a Kalman filter.
type harmonic struct {
	state      [3]float64
	covariance [3][3]float64
}

const (
	// harmonicDrift is the variance that each part of a fit gains in a second: half the
	// swing of the load in a minute.
	harmonicDrift = 0.004
	// outlier is the error, in deviations, from which a reading counts less.
	outlier = 2.5
)

// phase returns the parts of a fit at a time.
func phase(period float64, at clock.Millis) [3]float64 {
	sin, cos := math.Sincos(2 * math.Pi * math.Mod(float64(at), period) / period)
	return [3]float64{1, cos, sin}
}

func (h *harmonic) value(x [3]float64) float64 {
	return h.state[0]*x[0] + h.state[1]*x[1] + h.state[2]*x[2]
}

// predict returns the value of a fit, its variance, and the gain before scaling.
func (h *harmonic) predict(x [3]float64) (value, variance float64, gain [3]float64) {
	value = h.value(x)
	for i := range x {
		for j := range x {
			gain[i] += h.covariance[i][j] * x[j]
		}
		variance += x[i] * gain[i]
	}
	return value, variance, gain
}

// learn takes in a reading with its variance, some seconds after the one before, and
// returns its squared error in multiples of what the fit expects, within bounds.
func (h *harmonic) learn(x [3]float64, elapsed, reading, variance float64) float64 {
	for k := range h.state {
		h.covariance[k][k] += harmonicDrift * elapsed
	}
	value, spread, gain := h.predict(x)
	miss, sum := reading-value, spread+variance
	misfit := math.Min(miss*miss/sum, outlier*outlier)
	sum = discount(miss, sum)
	for k := range gain {
		h.state[k] += gain[k] / sum * miss
		for l := range gain {
			h.covariance[k][l] -= gain[k] * gain[l] / sum
		}
	}
	return misfit
}

// discount returns the variance to reckon with for a reading that is off by so much
// where a variance is expected: more for an outlier.
func discount(miss, variance float64) float64 {
	return variance * math.Max(1, miss*miss/(variance*outlier*outlier))
}
