// Package explainer explains why the expected cost of a month differs from that of the
// month before, from the forecast at the beginning of the day, from the plan that the
// declarations make, or from the cost after a hypothetical change.
//
// The cost of each work (a service or job) is a product of factors, plus the cost of
// wasted resources. The difference between two costs is attributed to causes by replacing
// the factors one after the other, always in this order: volume, run time, data centre,
// size, price; then waste. So the causes add up to the difference, to the smallest unit
// of the currency; the rounding error goes to the largest cause of the work. Every cause
// refers to its records: usage records by their offsets in the stream "usage",
// declarations by their offsets in the stream "config".
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
	// Against is the baseline that a cost is compared with.
	Against string

	// Explainer explains costs as of one moment.
	Explainer struct {
		ledger        *meter.Ledger
		state         *declarer.State
		previousState *declarer.State
		now           clock.Millis
		forecaster    *forecaster.Forecaster
	}

	// Option configures an Explainer.
	Option func(*Explainer)
)

const (
	// AgainstLastMonth compares with the month before.
	AgainstLastMonth Against = "last-month"
	// AgainstLastForecast compares with the forecast as of the beginning of the day.
	AgainstLastForecast Against = "last-forecast"
	// AgainstPlan compares with the cost that would arise if all work reserved exactly
	// what it declares.
	AgainstPlan Against = "plan"
	// AgainstNow compares a hypothetical change of the declarations with the current
	// forecast. Only WhatIf uses it.
	AgainstNow Against = "now"

	// maxUsageOffsets is the maximum number of usage records that a cause refers to for
	// each data centre.
	maxUsageOffsets = 1
)

// New returns an explainer of the metered usage and the declarations as of now. The
// ledger must not change while the explainer is in use.
func New(l *meter.Ledger, s *declarer.State, now clock.Millis, opts ...Option) *Explainer {
	e := &Explainer{ledger: l, state: s, previousState: s, now: now, forecaster: forecaster.New(l, s, now)}
	for _, o := range opts {
		o(e)
	}
	return e
}

// WithPreviousState sets the declarations of the forecast that AgainstLastForecast
// compares with. The default is the current declarations.
func WithPreviousState(s *declarer.State) Option { return func(e *Explainer) { e.previousState = s } }

// Forecaster returns a forecaster of the same ledger, declarations and moment.
func (e *Explainer) Forecaster() *forecaster.Forecaster { return e.forecaster }

// Explain returns the causes of the difference between a month's expected cost and the
// baseline a. An unknown baseline is an error with code UnknownName.
func (e *Explainer) Explain(m pricer.Month, a Against) (*Explanation, error) {
	to := e.forecaster.Forecast(m)
	leftOut := to.LeftOut()
	var from *pricer.Bill
	switch a {
	case AgainstLastMonth:
		last := e.forecaster.Forecast(m.Previous())
		from, leftOut = last.Expected(), append(last.LeftOut(), leftOut...)
	case AgainstLastForecast:
		day := meter.StartOfDay(e.now, e.forecaster.Table().Zone())
		last := forecaster.New(e.ledger.UpTo(day), e.previousState, day).Forecast(m)
		from, leftOut = last.Expected(), append(last.LeftOut(), leftOut...)
	case AgainstPlan:
		from = e.forecaster.Plan(m)
	default:
		return nil, coder.New(coder.UnknownName, "against is %q, want last-month, last-forecast or plan", a)
	}
	return e.explanation(m, a, from, to.Expected(), leftOut), nil
}

// WhatIf returns the causes of the difference that a change of the declarations would
// make to a month's expected cost. If the change would be refused, it returns the error
// of that refusal.
func (e *Explainer) WhatIf(m pricer.Month, c *schema.Change) (*Explanation, error) {
	to, err := e.forecaster.WhatIf(m, c)
	if err != nil {
		return nil, err
	}
	return e.explanation(m, AgainstNow, e.forecaster.Forecast(m).Expected(), to.Expected(), to.LeftOut()), nil
}

func (e *Explainer) explanation(m pricer.Month, a Against, from, to *pricer.Bill, leftOut []meter.Fault) *Explanation {
	x := &Explanation{
		month: m, currency: to.Currency(), against: a, fromMinor: from.TotalMinor(), toMinor: to.TotalMinor(),
		causes: causesOf(from, to), leftOut: uniqueFaults(leftOut),
	}
	dataCentres := dataCentresByWork(from, to)
	for n := range x.causes {
		e.attachOffsets(&x.causes[n], m, dataCentres[x.causes[n].work])
	}
	return x
}

// attachOffsets sets the offsets of the usage records and declarations of a cause.
func (e *Explainer) attachOffsets(c *Cause, m pricer.Month, dataCentres []string) {
	// A month to come has no usage records yet, so the records of the current month are
	// referred to.
	begin := min(m.Start(), pricer.MonthOf(e.now, m.Zone()).Start())
	for _, dc := range dataCentres {
		c.usageOffsets = append(c.usageOffsets, e.ledger.Offsets(dc, begin, m.End(), maxUsageOffsets)...)
		if c.kind == Price || c.kind == UnusedCommitment {
			c.configOffsets = append(c.configOffsets, e.priceOffsets(dc, m)...)
		}
		if c.kind == Move {
			c.configOffsets = append(c.configOffsets, e.declarationOffset(declarer.KindDrain, declarer.DrainOfDataCentre(dc))...)
		}
	}
	for _, k := range []declarer.Kind{declarer.KindService, declarer.KindBatchJob, declarer.KindWatchJob} {
		if c.kind != Price && c.kind != UnusedCommitment {
			c.configOffsets = append(c.configOffsets, e.declarationOffset(k, c.work)...)
		}
	}
	slices.Sort(c.usageOffsets)
	slices.Sort(c.configOffsets)
	c.usageOffsets = slices.Compact(c.usageOffsets)
	c.configOffsets = slices.Compact(c.configOffsets)
}

// declarationOffset returns the offset of the change that last set a declaration, or
// nothing if there is no such declaration. A declaration's version is that offset plus 1.
func (e *Explainer) declarationOffset(k declarer.Kind, name string) []int64 {
	v := e.state.Get(k, name).Version()
	if v == 0 {
		return nil
	}
	return []int64{v - 1}
}

func (e *Explainer) priceOffsets(dataCentre string, m pricer.Month) []int64 {
	var offsets []int64
	for r := range pricer.Resources {
		if p, found := e.forecaster.Table().PriceAt(dataCentre, r, m.End()-1); found {
			offsets = append(offsets, p.Offset())
		}
	}
	return offsets
}

func dataCentresByWork(bills ...*pricer.Bill) map[string][]string {
	dataCentres := map[string][]string{}
	for _, b := range bills {
		for _, l := range b.Lines() {
			dataCentres[l.Cell().Workload()] = append(dataCentres[l.Cell().Workload()], l.Cell().DataCentre())
		}
	}
	for w := range dataCentres {
		slices.Sort(dataCentres[w])
		dataCentres[w] = slices.Compact(dataCentres[w])
	}
	return dataCentres
}

func uniqueFaults(faults []meter.Fault) []meter.Fault {
	seen := map[string]bool{}
	return slices.DeleteFunc(slices.Clone(faults), func(f meter.Fault) bool {
		duplicate := seen[f.String()]
		seen[f.String()] = true
		return duplicate
	})
}
