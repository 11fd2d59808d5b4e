package forecaster

import (
	"math"
	"slices"

	"galenawharf.example/galenawharf/pricer"
)

const (
	ratioDays        = 14
	backtestRateDays = 3
	// maxRatioDeviation is how far the ratio of reserved to declared may be from 1 for
	// the declaration to have been in force on that day.
	maxRatioDeviation = 0.1
)

// longRunningRate returns the expected reservations of a long-running workload per
// millisecond: what it declares, times the mean ratio of reserved to declared. Days with
// another ratio are left out, since it was declared differently or not placed in full. In a
// backtest it returns the mean of the last days.
func (m *model) longRunningRate(w *workload) vector {
	if !m.useDeclarations {
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
// days.
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
	// The workload most often started in the course of its first day.
	if len(ratios) > 1 {
		ratios = ratios[1:]
	}
	return ratios
}

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
