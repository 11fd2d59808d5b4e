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
	// Forecast is what a month is expected to cost.
	Forecast struct {
		month    pricer.Month
		made     clock.Millis
		until    clock.Millis
		toDate   *pricer.Bill
		expected *pricer.Bill
		errors   errors
		// filled is the cost that is taken for hours without records.
		filled  map[group]float64
		leftOut []meter.Fault
	}

	// Line is a part of a forecast, in the smallest unit of the currency.
	// Expected costs of the lines add up to the whole; the ends of bands don't.
	Line struct {
		name   string
		toDate int64
		p10    int64
		p50    int64
		p90    int64
	}
)

// Month gives the month.
func (f *Forecast) Month() pricer.Month { return f.month }

// Made gives when the forecast was made.
func (f *Forecast) Made() clock.Millis { return f.made }

// Until gives the end of the records that it is made from.
func (f *Forecast) Until() clock.Millis { return f.until }

// ToDate gives the bill as far as there are records.
func (f *Forecast) ToDate() *pricer.Bill { return f.toDate }

// Expected gives the bill that is expected at the end of the month.
func (f *Forecast) Expected() *pricer.Bill { return f.expected }

// LeftOut gives what could not be taken into account, or was taken for what is
// missing.
func (f *Forecast) LeftOut() []meter.Fault { return f.leftOut }

// Whole gives the whole month.
func (f *Forecast) Whole() Line {
	return f.line(group{}, f.toDate.TotalMinor(), f.expected.TotalMinor())
}

// Lines gives the groups of a kind, the dearest first.
func (f *Forecast) Lines(by pricer.By) []Line {
	toDate := f.toDate.GroupMinor(by)
	var lines []Line
	for name, expected := range f.expected.GroupMinor(by) {
		lines = append(lines, f.line(group{by, name}, toDate[name], expected))
	}
	slices.SortFunc(lines, func(a, b Line) int { return cmp.Or(cmp.Compare(b.p50, a.p50), cmp.Compare(a.name, b.name)) })
	return lines
}

func (f *Forecast) line(g group, toDate, expected int64) Line {
	l := Line{name: g.name, toDate: toDate, p10: expected, p50: expected, p90: expected}
	half := math.Hypot(f.halfOf(g, float64(expected-toDate)), f.filled[g]*gapError)
	l.p10 = max(toDate, expected-whole(half))
	l.p90 = expected + whole(half)
	return l
}

// halfOf gives half the width of the band of a group of which so much is not
// known yet.
func (f *Forecast) halfOf(g group, open float64) float64 {
	switch g.by {
	case pricer.ByDataCentre, pricer.ByResource:
		return max(0, open-f.filled[g]) * f.errors.spread(g)
	}
	return f.errors.half(f.openOf(g), g == group{})
}

// openOf gives what the works of a group are still expected to cost, without
// what is committed, which is known.
func (f *Forecast) openOf(g group) map[string]float64 {
	open := map[string]float64{}
	for _, b := range []struct {
		bill *pricer.Bill
		sign float64
	}{{f.expected, 1}, {f.toDate, -1}} {
		for _, l := range b.bill.Lines() {
			c := l.Cell()
			if c.Work() != pricer.CommittedUnused && (g.by == "" || g.by.Of(c, l.Resource()) == g.name) {
				open[c.Work()] += b.sign * float64(l.CostMinor())
			}
		}
	}
	for name := range open {
		open[name] = max(0, open[name]-f.filled[group{pricer.ByWork, name}])
	}
	return open
}

// Name gives the line's name, "" for the whole.
func (l Line) Name() string { return l.name }

// ToDate gives what there are records of.
func (l Line) ToDate() int64 { return l.toDate }

// P10 gives what the cost is above with a probability of nine in ten.
func (l Line) P10() int64 { return l.p10 }

// P50 gives what is expected.
func (l Line) P50() int64 { return l.p50 }

// P90 gives what the cost is below with a probability of nine in ten.
func (l Line) P90() int64 { return l.p90 }

// Response gives the forecast as the schema has it, with alerts by the budgets of
// a state.
func (f *Forecast) Response(by pricer.By, s *declarer.State) *schema.ForecastResponse {
	w := f.Whole()
	r := &schema.ForecastResponse{
		Month: f.month.String(), Currency: f.expected.Currency(), By: string(by),
		ToDateMinor: w.toDate, P10Minor: w.p10, P50Minor: w.p50, P90Minor: w.p90,
		Days: f.days(), LeftOut: texts(f.leftOut), Alerts: texts(f.Alerts(s)),
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

// days gives how the cost adds up. The band opens with what is not known yet.
func (f *Forecast) days() []*schema.ForecastDay {
	w := f.Whole()
	starts := f.month.Days()
	days := make([]*schema.ForecastDay, 0, len(starts))
	for n, upTo := range f.expected.UpToMinor() {
		share := 0.0
		if w.p50 > w.toDate {
			share = max(0, float64(upTo-w.toDate)/float64(w.p50-w.toDate))
		}
		d := &schema.ForecastDay{
			Day:      starts[n].Time().In(f.month.Zone()).Format(declarer.DateLayout),
			Known:    pricer.NextDay(starts[n], f.month.Zone()) <= f.until,
			P10Minor: upTo - whole(share*float64(w.p50-w.p10)),
			P50Minor: upTo,
			P90Minor: upTo + whole(share*float64(w.p90-w.p50)),
		}
		days = append(days, d)
	}
	return days
}

func texts(faults []meter.Fault) []string {
	var all []string
	for _, f := range faults {
		all = append(all, f.String())
	}
	return all
}
