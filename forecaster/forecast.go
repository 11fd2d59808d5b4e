package forecaster

import (
	"cmp"
	"math"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Forecast is the expected cost of a month. Its band from P10 to P90 should contain
	// the actual cost with a probability of 80%.
	Forecast struct {
		month     pricer.Month
		madeAt    clock.Millis
		until     clock.Millis
		toDate    *pricer.Bill
		expected  *pricer.Bill
		backtests backtests
		// gapCosts is the estimated cost of past hours without records by group.
		gapCosts map[group]float64
		leftOut  []meter.Fault
	}

	// Line is the cost of one group of a forecast, in the smallest unit of the
	// currency. The expected costs of the lines add up to the total; the ends of the
	// bands don't.
	Line struct {
		name   string
		toDate int64
		p10    int64
		p50    int64
		p90    int64
	}
)

// Month returns the month that is forecast.
func (f *Forecast) Month() pricer.Month { return f.month }

// MadeAt returns when the forecast was made.
func (f *Forecast) MadeAt() clock.Millis { return f.madeAt }

// Until returns the end of the latest hour with a usage record. Later usage is estimated.
func (f *Forecast) Until() clock.Millis { return f.until }

// ToDate returns the bill for the usage that is recorded.
func (f *Forecast) ToDate() *pricer.Bill { return f.toDate }

// Expected returns the bill that is expected at the end of the month.
func (f *Forecast) Expected() *pricer.Bill { return f.expected }

// LeftOut returns a fault for each piece of data that is missing or was estimated.
func (f *Forecast) LeftOut() []meter.Fault { return f.leftOut }

// Total returns the line of the whole month's cost.
func (f *Forecast) Total() Line {
	return f.line(group{}, f.toDate.TotalMinor(), f.expected.TotalMinor())
}

// Lines returns a line for each team, workload, data centre or resource, the most expensive
// first.
func (f *Forecast) Lines(by pricer.Grouping) []Line {
	toDate := f.toDate.GroupMinor(by)
	var lines []Line
	for name, expected := range f.expected.GroupMinor(by) {
		lines = append(lines, f.line(group{by, name}, toDate[name], expected))
	}
	slices.SortFunc(lines, func(a, b Line) int { return cmp.Or(cmp.Compare(b.p50, a.p50), cmp.Compare(a.name, b.name)) })
	return lines
}

// line returns the line of a group. The band combines the errors of the backtests with those
// of the estimates for gaps, as if they were independent.
func (f *Forecast) line(g group, toDate, expected int64) Line {
	l := Line{name: g.name, toDate: toDate, p10: expected, p50: expected, p90: expected}
	halfWidth := math.Hypot(f.halfWidth(g, float64(expected-toDate)), f.gapCosts[g]*gapError)
	l.p10 = max(toDate, expected-roundInt(halfWidth))
	l.p90 = expected + roundInt(halfWidth)
	return l
}

// halfWidth returns half the width of the band of a group without the error of estimates for
// gaps. remaining is the part of its expected cost that is not recorded yet.
func (f *Forecast) halfWidth(g group, remaining float64) float64 {
	switch g.by {
	case pricer.ByDataCentre, pricer.ByResource:
		return max(0, remaining-f.gapCosts[g]) * f.backtests.relativeHalfWidth(g)
	}
	return f.backtests.halfWidth(f.remainingCosts(g), g == group{})
}

// remainingCosts returns the expected costs in a group that are not recorded yet, by
// workload. Unused commitments are left out since their cost is certain, and so are
// estimates for gaps, which have an error of their own.
func (f *Forecast) remainingCosts(g group) map[string]float64 {
	remaining := map[string]float64{}
	for _, b := range []struct {
		bill *pricer.Bill
		sign float64
	}{{f.expected, 1}, {f.toDate, -1}} {
		for _, l := range b.bill.Lines() {
			c := l.Cell()
			if c.Workload() != pricer.CommittedUnused && (g.by == "" || g.by.GroupName(c, l.Resource()) == g.name) {
				remaining[c.Workload()] += b.sign * float64(l.CostMinor())
			}
		}
	}
	for name := range remaining {
		remaining[name] = max(0, remaining[name]-f.gapCosts[group{pricer.ByWork, name}])
	}
	return remaining
}

// Name returns the name of the group, "" for the total.
func (l Line) Name() string { return l.name }

// ToDate returns the cost of the recorded usage.
func (l Line) ToDate() int64 { return l.toDate }

// P10 returns the lower end of the band: the cost is above it with a probability of 90%.
func (l Line) P10() int64 { return l.p10 }

// P50 returns the expected cost.
func (l Line) P50() int64 { return l.p50 }

// P90 returns the upper end of the band: the cost is below it with a probability of 90%.
func (l Line) P90() int64 { return l.p90 }

// Response returns the forecast as an API message, with a line per group and alerts for the
// budgets in s.
func (f *Forecast) Response(by pricer.Grouping, s *declarer.State) *schema.ForecastResponse {
	w := f.Total()
	r := &schema.ForecastResponse{
		Month: f.month.String(), Currency: f.expected.Currency(), By: string(by),
		ToDateMinor: w.toDate, P10Minor: w.p10, P50Minor: w.p50, P90Minor: w.p90,
		Days: f.days(), LeftOut: faultTexts(f.leftOut), Alerts: faultTexts(f.Alerts(s)),
	}
	for _, l := range f.Lines(by) {
		r.Lines = append(r.Lines, &schema.ForecastLine{
			Name: l.name, ToDateMinor: l.toDate, P10Minor: l.p10, P50Minor: l.p50, P90Minor: l.p90,
		})
	}
	for p := range pricer.Parts {
		r.Parts = append(r.Parts, &schema.CostPart{Name: p.String(), AmountMinor: f.toDate.PartMinor(p)})
	}
	return r
}

// days returns the cumulative cost at the end of each day. The width of its band is that of
// the total, times the part of the expected remaining cost that falls before the end of the
// day.
func (f *Forecast) days() []*schema.ForecastDay {
	w := f.Total()
	starts := f.month.Days()
	days := make([]*schema.ForecastDay, 0, len(starts))
	for n, upTo := range f.expected.CumulativeMinor() {
		share := 0.0
		if w.p50 > w.toDate {
			share = max(0, float64(upTo-w.toDate)/float64(w.p50-w.toDate))
		}
		d := &schema.ForecastDay{
			Day:      starts[n].Time().In(f.month.Zone()).Format(declarer.DateLayout),
			Known:    pricer.NextDay(starts[n], f.month.Zone()) <= f.until,
			P10Minor: upTo - roundInt(share*float64(w.p50-w.p10)),
			P50Minor: upTo,
			P90Minor: upTo + roundInt(share*float64(w.p90-w.p50)),
		}
		days = append(days, d)
	}
	return days
}

func faultTexts(faults []meter.Fault) []string {
	var all []string
	for _, f := range faults {
		all = append(all, f.String())
	}
	return all
}
