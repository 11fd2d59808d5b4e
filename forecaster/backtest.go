package forecaster

import (
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/pricer"
)

type (
	// group identifies a line of a forecast, or the total if by is "".
	group struct {
		by   pricer.Grouping
		name string
	}

	// backtest holds the expected and actual costs of a past span by group. The expected
	// ones are forecast from the days known as long before the span as the present
	// forecast is made before its own.
	backtest struct {
		expected map[group]float64
		actual   map[group]float64
	}

	// backtests holds the past forecasts from whose errors the width of bands is computed.
	backtests struct {
		results []backtest
	}
)

const (
	backtestStepDays = 7
	maxBacktests     = 20
	// minHistoryDays is how many days must be known to make the forecast of a backtest.
	minHistoryDays = 35
	// priorError is a relative error that is added to the errors of the backtests as one
	// more sample.
	priorError = 0.02
	// defaultError is the relative error that is assumed without backtests.
	defaultError = 0.25
	// gapError is the relative error of estimates for hours without records.
	gapError = 0.3
	// upperQuantile is the probability of a cost below the upper end of the band.
	upperQuantile = 0.9
)

// runBacktests forecasts past spans that are as long as [from, until) and as far ahead of the
// days known for them as from is ahead of the last record. It pairs each forecast with the
// span's actual cost.
func runBacktests(h *history, s *declarer.State, t *pricer.Table, from, until clock.Millis) backtests {
	leadDays := int((from - h.until) / clock.Day)
	spanDays := max(1, int((until-from+clock.Day-1)/clock.Day))
	var e backtests
	for knownDays := len(h.days) - leadDays - spanDays; knownDays >= minHistoryDays && len(e.results) < maxBacktests; knownDays -= backtestStepDays {
		e.results = append(e.results, runBacktest(h, s, t, knownDays, knownDays+leadDays, knownDays+leadDays+spanDays))
	}
	return e
}

// runBacktest forecasts the days [firstDay, endDay) of the history from its first knownDays
// days.
func runBacktest(h *history, s *declarer.State, t *pricer.Table, knownDays, firstDay, endDay int) backtest {
	b := backtest{expected: map[group]float64{}, actual: map[group]float64{}}
	m := newModel(h, knownDays, s, false)
	for d := firstDay; d < endDay; d++ {
		at := h.days[d]
		prices := pricesAt(t, at)
		m.project(span{dayStart: at, from: at, until: pricer.NextDay(at, h.zone)}, func(w *workload, v vector) {
			for _, dc := range slices.Sorted(maps.Keys(w.shares)) {
				addCosts(b.expected, w.team, w.name, dc, v.scale(w.shares[dc]).mul(prices(dc)))
			}
		})
		for _, name := range h.names() {
			p := h.workloads[name]
			for _, dc := range slices.Sorted(maps.Keys(p.reserved)) {
				addCosts(b.actual, p.team, name, dc, p.reserved[dc][d].vector().mul(prices(dc)))
			}
		}
	}
	return b
}

// addCosts adds a workload's costs in a data centre to the sums of each group that includes
// them.
func addCosts(sums map[group]float64, team, workload, dataCentre string, costs vector) {
	total := 0.0
	for r, c := range costs {
		total += c
		if c != 0 {
			sums[group{pricer.ByResource, pricer.Resource(r).String()}] += c
		}
	}
	sums[group{}] += total
	sums[group{pricer.ByTeam, team}] += total
	sums[group{pricer.ByWork, workload}] += total
	sums[group{pricer.ByDataCentre, dataCentre}] += total
}

// pricesAt returns a lookup of the prices at a time by data centre, in the smallest unit of
// the currency per unit of meter.Amounts.
func pricesAt(t *pricer.Table, at clock.Millis) func(dataCentre string) vector {
	cache := map[string]vector{}
	return func(dc string) vector {
		if v, found := cache[dc]; found {
			return v
		}
		var v vector
		for r := range pricer.Resources {
			if p, found := t.PriceAt(dc, r, at); found {
				v[r] = float64(p.HourlyMillionths()) / 1e6 / float64(r.UnitHour())
			}
		}
		cache[dc] = v
		return v
	}
}

// halfWidth returns half the width of the band around the remaining costs by workload, that
// is, the expected costs that are not recorded yet. It is a quantile of the errors that the
// remaining costs would have with the errors of each backtest (see costError). With
// withUnexpected, which is set for the total only, the cost of workloads that a backtest did
// not expect counts as an error too; it belongs to no expected workload.
func (e backtests) halfWidth(remaining map[string]float64, withUnexpected bool) float64 {
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(remaining)) {
		total += remaining[name]
	}
	var costErrors []float64
	for _, l := range e.results {
		costError := l.costError(remaining)
		if withUnexpected {
			costError += total * l.unexpectedRatio()
		}
		costErrors = append(costErrors, math.Abs(costError))
	}
	return errorQuantile(costErrors, total)
}

// relativeHalfWidth returns half the width of the band of a group, relative to its remaining
// cost.
func (e backtests) relativeHalfWidth(g group) float64 {
	var relativeErrors []float64
	for _, l := range e.results {
		if expected, actual := l.expected[g], l.actual[g]; expected > 0 {
			relativeErrors = append(relativeErrors, math.Abs(relativeError(expected, actual)))
		}
	}
	return errorQuantile(relativeErrors, 1)
}

// errorQuantile returns half the width of the band, given the magnitudes of the errors of the
// backtests. cost is the cost to which they refer, 1 if they are relative errors. A symmetric
// band with a probability of upperQuantile below its upper end contains the actual cost with
// a probability of 2*upperQuantile-1. The factor (n+1)/n counts the present forecast as one
// more case, as in split conformal prediction.
func errorQuantile(magnitudes []float64, cost float64) float64 {
	if len(magnitudes) == 0 {
		return defaultError * cost
	}
	magnitudes = append(magnitudes, priorError*cost)
	slices.Sort(magnitudes)
	n := float64(len(magnitudes))
	return stat.Quantile(min(1, (2*upperQuantile-1)*(n+1)/n), stat.LinInterp, magnitudes, nil)
}

// costError returns the error of the remaining costs if each workload had the same relative
// error as in the backtest. Errors are relative because the costs of workloads differ between
// then and now.
func (l backtest) costError(remaining map[string]float64) float64 {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(remaining)) {
		g := group{pricer.ByWork, name}
		if expected := l.expected[g]; expected > 0 {
			sum += remaining[name] * relativeError(expected, l.actual[g])
		}
	}
	return sum
}

// unexpectedRatio returns the actual cost of workloads that were not expected at all,
// relative to the expected total. It may exceed 1.
func (l backtest) unexpectedRatio() float64 {
	if l.expected[group{}] == 0 {
		return 0
	}
	var costs []float64
	for g, actual := range l.actual {
		if g.by == pricer.ByWork && l.expected[g] == 0 {
			costs = append(costs, actual)
		}
	}
	// The map's order is random, and floating-point sums depend on the order.
	slices.Sort(costs)
	return floats.Sum(costs) / l.expected[group{}]
}

// relativeError returns the error of an expected cost, relative to it and limited to [-1, 1].
func relativeError(expected, actual float64) float64 {
	return max(-1, min(1, (actual-expected)/expected))
}
