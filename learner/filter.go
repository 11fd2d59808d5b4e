package learner

import "math"

type (
	// filter estimates the coefficients of one victim class by Bayesian linear
	// regression: for each aggressor class its effect and the change of the effect with
	// the load, then the effect of an overloaded worker, then a constant.
	filter struct {
		mean        [stateSize]float64
		variance    [stateSize][stateSize]float64
		agedTo      float64
		initialized bool
	}

	// feature is a nonzero input of the regression.
	feature struct {
		index int
		value float64
	}
)

const (
	overloadIndex = 2 * MaxClasses
	constantIndex = overloadIndex + 1
	stateSize     = constantIndex + 1

	constantPriorDeviation = 0.05
	overloadPriorDeviation = 3
)

func newFilter() *filter {
	f := &filter{}
	for i := range f.mean {
		f.variance[i][i] = priorVariance(i)
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
	for c, part := range mix {
		if part <= 0 {
			continue
		}
		out = append(out, feature{2 * c, part}, feature{2*c + 1, part * (load - referenceLoad)})
	}
	if load > overloadThreshold {
		out = append(out, feature{overloadIndex, load - overloadThreshold})
	}
	return append(out, feature{constantIndex, 1})
}

// addProcessNoise increases the variances with time, up to the prior variances, so that
// the filter follows changes. at is the time multiplied by the drift, in units of
// variance.
func (f *filter) addProcessNoise(at float64, drifts bool) {
	if !f.initialized {
		f.initialized = true
		f.agedTo = at
	}
	if !drifts || at <= f.agedTo {
		return
	}
	for i := range f.variance {
		f.variance[i][i] = min(f.variance[i][i]+at-f.agedTo, max(priorVariance(i), f.variance[i][i]))
	}
	f.agedTo = at
}

// update is a Kalman filter update with one scalar observation. noise is the variance of
// the observation.
func (f *filter) update(x []feature, y, noise float64) {
	var gain [stateSize]float64
	for i := range gain {
		for _, a := range x {
			gain[i] += f.variance[i][a.index] * a.value
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
			f.variance[i][j] -= gain[i] * gain[j] / innovationVariance
		}
	}
}

func (f *filter) effect(aggressor int, load float64) Effect {
	i := 2 * aggressor
	v := f.variance[i][i] + 2*load*f.variance[i][i+1] + load*load*f.variance[i+1][i+1]
	return Effect{mean: f.mean[i] + load*f.mean[i+1], deviation: math.Sqrt(max(v, 0))}
}
