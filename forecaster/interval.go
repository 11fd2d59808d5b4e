package forecaster

import (
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/pricer"
)

type (
	// group is one line of a forecast, or its whole, where by is "".
	group struct {
		by   pricer.By
		name string
	}

	// lookBack is what a past forecast expected of a span as far ahead, and
	// what became of it, in cost.
	lookBack struct {
		expected map[group]float64
		actual   map[group]float64
	}

	// errors is how far past forecasts were off.
	errors struct {
		looks []lookBack
	}
)

const (
	lookBackStep = 7
	maxLookBacks = 20
	// trainingDays is the history that a forecast needs at least.
	trainingDays = 35
	// priorError and priorWeight stand for past forecasts where there are few.
	priorError  = 0.02
	priorWeight = 1
	// unknownError is the error of what has no past forecast at all.
	unknownError = 0.25
	// gapError is the error of what is taken for hours without records.
	gapError = 0.3
	// upper is the probability that the cost stays under the band's upper end.
	upper = 0.9
)

// errorsOf makes the forecast again for days in the past and compares it with
// what came.
func errorsOf(h *history, s *declarer.State, t *pricer.Table, from, until clock.Millis) errors {
	ahead := int((from - h.until) / clock.Day)
	length := max(1, int((until-from+clock.Day-1)/clock.Day))
	var e errors
	for known := len(h.days) - ahead - length; known >= trainingDays && len(e.looks) < maxLookBacks; known -= lookBackStep {
		e.looks = append(e.looks, look(h, s, t, known, known+ahead, known+ahead+length))
	}
	return e
}

func look(h *history, s *declarer.State, t *pricer.Table, known, first, end int) lookBack {
	b := lookBack{expected: map[group]float64{}, actual: map[group]float64{}}
	m := newModel(h, known, s, false)
	for d := first; d < end; d++ {
		at := h.days[d]
		rates := ratesOf(t, at)
		m.project(span{start: at, from: at, until: pricer.NextDay(at, h.zone)}, func(w *work, v vector) {
			for _, dc := range slices.Sorted(maps.Keys(w.shares)) {
				count(b.expected, w.team, w.name, dc, v.times(w.shares[dc]).scaled(rates(dc)))
			}
		})
		for _, name := range h.names() {
			p := h.works[name]
			for _, dc := range slices.Sorted(maps.Keys(p.held)) {
				count(b.actual, p.team, name, dc, p.held[dc][d].scaled(rates(dc)))
			}
		}
	}
	return b
}

func count(sums map[group]float64, team, work, dataCentre string, costs vector) {
	all := 0.0
	for r, c := range costs {
		all += c
		if c != 0 {
			sums[group{pricer.ByResource, pricer.Resource(r).String()}] += c
		}
	}
	sums[group{}] += all
	sums[group{pricer.ByTeam, team}] += all
	sums[group{pricer.ByWork, work}] += all
	sums[group{pricer.ByDataCentre, dataCentre}] += all
}

// ratesOf gives the prices of a day, in the smallest unit of the currency for
// the units of meter.Amounts.
func ratesOf(t *pricer.Table, at clock.Millis) func(dataCentre string) vector {
	known := map[string]vector{}
	return func(dc string) vector {
		if v, found := known[dc]; found {
			return v
		}
		var v vector
		for r := range pricer.Resources {
			if p, found := t.At(dc, r, at); found {
				v[r] = float64(p.HourlyMillionths()) / 1e6 / float64(r.UnitHour())
			}
		}
		known[dc] = v
		return v
	}
}

// spread gives half the width of the band for a group, as a share of what is
// expected of it: what past forecasts were off by at most, in as many cases as
// the band is to hold.
func (e errors) spread(g group) float64 {
	offs := slices.Repeat([]float64{priorError}, priorWeight)
	for _, l := range e.looks {
		expected, actual := l.expected[g], l.actual[g]
		if expected+actual > 0 {
			offs = append(offs, math.Abs(2*(actual-expected)/(actual+expected)))
		}
	}
	if len(offs) == priorWeight {
		return unknownError
	}
	slices.Sort(offs)
	// The next case stands beside those that were seen, as one more of them.
	n := float64(len(offs))
	return stat.Quantile(min(1, (2*upper-1)*(n+1)/n), stat.LinInterp, offs, nil)
}
