// Package forecaster says what a month will cost before it closes.
//
// A forecast is the bill to date, plus what is taken for hours without records,
// plus what each declared work is expected to hold until the month's end, at the
// prices in force or declared to come. Standing work (services, watch jobs) is
// expected to hold what it declares, less what it usually lacks of it; batch
// work with a calendar what its last runs held at each of its occurrences;
// other batch work what it held on the same days of the week. The band from
// P10 to P90 comes from making the same forecast again for days in the past
// and comparing it with what came.
//
// New takes what every forecast of one moment shares; Forecast, Month and WhatIf
// may be called on it as often as wanted.
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
	// Forecaster makes forecasts at one moment.
	Forecaster struct {
		ledger *meter.Ledger
		state  *declarer.State
		now    clock.Millis
		table  *pricer.Table
		h      *history
		model  *model
	}
)

// New gives a forecaster of what the ledger and the declarations say at a
// moment. The ledger must not change while it is in use.
func New(l *meter.Ledger, s *declarer.State, now clock.Millis) *Forecaster {
	h := newHistory(l)
	f := &Forecaster{ledger: l, state: s, now: now, table: pricer.NewTable(s), h: h}
	f.model = newModel(h, len(h.days), s, true)
	return f
}

// Now gives the month of the forecaster's moment.
func (f *Forecaster) Now() pricer.Month { return pricer.MonthOf(f.now, f.table.Zone()) }

// Table gives the prices.
func (f *Forecaster) Table() *pricer.Table { return f.table }

// Parse reads a month such as "2026-12"; "" is the next one.
func (f *Forecaster) Parse(month string) (pricer.Month, error) {
	if month == "" {
		return f.Now().Next(), nil
	}
	return pricer.ParseMonth(month, f.table.Zone())
}

// Forecast gives what a month is expected to cost. A month that is over has no
// band where all its hours have records.
func (f *Forecaster) Forecast(m pricer.Month) *Forecast { return f.forecast(m, f.model, f.table) }

// WhatIf gives what a month is expected to cost if a change of the declarations
// is made now, or why the change would be refused. Jobs whose declared size or
// run time changes hold as much more or less as they declare.
func (f *Forecaster) WhatIf(m pricer.Month, c *schema.Change) (*Forecast, error) {
	if faults := declarer.PastPrices(f.state, c, f.now); len(faults) > 0 {
		return nil, faults
	}
	after, o := f.state.Apply(f.state.Next(), c)
	if !o.Accepted() {
		return nil, o.Err()
	}
	changed := newModel(f.h, len(f.h.days), after, true)
	changed.rescale(f.state)
	return f.forecast(m, changed, pricer.NewTable(after)), nil
}

// Plan gives what a month costs if everything holds what it declares, from its
// first day to its last; work without a calendar has no plan.
func (f *Forecaster) Plan(m pricer.Month) *pricer.Bill {
	h := &history{zone: f.table.Zone(), until: m.Start(), runs: map[calendarKey][]clock.Millis{}}
	b := pricer.NewBuilder(f.table, m)
	known := newModel(h, 0, f.state, true)
	for _, s := range h.spansOf(m.Start(), m.End()) {
		f.addSpan(b, known, f.table, s)
	}
	return b.Bill()
}

func (f *Forecaster) forecast(m pricer.Month, known *model, t *pricer.Table) *Forecast {
	r := f.expect(m, known, t)
	if from := max(m.Start(), f.h.until); from < m.End() {
		r.errors = errorsOf(f.h, f.state, t, from, m.End())
	}
	r.leftOut = f.leftOut(r)
	return r
}

// expect gives a forecast without its band.
func (f *Forecaster) expect(m pricer.Month, known *model, t *pricer.Table) *Forecast {
	b := pricer.NewBuilder(t, m)
	pricer.AddActual(b, f.ledger, m)
	r := &Forecast{month: m, made: f.now, until: f.h.until, toDate: pricer.Actual(f.ledger, f.table, m), filled: map[group]float64{}}
	f.addFills(b, r, t)
	for _, s := range f.h.spansOf(max(m.Start(), f.h.until), m.End()) {
		f.addSpan(b, known, t, s)
	}
	r.expected = b.Bill()
	return r
}

func (f *Forecaster) addFills(b *pricer.Builder, r *Forecast, t *pricer.Table) {
	for _, x := range f.h.fills {
		if x.day < r.month.Start() || x.day >= r.month.End() {
			continue
		}
		b.Add(x.day, x.cell, x.amounts)
		costs := vectorOf(x.amounts).scaled(ratesOf(t, x.day)(x.cell.DataCentre()))
		count(r.filled, x.cell.Team(), x.cell.Work(), x.cell.DataCentre(), costs)
	}
}

func (f *Forecaster) addSpan(b *pricer.Builder, known *model, t *pricer.Table, s span) {
	reserved := map[string]vector{}
	known.project(s, func(w *work, v vector) {
		for dc, share := range w.shares {
			part := v.times(share)
			reserved[dc] = reserved[dc].plus(part)
			b.Add(s.start, meter.NewCell(dc, w.team, w.name), w.amounts(part))
		}
	})
	for _, dc := range t.Committed() {
		var held meter.Held
		for r := range held {
			held[r] = int64(reserved[dc][r] * float64(clock.Hour) / s.length())
		}
		for at := s.from; at < s.until; at += clock.Hour {
			b.AddHour(at, dc, held)
		}
	}
}

// leftOut names what is missing, or was taken for what is missing.
func (f *Forecaster) leftOut(r *Forecast) []meter.Fault {
	faults := slices.Clone(r.expected.Faults())
	for _, g := range f.ledger.Gaps(r.month.Start(), min(r.month.End(), f.h.until), lateHours) {
		text := fmt.Sprintf("usage of %s from %s to %s is missing; what it usually holds is taken instead", g.Shard(), g.From(), g.Until())
		faults = append(faults, meter.NewFault(coder.UsageMissing, -1, text))
	}
	if late := f.now - f.h.until; late > lateHours && f.h.until > 0 {
		text := fmt.Sprintf("no usage is known after %s", f.h.until)
		faults = append(faults, meter.NewFault(coder.UsageMissing, -1, text))
	}
	if r.month.End() <= f.h.until {
		return faults
	}
	if len(r.errors.looks) == 0 {
		text := "there is too little history to know how far forecasts are off"
		faults = append(faults, meter.NewFault(coder.HistoryShort, -1, text))
	}
	return append(faults, f.withoutHistory()...)
}

// withoutHistory names works that are expected to hold what they declare, or
// nothing, since they have not run.
func (f *Forecaster) withoutHistory() []meter.Fault {
	var faults []meter.Fault
	for _, w := range f.model.works {
		if len(w.past.held) > 0 {
			continue
		}
		text := fmt.Sprintf("%s has not run yet; it is taken to hold what it declares", w.name)
		if w.kind == declarer.KindBatchJob && w.batch.Calendar.Every == declarer.EveryNone {
			text = fmt.Sprintf("%s has not run yet and has no calendar; it is taken to hold nothing", w.name)
		}
		faults = append(faults, meter.NewFault(coder.HistoryShort, -1, text))
	}
	return faults
}
