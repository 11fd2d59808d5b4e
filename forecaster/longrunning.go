package forecaster

import (
	"math"
	"slices"

	"galenawharf.example/galenawharf/pricer"
)

const (
	// ratioDays is over how many days the ratio of reserved to declared is taken.
	ratioDays = 14
	// backtestRateDays is over how many days the mean reservations are taken in a
	// backtest, which doesn't use the declared replicas.
	backtestRateDays = 3
	// maxRatioDeviation is how far the ratio of reserved to declared on a day may be from
	// 1. A larger deviation shows that the declaration was not in force, or the workload
	// not placed in full.
	maxRatioDeviation = 0.1
)

// longRunningRate returns the expected reservations of a long-running workload per
// millisecond: what it declares, times the mean ratio of reserved to declared over the last
// days. Days whose ratio is more than maxRatioDeviation from 1 are left out. In a backtest it
// returns the mean reservations of the last days.
func (m *model) longRunningRate(w *workload) vector {
	if !m.isForecast {
		return m.meanRate(w, backtestRateDays)
	}
	sum, n := 0.0, 0
	for _, r := range m.declaredRatios(w) {
		if math.Abs(r-1) <= maxRatioDeviation {
			sum += r
			n++
		}
	}
	if n == 0 {
		return w.declaredRate
	}
	return w.declaredRate.scale(sum / float64(n))
}

// declaredRatios returns the ratio of reserved to declared processors on each of the last
// ratioDays days. Days before its first reservations are left out, and so is the first of the
// remaining days unless it is the only one.
func (m *model) declaredRatios(w *workload) []float64 {
	var ratios []float64
	for d := max(0, m.knownDays-ratioDays); d < m.knownDays; d++ {
		reserved := w.history.total(d)
		if reserved.isZero() && len(ratios) == 0 {
			continue
		}
		length := float64(pricer.NextDay(m.history.days[d], m.history.zone) - m.history.days[d])
		declared := w.declaredRate.scale(length)
		if declared[pricer.Processors] > 0 {
			ratios = append(ratios, reserved[pricer.Processors]/declared[pricer.Processors])
		}
	}
	// The workload usually started in the course of its first day, whose ratio is too low.
	if len(ratios) > 1 {
		ratios = ratios[1:]
	}
	return ratios
}

// meanRate returns the mean reservations of a workload per millisecond over the last known
// days.
func (m *model) meanRate(w *workload, days int) vector {
	var sum vector
	length := 0.0
	for d := max(0, m.knownDays-days); d < m.knownDays; d++ {
		sum = sum.add(w.history.total(d))
		length += float64(pricer.NextDay(m.history.days[d], m.history.zone) - m.history.days[d])
	}
	if length == 0 {
		return vector{}
	}
	return sum.scale(1 / length)
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	if n == 0 {
		return 0
	}
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}
