package forecaster

import (
	"math"
	"slices"

	"galenawharf.example/galenawharf/pricer"
)

const (
	standingDays = 14
	lookBackDays = 3
	// likeDeclared is how far what is held may be from what is declared, as a
	// share, and still be taken for it.
	likeDeclared = 0.1
)

// standingRate gives what standing work holds in a millisecond: what it
// declares, less what it usually lacks of it. Days on which it held something
// else, since it was declared otherwise or had no room, don't count. Looking
// back, it is what it held on the last days.
func (m *model) standingRate(w *work) vector {
	if !m.trusting {
		return m.meanRate(w, lookBackDays)
	}
	sum, n := 0.0, 0
	for _, r := range m.ratios(w) {
		if math.Abs(r-1) <= likeDeclared {
			sum += r
			n++
		}
	}
	if n == 0 {
		return w.rate
	}
	return w.rate.times(sum / float64(n))
}

// ratios gives what the work held on each of the last days for what it declares.
func (m *model) ratios(w *work) []float64 {
	var ratios []float64
	for d := max(0, m.known-standingDays); d < m.known; d++ {
		held := w.past.total(d)
		if held.isZero() && len(ratios) == 0 {
			continue
		}
		length := float64(pricer.NextDay(m.h.days[d], m.h.zone) - m.h.days[d])
		declared := w.rate.times(length)
		if declared[pricer.Processors] > 0 {
			ratios = append(ratios, held[pricer.Processors]/declared[pricer.Processors])
		}
	}
	// The first day is most often a part of one.
	if len(ratios) > 1 {
		ratios = ratios[1:]
	}
	return ratios
}

func (m *model) meanRate(w *work, days int) vector {
	var sum vector
	length := 0.0
	for d := max(0, m.known-days); d < m.known; d++ {
		sum = sum.plus(w.past.total(d))
		length += float64(pricer.NextDay(m.h.days[d], m.h.zone) - m.h.days[d])
	}
	if length == 0 {
		return vector{}
	}
	return sum.times(1 / length)
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	if n == 0 {
		return 0
	}
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}
