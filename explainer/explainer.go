// Package explainer says why a month costs what it does, and why that differs
// from the month before, from the forecast of the day before, from the plan that
// the declarations make, or from what it would be after a change.
//
// The difference of each work is cut into causes by changing what its cost is
// the product of, one after the other and always in this order: volume, run time,
// data centre, size, price; and waste. So the causes add up to the difference, to
// the smallest unit of the currency; what rounding leaves goes to the largest
// cause of the work. Every cause leads to its records: usage records by their
// offsets in the stream "usage", declarations by theirs in the stream "config".
package explainer

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/forecaster"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Against is what a cost is compared with.
	Against string

	// Explainer explains costs at one moment.
	Explainer struct {
		ledger *meter.Ledger
		state  *declarer.State
		older  *declarer.State
		now    clock.Millis
		made   *forecaster.Forecaster
	}

	// Option sets up an Explainer.
	Option func(*Explainer)
)

const (
	// AgainstLastMonth compares with the month before.
	AgainstLastMonth Against = "last-month"
	// AgainstLastForecast compares with the forecast at the day's beginning.
	AgainstLastForecast Against = "last-forecast"
	// AgainstPlan compares with what is declared.
	AgainstPlan Against = "plan"
	// AgainstNow compares a change that is only thought of with the forecast.
	AgainstNow Against = "now"

	maxOffsets = 1
)

// New gives an explainer of what the ledger and the declarations say at a
// moment. The ledger must not change while it is in use.
func New(l *meter.Ledger, s *declarer.State, now clock.Millis, opts ...Option) *Explainer {
	e := &Explainer{ledger: l, state: s, older: s, now: now, made: forecaster.New(l, s, now)}
	for _, o := range opts {
		o(e)
	}
	return e
}

// WithOlderState sets the declarations that the last forecast was made with,
// where they were others.
func WithOlderState(s *declarer.State) Option { return func(e *Explainer) { e.older = s } }

// Forecaster gives the forecaster of the same moment.
func (e *Explainer) Forecaster() *forecaster.Forecaster { return e.made }

// Explain says why a month's expected cost differs from another. An against that
// there is not gives an error of code UnknownName.
func (e *Explainer) Explain(m pricer.Month, a Against) (*Explanation, error) {
	to := e.made.Forecast(m)
	leftOut := to.LeftOut()
	var from *pricer.Bill
	switch a {
	case AgainstLastMonth:
		last := e.made.Forecast(m.Previous())
		from, leftOut = last.Expected(), append(last.LeftOut(), leftOut...)
	case AgainstLastForecast:
		day := meter.DayOf(e.now, e.made.Table().Zone())
		last := forecaster.New(e.ledger.Before(day), e.older, day).Forecast(m)
		from, leftOut = last.Expected(), append(last.LeftOut(), leftOut...)
	case AgainstPlan:
		from = e.made.Plan(m)
	default:
		return nil, coder.New(coder.UnknownName, "%q is none of last-month, last-forecast and plan", a)
	}
	return e.explanation(m, a, from, to.Expected(), leftOut), nil
}

// WhatIf says what a change of the declarations would make of a month's expected
// cost, or why it would be refused.
func (e *Explainer) WhatIf(m pricer.Month, c *schema.Change) (*Explanation, error) {
	to, err := e.made.WhatIf(m, c)
	if err != nil {
		return nil, err
	}
	return e.explanation(m, AgainstNow, e.made.Forecast(m).Expected(), to.Expected(), to.LeftOut()), nil
}

func (e *Explainer) explanation(m pricer.Month, a Against, from, to *pricer.Bill, leftOut []meter.Fault) *Explanation {
	x := &Explanation{
		month: m, currency: to.Currency(), against: a, from: from.TotalMinor(), to: to.TotalMinor(),
		causes: causesOf(from, to), leftOut: distinct(leftOut),
	}
	places := placesOf(from, to)
	for n := range x.causes {
		e.trace(&x.causes[n], m, places[x.causes[n].work])
	}
	return x
}

// trace leads a cause to its records.
func (e *Explainer) trace(c *Cause, m pricer.Month, places []string) {
	begin := min(m.Start(), pricer.MonthOf(e.now, m.Zone()).Start())
	for _, dc := range places {
		c.usageOffsets = append(c.usageOffsets, e.ledger.Offsets(dc, begin, m.End(), maxOffsets)...)
		if c.kind == Price || c.kind == Committed {
			c.configOffsets = append(c.configOffsets, e.pricesOf(dc, m)...)
		}
		if c.kind == Move {
			c.configOffsets = append(c.configOffsets, e.setBy(declarer.KindDrain, declarer.DrainOfDataCentre(dc))...)
		}
	}
	for _, k := range []declarer.Kind{declarer.KindService, declarer.KindBatchJob, declarer.KindWatchJob} {
		if c.kind != Price && c.kind != Committed {
			c.configOffsets = append(c.configOffsets, e.setBy(k, c.work)...)
		}
	}
	slices.Sort(c.usageOffsets)
	slices.Sort(c.configOffsets)
	c.usageOffsets = slices.Compact(c.usageOffsets)
	c.configOffsets = slices.Compact(c.configOffsets)
}

// setBy gives the offset of the change that a declaration stands by.
func (e *Explainer) setBy(k declarer.Kind, name string) []int64 {
	v := e.state.Get(k, name).Version()
	if v == 0 {
		return nil
	}
	return []int64{v - 1}
}

func (e *Explainer) pricesOf(dataCentre string, m pricer.Month) []int64 {
	var offsets []int64
	for r := range pricer.Resources {
		if p, found := e.made.Table().At(dataCentre, r, m.End()-1); found {
			offsets = append(offsets, p.Offset())
		}
	}
	return offsets
}

func placesOf(bills ...*pricer.Bill) map[string][]string {
	places := map[string][]string{}
	for _, b := range bills {
		for _, l := range b.Lines() {
			places[l.Cell().Work()] = append(places[l.Cell().Work()], l.Cell().DataCentre())
		}
	}
	for w := range places {
		slices.Sort(places[w])
		places[w] = slices.Compact(places[w])
	}
	return places
}

func distinct(faults []meter.Fault) []meter.Fault {
	seen := map[string]bool{}
	return slices.DeleteFunc(slices.Clone(faults), func(f meter.Fault) bool {
		again := seen[f.String()]
		seen[f.String()] = true
		return again
	})
}
