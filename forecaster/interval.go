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
		by   pricer.By
		name string
	}

	// backtest is the expected cost of a past span, forecast with the same lead time,
	// and its actual cost.
	backtest struct {
		expected map[group]float64
		actual   map[group]float64
	}

	// backtests holds the results from which bands are computed.
	backtests struct {
		results []backtest
	}
)

const (
	backtestStepDays = 7
	maxBacktests     = 20
	// minHistoryDays is the history that a backtest needs before its first day.
	minHistoryDays = 35
	// priorError is the relative error that is added to those of the backtests, as one
	// more sample.
	priorError = 0.02
	// defaultError is the relative error that is assumed without backtests.
	defaultError = 0.25
	// gapError is the relative error of estimates for hours without records.
	gapError = 0.3
	// upperQuantile is the probability of a cost below the upper end of the band.
	upperQuantile = 0.9
)

// runBacktests makes the forecast of [from, until) for spans in the past, with the same lead
// time and length, and pairs it with the actual cost.
func runBacktests(h *history, s *declarer.State, t *pricer.Table, from, until clock.Millis) backtests {
	leadDays := int((from - h.until) / clock.Day)
	spanDays := max(1, int((until-from+clock.Day-1)/clock.Day))
	var e backtests
	for knownDays := len(h.days) - leadDays - spanDays; knownDays >= minHistoryDays && len(e.results) < maxBacktests; knownDays -= backtestStepDays {
		e.results = append(e.results, runBacktest(h, s, t, knownDays, knownDays+leadDays, knownDays+leadDays+spanDays))
	}
	return e
}

func runBacktest(h *history, s *declarer.State, t *pricer.Table, knownDays, first, end int) backtest {
	b := backtest{expected: map[group]float64{}, actual: map[group]float64{}}
	m := newModel(h, knownDays, s, false)
	for d := first; d < end; d++ {
		at := h.days[d]
		rates := ratesOf(t, at)
		m.project(span{dayStart: at, from: at, until: pricer.NextDay(at, h.zone)}, func(w *workload, v vector) {
			for _, dc := range slices.Sorted(maps.Keys(w.shares)) {
				addCosts(b.expected, w.team, w.name, dc, v.scale(w.shares[dc]).mul(rates(dc)))
			}
		})
		for _, name := range h.names() {
			p := h.workloads[name]
			for _, dc := range slices.Sorted(maps.Keys(p.reserved)) {
				addCosts(b.actual, p.team, name, dc, p.reserved[dc][d].vector().mul(rates(dc)))
			}
		}
	}
	return b
}

func addCosts(sums map[group]float64, team, work, dataCentre string, costs vector) {
	total := 0.0
	for r, c := range costs {
		total += c
		if c != 0 {
			sums[group{pricer.ByResource, pricer.Resource(r).String()}] += c
		}
	}
	sums[group{}] += total
	sums[group{pricer.ByTeam, team}] += total
	sums[group{pricer.ByWork, work}] += total
	sums[group{pricer.ByDataCentre, dataCentre}] += total
}

// ratesOf returns a function that returns the prices in a data centre at a time, in the
// smallest unit of the currency per unit of meter.Amounts.
func ratesOf(t *pricer.Table, at clock.Millis) func(dataCentre string) vector {
	cache := map[string]vector{}
	return func(dc string) vector {
		if v, found := cache[dc]; found {
			return v
		}
		var v vector
		for r := range pricer.Resources {
			if p, found := t.At(dc, r, at); found {
				v[r] = float64(p.HourlyMillionths()) / 1e6 / float64(r.UnitHour())
			}
		}
		cache[dc] = v
		return v
	}
}

// halfWidth returns half the width of the band around the open costs by workload: a quantile
// of the errors of the backtests. The relative error of each workload is applied to its
// present cost, so that backtests with other workloads can be compared. With
// withUnexpected, which is set for the total, the cost of workloads that a backtest did not
// expect counts too.
func (e backtests) halfWidth(open map[string]float64, withUnexpected bool) float64 {
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(open)) {
		total += open[name]
	}
	var costErrors []float64
	for _, l := range e.results {
		costError := l.costError(open)
		if withUnexpected {
			costError += total * l.unexpectedShare()
		}
		costErrors = append(costErrors, math.Abs(costError))
	}
	return errorQuantile(costErrors, total)
}

// relativeHalfWidth returns half the width of the band of a group, relative to its open
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

// errorQuantile returns the absolute error that the band allows for, given a sample of such
// errors for an open cost. The factor (n+1)/n counts the coming forecast as one more case, as
// in split conformal prediction.
func errorQuantile(sample []float64, cost float64) float64 {
	if len(sample) == 0 {
		return defaultError * cost
	}
	sample = append(sample, priorError*cost)
	slices.Sort(sample)
	n := float64(len(sample))
	return stat.Quantile(min(1, (2*upperQuantile-1)*(n+1)/n), stat.LinInterp, sample, nil)
}

// costError returns the error of the open costs if each workload had the same relative error
// as in the backtest.
func (l backtest) costError(open map[string]float64) float64 {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(open)) {
		g := group{pricer.ByWork, name}
		if expected := l.expected[g]; expected > 0 {
			sum += open[name] * relativeError(expected, l.actual[g])
		}
	}
	return sum
}

// unexpectedShare returns the actual cost of workloads that were not expected at all,
// relative to the expected total.
func (l backtest) unexpectedShare() float64 {
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

// relativeError returns the error relative to the expected cost, limited to [-1, 1].
func relativeError(expected, actual float64) float64 {
	return max(-1, min(1, (actual-expected)/expected))
}
