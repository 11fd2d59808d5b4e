package scheduler

import (
	"math"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// harmonic is a Kalman filter for a signal that is a mean plus an oscillation of a
	// known period. Readings of the signal are reduced by a loss: the shares of several
	// causes times their weights, which are estimated elsewhere.
	//
	// The readings and the shares are fitted separately, with the same gains. As the
	// filter is linear, the fit of the signal is that of the readings plus the weights
	// times those of the shares, also when the weights have changed since.
	harmonic struct {
		// state is the fit of the readings: the coefficients of the constant, cosine and
		// sine terms.
		state      [3]float64
		covariance [3][3]float64
		// shareStates are the fits of the shares, by the index of the cause.
		shareStates [][3]float64
	}

	// reading is a reading of the signal.
	reading struct {
		// value is what was read, without the loss, and noise the variance of its error.
		value, noise float64
		// shares and weights are by the index of the cause. loss is their product and
		// lossVariance its variance, as far as the fits of the shares don't explain it.
		shares, weights    []float64
		loss, lossVariance float64
	}
)

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

func dot(a, b [3]float64) float64 { return a[0]*b[0] + a[1]*b[1] + a[2]*b[2] }

// value returns the fitted signal.
func (h *harmonic) value(x [3]float64, weights []float64) float64 {
	v := dot(h.state, x)
	for i, c := range h.shareStates {
		v += weights[i] * dot(c, x)
	}
	return v
}

// variance returns the variance of value for known weights, and the covariance times x:
// the Kalman gain before the division by the innovation variance.
func (h *harmonic) variance(x [3]float64) (variance float64, gain [3]float64) {
	for k := range gain {
		gain[k] = dot(h.covariance[k], x)
	}
	return dot(gain, x), gain
}

// shareResiduals returns the parts of the shares that their fits don't explain.
func (h *harmonic) shareResiduals(x [3]float64, shares []float64) []float64 {
	residuals := slices.Clone(shares)
	for i, c := range h.shareStates {
		residuals[i] -= dot(c, x)
	}
	return residuals
}

// update applies a reading, elapsed seconds after the previous one. It returns the
// squared error divided by its expected variance, capped for outliers.
func (h *harmonic) update(x [3]float64, elapsed float64, r reading) float64 {
	for k := range h.state {
		h.covariance[k][k] += harmonicDrift * elapsed
	}
	for len(h.shareStates) < len(r.shares) {
		h.shareStates = append(h.shareStates, [3]float64{})
	}
	variance, gain := h.variance(x)
	expected := variance + r.noise + r.lossVariance
	residual := r.value + r.loss - h.value(x, r.weights)
	// The fits are for known weights, so lossVariance has no part in their gain.
	innovationVariance := robustVariance(residual, expected) - r.lossVariance
	for k := range gain {
		gain[k] /= innovationVariance
	}
	h.state = addScaled(h.state, gain, r.value-dot(h.state, x))
	for i, c := range h.shareStates {
		h.shareStates[i] = addScaled(c, gain, r.shares[i]-dot(c, x))
	}
	for k := range gain {
		for l := range gain {
			h.covariance[k][l] -= gain[k] * gain[l] * innovationVariance
		}
	}
	return math.Min(residual*residual/expected, outlierDeviations*outlierDeviations)
}

// addScaled returns a plus scale times b.
func addScaled(a, b [3]float64, scale float64) [3]float64 {
	return [3]float64{a[0] + scale*b[0], a[1] + scale*b[1], a[2] + scale*b[2]}
}

// robustVariance returns the variance to use for a residual. It grows with outliers, so
// that they are weighted down.
func robustVariance(residual, variance float64) float64 {
	return variance * math.Max(1, residual*residual/(variance*outlierDeviations*outlierDeviations))
}
