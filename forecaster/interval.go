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
	// priorError stands beside the errors of past forecasts.
	priorError = 0.02
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
				count(b.actual, p.team, name, dc, p.held[dc][d].vector().scaled(rates(dc)))
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

// half gives half the width of the band around what works are still expected to
// cost: what past forecasts were off by at most, in as many cases as the band is
// to hold. Each past error counts at the present cost of its work, so that spans
// with other work in them can be compared. For the whole, work that was not known
// of then counts too.
func (e errors) half(open map[string]float64, whole bool) float64 {
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(open)) {
		total += open[name]
	}
	var offs []float64
	for _, l := range e.looks {
		off := l.off(open)
		if whole {
			off += total * l.unknown()
		}
		offs = append(offs, math.Abs(off))
	}
	return bound(offs, total)
}

// spread gives half the width of the band around what is still expected of a
// group, as a share of it.
func (e errors) spread(g group) float64 {
	var offs []float64
	for _, l := range e.looks {
		if expected, actual := l.expected[g], l.actual[g]; expected > 0 {
			offs = append(offs, math.Abs(off(expected, actual)))
		}
	}
	return bound(offs, 1)
}

// bound gives what errors stay under in as many cases as the band is to hold,
// of a cost. The next case stands beside those that were seen, as one more.
func bound(offs []float64, cost float64) float64 {
	if len(offs) == 0 {
		return unknownError * cost
	}
	offs = append(offs, priorError*cost)
	slices.Sort(offs)
	n := float64(len(offs))
	return stat.Quantile(min(1, (2*upper-1)*(n+1)/n), stat.LinInterp, offs, nil)
}

// off gives what costs would be off by now if each work were off as it was then.
func (l lookBack) off(open map[string]float64) float64 {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(open)) {
		g := group{pricer.ByWork, name}
		if expected := l.expected[g]; expected > 0 {
			sum += open[name] * off(expected, l.actual[g])
		}
	}
	return sum
}

// unknown gives the cost of work that was not expected at all, as a share of
// what was.
func (l lookBack) unknown() float64 {
	if l.expected[group{}] == 0 {
		return 0
	}
	var costs []float64
	for g, actual := range l.actual {
		if g.by == pricer.ByWork && l.expected[g] == 0 {
			costs = append(costs, actual)
		}
	}
	// Sums of floating point numbers depend on their order.
	slices.Sort(costs)
	return floats.Sum(costs) / l.expected[group{}]
}

// off gives an error as a share of what was expected, at most all of it.
func off(expected, actual float64) float64 {
	return max(-1, min(1, (actual-expected)/expected))
}
