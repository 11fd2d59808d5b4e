// Package forecaster estimates the cost of a month before it ends.
//
// A forecast is the sum of the bill to date, an estimate for hours without usage records,
// and the expected reservations of each declared workload until the end of the month, at
// the prices that are in force or declared for later. A workload is a service, a watch job
// or a batch job:
//
//   - Long-running workloads (services and watch jobs) are expected to reserve what they
//     declare, times the mean ratio of reserved to declared in the last days.
//   - Batch jobs with a weekly or monthly calendar are expected to reserve the mean of
//     their last runs at each occurrence.
//   - Other batch jobs are expected to reserve the mean of the same days of the week.
//
// Each forecast has a band from its 10th to its 90th percentile (P10 to P90). The width of the
// band comes from backtests: the same forecast is made for spans in the past and compared
// with their actual cost.
//
// New prepares the data that all forecasts made at one time share. Forecast, WhatIf and Plan
// can be called on the Forecaster any number of times.
package forecaster

import (
	"fmt"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Forecaster makes forecasts from the usage and declarations known at one time.
	Forecaster struct {
		ledger  *meter.Ledger
		state   *declarer.State
		now     clock.Millis
		table   *pricer.Table
		history *history
		model   *model
	}
)

// New returns a forecaster for the usage in l and the declarations in s at time now. The
// ledger must not change while the forecaster is in use.
func New(l *meter.Ledger, s *declarer.State, now clock.Millis) *Forecaster {
	h := newHistory(l)
	f := &Forecaster{ledger: l, state: s, now: now, table: pricer.NewTable(s), history: h}
	f.model = newModel(h, len(h.days), s, true)
	return f
}

// CurrentMonth returns the month that contains the time for which the forecaster was made.
func (f *Forecaster) CurrentMonth() pricer.Month { return pricer.MonthOf(f.now, f.table.Zone()) }

// Table returns the price table.
func (f *Forecaster) Table() *pricer.Table { return f.table }

// ParseMonth parses a month such as "2026-12". The empty string is the month after the current
// one.
func (f *Forecaster) ParseMonth(month string) (pricer.Month, error) {
	if month == "" {
		return f.CurrentMonth().Next(), nil
	}
	return pricer.ParseMonth(month, f.table.Zone())
}

// Forecast returns the forecast of a month. A past month whose hours all have records has a
// band of zero width.
func (f *Forecaster) Forecast(m pricer.Month) *Forecast { return f.forecast(m, f.model, f.table) }

// WhatIf returns the forecast of a month as if a change of the declarations were made now,
// or the error with which the change would be rejected. The expected reservations of batch
// jobs scale with their declared size, number of tasks and run time.
func (f *Forecaster) WhatIf(m pricer.Month, c *schema.Change) (*Forecast, error) {
	if faults := declarer.CheckPastPrices(f.state, c, f.now); len(faults) > 0 {
		return nil, faults
	}
	after, o := f.state.Apply(f.state.Next(), c)
	if !o.Accepted() {
		return nil, o.Err()
	}
	changed := newModel(f.history, len(f.history.days), after, true)
	changed.rescale(f.state)
	return f.forecast(m, changed, pricer.NewTable(after)), nil
}

// Plan returns the bill of a month in which all workloads reserve exactly what they declare.
// Batch jobs without a calendar are left out.
func (f *Forecaster) Plan(m pricer.Month) *pricer.Bill {
	h := &history{zone: f.table.Zone(), until: m.Start(), occurrenceCache: map[calendarKey][]clock.Millis{}}
	b := pricer.NewBuilder(f.table, m)
	usageModel := newModel(h, 0, f.state, true)
	for _, s := range h.splitDays(m.Start(), m.End()) {
		f.addSpan(b, usageModel, f.table, s)
	}
	return b.Bill()
}

func (f *Forecaster) forecast(m pricer.Month, usageModel *model, t *pricer.Table) *Forecast {
	r := f.pointForecast(m, usageModel, t)
	if from := max(m.Start(), f.history.until); from < m.End() {
		r.backtests = runBacktests(f.history, f.state, t, from, m.End())
	}
	r.leftOut = f.missingData(r)
	return r
}

