package forecaster

import (
	"maps"
	"math"
	"slices"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
)

type (
	// history is what the works held on each day that is over, and in the
	// part of today that has records.
	history struct {
		zone  *time.Location
		until clock.Millis
		days  []clock.Millis
		// weekdays is the day of the week of each day.
		weekdays []time.Weekday
		works    map[string]*past
		runs     map[calendarKey][]clock.Millis
		// fills is what is taken for hours without records.
		fills []fill
	}

	// past is the history of one work.
	past struct {
		team string
		// held is by data centre and by day, and totals by day.
		held   map[string][]short
		totals []vector
		// today is what was held in the part of today that has records.
		today vector
		// sums is every amount of the last days, for the ratios between them.
		sums meter.Amounts
	}

	// fill is what is taken for a cell in hours of a day without records.
	fill struct {
		day     clock.Millis
		cell    meter.Cell
		amounts meter.Amounts
	}
)

const (
	historyDays = 250
	sumDays     = 56 * clock.Day
	// lateHours is how late a shard's records may be before they are missed.
	lateHours = 2 * clock.Hour
	// baselineDays is how many days give what a cell usually holds.
	baselineDays = 14
)

func newHistory(l *meter.Ledger) *history {
	h := &history{zone: l.Zone(), until: l.Until(), works: map[string]*past{}, runs: map[calendarKey][]clock.Millis{}}
	from := max(l.First(), meter.DayOf(h.until, h.zone)-historyDays*clock.Day)
	from = meter.DayOf(from+clock.Hour, h.zone)
	today := meter.DayOf(h.until, h.zone)
	h.days = pricer.DaysBetween(from, today, h.zone)
	index := map[clock.Millis]int{}
	for n, d := range h.days {
		index[d] = n
		h.weekdays = append(h.weekdays, d.Time().In(h.zone).Weekday())
	}
	l.Each(from, today, func(d *meter.Day) {
		n, known := index[d.Start()]
		if known {
			h.add(n, d)
		}
	})
	h.fillGaps(l)
	l.Each(today, clock.Never, h.addToday)
	return h
}

func (h *history) add(n int, d *meter.Day) {
	for _, c := range d.Cells() {
		a := d.Amounts(c)
		p := h.past(c)
		p.add(c.DataCentre(), n, len(h.days), vectorOf(a))
		if d.Start() >= h.until-sumDays {
			p.sums.Add(a)
		}
	}
}

func (h *history) addToday(d *meter.Day) {
	for _, c := range d.Cells() {
		p := h.past(c)
		p.today = p.today.plus(vectorOf(d.Amounts(c)))
	}
}

// names gives the works that have a history, in order.
func (h *history) names() []string { return slices.Sorted(maps.Keys(h.works)) }

func (h *history) past(c meter.Cell) *past {
	p := h.works[c.Work()]
	if p == nil {
		p = &past{team: c.Team(), held: map[string][]short{}}
		h.works[c.Work()] = p
	}
	p.team = c.Team()
	return p
}

// add adds what a work held in a data centre on one of so many days.
func (p *past) add(dataCentre string, day, days int, v vector) {
	if p.held[dataCentre] == nil {
		p.held[dataCentre] = make([]short, days)
	}
	if p.totals == nil {
		p.totals = make([]vector, days)
	}
	held := p.held[dataCentre]
	held[day] = held[day].vector().plus(v).short()
	p.totals[day] = p.totals[day].plus(v)
}

// total gives what a work held on a day in all data centres.
func (p *past) total(day int) vector {
	if p.totals == nil {
		return vector{}
	}
	return p.totals[day]
}

// amounts gives every amount that goes with what a work holds, in the ratios
// of its last days.
func (p *past) amounts(v vector) meter.Amounts {
	var a meter.Amounts
	if p.sums[meter.ReservedProcessors] > 0 {
		f := v[pricer.Processors] / float64(p.sums[meter.ReservedProcessors])
		for n := range a {
			a[n] = whole(f * float64(max(0, p.sums[n])))
		}
	}
	for r := range v {
		a[r] = whole(v[r])
	}
	return a
}

func whole(f float64) int64 { return int64(math.Round(f)) }
