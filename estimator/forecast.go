package estimator

import (
	"cmp"

	"galenawharf.example/galenawharf/clock"
)

// Forecast tells how long tasks of a family are going to run. The zero Forecast returns the declared
// run times.
type Forecast struct {
	ratio float64
	time  clock.Millis
}

const (
	// ratioUnit is the resolution of ratios of actual to declared run times.
	ratioUnit = 1000
	// The spread of run times is the ratio of these quantiles.
	spreadLow, spreadHigh = 0.1, 0.9
)

// RanDeclared records the run time of a task and its ratio to the declared one.
func (e *Estimator) RanDeclared(now clock.Millis, name string, declared, d clock.Millis) {
	e.Ran(now, name, d)
	if declared > 0 {
		e.familyOf(now, name).ratio.add(e.weight(now), max(int64(d)*ratioUnit/int64(declared), 1))
	}
}

// Forecast returns the forecast of the quantile q of the run times of a family: from the ratios to the
// declared run times or from the run times, whichever have the smaller spread, and from the ratios if
// both have the same.
func (e *Estimator) Forecast(now clock.Millis, name string, q float64) Forecast {
	f := e.families[name]
	if f == nil {
		return Forecast{}
	}
	minWeight := e.minEvidence * e.weight(now)
	byRatio, byTime := f.ratio.weight >= minWeight, f.runTime.weight >= minWeight
	switch {
	case byRatio && (!byTime || f.ratio.spread() <= f.runTime.spread()):
		return Forecast{ratio: float64(f.ratio.quantile(q)) / ratioUnit}
	case byTime:
		return Forecast{time: clock.Millis(f.runTime.quantile(q))}
	default:
		return Forecast{}
	}
}

// RunTime returns the forecast for a task with a declared run time, 0 if neither is known.
func (f Forecast) RunTime(declared clock.Millis) clock.Millis {
	if f.ratio > 0 && declared > 0 {
		return clock.Millis(f.ratio * float64(declared))
	}
	return cmp.Or(f.time, declared)
}

// spread returns how far apart the values are.
func (h *histogram) spread() float64 {
	return float64(h.quantile(spreadHigh)) / float64(max(h.quantile(spreadLow), 1))
}