// pointForecast returns a forecast without its backtests, and so without a proper band.
func (f *Forecaster) pointForecast(m pricer.Month, usageModel *model, t *pricer.Table) *Forecast {
	b := pricer.NewBuilder(t, m)
	pricer.AddActual(b, f.ledger, m)
	r := &Forecast{month: m, madeAt: f.now, until: f.history.until, toDate: pricer.Actual(f.ledger, f.table, m), gapCosts: map[group]float64{}}
	f.addGapFills(b, r, t)
	for _, s := range f.history.splitDays(max(m.Start(), f.history.until), m.End()) {
		f.addSpan(b, usageModel, t, s)
	}
	r.expected = b.Bill()
	return r
}

// addGapFills adds the estimates for hours without records to the bill b, and their costs to
// r.gapCosts.
func (f *Forecaster) addGapFills(b *pricer.Builder, r *Forecast, t *pricer.Table) {
	for _, x := range f.history.gapFills {
		if x.day < r.month.Start() || x.day >= r.month.End() {
			continue
		}
		b.Add(x.day, x.cell, x.amounts)
		costs := reservedOf(x.amounts).mul(pricesAt(t, x.day)(x.cell.DataCentre()))
		addCosts(r.gapCosts, x.cell.Team(), x.cell.Workload(), x.cell.DataCentre(), costs)
	}
}

// addSpan adds the expected reservations in a span to a bill, and the commitments that they
// leave unused.
func (f *Forecaster) addSpan(b *pricer.Builder, usageModel *model, t *pricer.Table, s span) {
	reserved := map[string]vector{}
	usageModel.project(s, func(w *workload, v vector) {
		for dc, share := range w.shares {
			part := v.scale(share)
			reserved[dc] = reserved[dc].add(part)
			b.Add(s.dayStart, meter.NewCell(dc, w.team, w.name), w.amounts(part))
		}
	})
	for _, dc := range t.CommittedDataCentres() {
		var hourly meter.HourlyReserved
		for r := range hourly {
			hourly[r] = int64(reserved[dc][r] * float64(clock.Hour) / s.length())
		}
		for at := s.from; at < s.until; at += clock.Hour {
			b.AddUnusedCommitment(at, dc, hourly)
		}
	}
}

// missingData returns a fault for each piece of data that is missing or was estimated.
func (f *Forecaster) missingData(r *Forecast) []meter.Fault {
	faults := slices.Clone(r.expected.Faults())
	for _, g := range f.ledger.Gaps(r.month.Start(), min(r.month.End(), f.history.until), recordGrace) {
		text := fmt.Sprintf("usage of %s from %s to %s is missing; it is estimated from earlier days", g.Shard(), g.From(), g.Until())
		faults = append(faults, meter.NewFault(coder.UsageMissing, -1, text))
	}
	if late := f.now - f.history.until; late > recordGrace && f.history.until > 0 {
		text := fmt.Sprintf("no usage records after %s", f.history.until)
		faults = append(faults, meter.NewFault(coder.UsageMissing, -1, text))
	}
	if r.month.End() <= f.history.until {
		return faults
	}
	if len(r.backtests.results) == 0 {
		text := "there is too little history to know how far forecasts are off"
		faults = append(faults, meter.NewFault(coder.HistoryShort, -1, text))
	}
	return append(faults, f.withoutHistory()...)
}

// withoutHistory returns a fault for each workload that hasn't run yet. Its forecast is made
// from its declaration; a batch job without a calendar is expected to reserve nothing.
func (f *Forecaster) withoutHistory() []meter.Fault {
	var faults []meter.Fault
	for _, w := range f.model.workloads {
		if len(w.history.reserved) > 0 {
			continue
		}
		text := fmt.Sprintf("%s has not run yet; its declared reservations are used", w.name)
		if w.kind == declarer.KindBatchJob && w.batch.Calendar.Every == declarer.EveryNone {
			text = fmt.Sprintf("%s has not run yet and has no calendar; no usage is expected", w.name)
		}
		faults = append(faults, meter.NewFault(coder.HistoryShort, -1, text))
	}
	return faults
}
