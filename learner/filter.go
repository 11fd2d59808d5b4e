package learner

import "math"

type (
	// filter estimates the coefficients of one disturbed class: for each class
	// beside it an effect and the effect's growth with the load, then what
	// comes of an overloaded worker, then a constant.
	filter struct {
		mean     [width]float64
		variance [width][width]float64
		aged     float64
		begun    bool
	}

	// feature is one input that is not zero.
	feature struct {
		index int
		value float64
	}
)

const (
	overloadIndex = 2 * MaxClasses
	constantIndex = overloadIndex + 1
	width         = constantIndex + 1

	constantDeviation = 0.05
	overloadDeviation = 3
)

func newFilter() *filter {
	f := &filter{}
	for i := range f.mean {
		f.variance[i][i] = priorVariance(i)
	}
	for c := range MaxClasses {
		f.mean[2*c] = priorMean
	}
	return f
}

func priorVariance(i int) float64 {
	switch i {
	case overloadIndex:
		return overloadDeviation * overloadDeviation
	case constantIndex:
		return constantDeviation * constantDeviation
	}
	return priorDeviation * priorDeviation
}

// features gives the inputs that are not zero.
func features(mix []float64, load float64) []feature {
	out := make([]feature, 0, 2*len(mix)+2)
	for c, part := range mix {
		if part <= 0 {
			continue
		}
		out = append(out, feature{2 * c, part}, feature{2*c + 1, part * (load - loadMiddle)})
	}
	if load > overload {
		out = append(out, feature{overloadIndex, load - overload})
	}
	return append(out, feature{constantIndex, 1})
}

// age lets what is known grow uncertain, up to what it was at first. at is the
// time in units of variance.
func (f *filter) age(at float64, drifts bool) {
	if !f.begun {
		f.begun = true
		f.aged = at
	}
	if !drifts || at <= f.aged {
		return
	}
	for i := range f.variance {
		f.variance[i][i] = min(f.variance[i][i]+at-f.aged, max(priorVariance(i), f.variance[i][i]))
	}
	f.aged = at
}

// update is the step of a Kalman filter for one scalar observation.
func (f *filter) update(x []feature, y, noise float64) {
	var gain [width]float64
	for i := range gain {
		for _, a := range x {
			gain[i] += f.variance[i][a.index] * a.value
		}
	}
	spread, residual := noise, y
	for _, a := range x {
		spread += a.value * gain[a.index]
		residual -= a.value * f.mean[a.index]
	}
	for i := range gain {
		if gain[i] == 0 {
			continue
		}
		f.mean[i] += gain[i] / spread * residual
		for j := range gain {
			f.variance[i][j] -= gain[i] * gain[j] / spread
		}
	}
}

func (f *filter) effect(aggressor int, load float64) Effect {
	i := 2 * aggressor
	v := f.variance[i][i] + 2*load*f.variance[i][i+1] + load*load*f.variance[i+1][i+1]
	return Effect{mean: f.mean[i] + load*f.mean[i+1], deviation: math.Sqrt(max(v, 0))}
}
