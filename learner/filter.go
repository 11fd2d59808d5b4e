package learner

import "math"

type (
	// filter estimates the coefficients of one victim class by Bayesian linear
	// regression. The state has two coefficients for each aggressor class, which are its
	// effect at referenceLoad and the change of the effect with the load, then one for the
	// overload of the worker, then a constant.
	filter struct {
		mean       [stateSize]float64
		covariance [stateSize][stateSize]float64
		// accumulatedNoise is the process noise up to which the variances were increased.
		accumulatedNoise float64
		initialized      bool
	}

	// feature is a nonzero input of the regression; index is that of its coefficient.
	feature struct {
		index int
		value float64
	}
)

const (
	overloadIndex = 2 * MaxClasses
	constantIndex = overloadIndex + 1
	stateSize     = constantIndex + 1

	// Standard deviations of the coefficients before the first observation.
	constantPriorDeviation = 0.05
	overloadPriorDeviation = 3
)

func newFilter() *filter {
	f := &filter{}
	for i := range f.mean {
		f.covariance[i][i] = priorVariance(i)
	}
	for c := range MaxClasses {
		f.mean[2*c] = effectPriorMean
	}
	return f
}

func priorVariance(i int) float64 {
	switch i {
	case overloadIndex:
		return overloadPriorDeviation * overloadPriorDeviation
	case constantIndex:
		return constantPriorDeviation * constantPriorDeviation
	}
	return effectPriorDeviation * effectPriorDeviation
}

// nonzeroFeatures returns the inputs that are not zero for a mix of classes at a load.
func nonzeroFeatures(mix []float64, load float64) []feature {
	out := make([]feature, 0, 2*len(mix)+2)
	for c, share := range mix {
		if share <= 0 {
			continue
		}
		out = append(out, feature{2 * c, share}, feature{2*c + 1, share * (load - referenceLoad)})
	}
	if load > overloadThreshold {
		out = append(out, feature{overloadIndex, load - overloadThreshold})
	}
	return append(out, feature{constantIndex, 1})
}

// addProcessNoise increases the variances with time, up to the prior variances, so that
// the filter follows changes. accumulated is the process noise since time 0: the time
// multiplied by the drift, in units of variance.
func (f *filter) addProcessNoise(accumulated float64, drifts bool) {
	if !f.initialized {
		f.initialized = true
		f.accumulatedNoise = accumulated
	}
	if !drifts || accumulated <= f.accumulatedNoise {
		return
	}
	for i := range f.covariance {
		f.covariance[i][i] = min(f.covariance[i][i]+accumulated-f.accumulatedNoise, max(priorVariance(i), f.covariance[i][i]))
	}
	f.accumulatedNoise = accumulated
}

// update is a Kalman filter update with one scalar observation. noise is the variance of
// the observation.
func (f *filter) update(x []feature, y, noise float64) {
	var gain [stateSize]float64
	for i := range gain {
		for _, a := range x {
			gain[i] += f.covariance[i][a.index] * a.value
		}
	}
	innovationVariance, innovation := noise, y
	for _, a := range x {
		innovationVariance += a.value * gain[a.index]
		innovation -= a.value * f.mean[a.index]
	}
	for i := range gain {
		if gain[i] == 0 {
			continue
		}
		f.mean[i] += gain[i] / innovationVariance * innovation
		for j := range gain {
			f.covariance[i][j] -= gain[i] * gain[j] / innovationVariance
		}
	}
}

// effect returns the effect of an aggressor class. load is relative to referenceLoad.
func (f *filter) effect(aggressor int, load float64) Effect {
	i := 2 * aggressor
	v := f.covariance[i][i] + 2*load*f.covariance[i][i+1] + load*load*f.covariance[i+1][i+1]
	return Effect{mean: f.mean[i] + load*f.mean[i+1], deviation: math.Sqrt(max(v, 0))}
}
