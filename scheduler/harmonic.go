package scheduler

import (
	"math"

	"galenawharf.example/galenawharf/clock"
)

// harmonic is a Kalman filter for a signal that is a mean plus an oscillation of a known
// period. Its state is the mean and the coefficients of cosine and sine.
type harmonic struct {
	state      [3]float64
	covariance [3][3]float64
}

const (
	// harmonicDrift is the process noise of each coefficient: the variance, in units of the
	// signal squared, that is added per second. The standard deviation after a minute is
	// thus 0.49, half the amplitude that newBaseline expects of the headroom of a serving
	// task.
	harmonicDrift = 0.004
	// outlierDeviations is the error, in standard deviations, from which a reading is
	// weighted down as an outlier.
	outlierDeviations = 2.5
)

// harmonicBasis returns the values of the constant, cosine and sine terms at a time.
func harmonicBasis(period float64, at clock.Millis) [3]float64 {
	sin, cos := math.Sincos(2 * math.Pi * math.Mod(float64(at), period) / period)
	return [3]float64{1, cos, sin}
}

func (h *harmonic) value(x [3]float64) float64 {
	return h.state[0]*x[0] + h.state[1]*x[1] + h.state[2]*x[2]
}

// predict returns the fitted value, its variance, and the covariance times x: the
// Kalman gain before the division by the innovation variance.
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

// update applies a reading with its variance, elapsed seconds after the previous one. It
// returns the squared error divided by its expected variance, capped for outliers.
func (h *harmonic) update(x [3]float64, elapsed, reading, variance float64) float64 {
	for k := range h.state {
		h.covariance[k][k] += harmonicDrift * elapsed
	}
	value, predictedVariance, gain := h.predict(x)
	residual, innovationVariance := reading-value, predictedVariance+variance
	normalizedError := math.Min(residual*residual/innovationVariance, outlierDeviations*outlierDeviations)
	innovationVariance = robustVariance(residual, innovationVariance)
	for k := range gain {
		h.state[k] += gain[k] / innovationVariance * residual
		for l := range gain {
			h.covariance[k][l] -= gain[k] * gain[l] / innovationVariance
		}
	}
	return normalizedError
}

// robustVariance returns the variance to use for a residual. It grows with outliers, so
// that they are weighted down.
func robustVariance(residual, variance float64) float64 {
	return variance * math.Max(1, residual*residual/(variance*outlierDeviations*outlierDeviations))
}
