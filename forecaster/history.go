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
	// history holds the reservations of all workloads on each past day and in the part of
	// today that has records.
	history struct {
		zone  *time.Location
		until clock.Millis
		// days holds the starts of the past days, without today.
		days []clock.Millis
		// weekdays is parallel to days.
		weekdays        []time.Weekday
		workloads       map[string]*workloadHistory
		occurrenceCache map[calendarKey][]clock.Millis
		// gapFills holds the estimates for hours without records.
		gapFills []gapFill
	}

	// workloadHistory is the history of one workload.
	workloadHistory struct {
		team string
		// reserved holds the reservations on each day by data centre, totals those in
		// all data centres. Their slices are indexed like history.days.
		reserved map[string][]vector32
		totals   []vector
		// today holds the reservations in the part of today that has records.
		today vector
		// recentSums holds the sums of all amounts over recentWindow. From their ratios
		// the amounts of an expected reservation other than the reserved ones, such
		// as the used processors, are estimated.
		recentSums meter.Amounts
	}

	// gapFill is the estimate for a cell in the hours of a day that have no records.
	gapFill struct {
		day     clock.Millis
		cell    meter.Cell
		amounts meter.Amounts
	}
)

const (
	// historyDays limits the days that are read from the ledger.
	historyDays  = 250
	recentWindow = 56 * clock.Day
	// recordGrace is how late a shard's records may be before they count as missing.
	recordGrace = 2 * clock.Hour
	// baselineDays is the number of days over which recentMean averages.
	baselineDays = 14
)

func newHistory(l *meter.Ledger) *history {
	h := &history{zone: l.Zone(), until: l.Until(), workloads: map[string]*workloadHistory{}, occurrenceCache: map[calendarKey][]clock.Millis{}}
	from := max(l.First(), meter.StartOfDay(h.until, h.zone)-historyDays*clock.Day)
	from = meter.StartOfDay(from+clock.Hour, h.zone)
	today := meter.StartOfDay(h.until, h.zone)
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

// add adds a day's usage as the day with index n.
func (h *history) add(n int, d *meter.Day) {
	for _, c := range d.Cells() {
		a := d.Amounts(c)
		p := h.historyOf(c)
		p.add(c.DataCentre(), n, len(h.days), reservedOf(a))
		if d.Start() >= h.until-recentWindow {
			p.recentSums.Add(a)
		}
	}
}

func (h *history) addToday(d *meter.Day) {
	for _, c := range d.Cells() {
		p := h.historyOf(c)
		p.today = p.today.add(reservedOf(d.Amounts(c)))
	}
}

// names returns the names of the workloads that have a history, sorted.
func (h *history) names() []string { return slices.Sorted(maps.Keys(h.workloads)) }

// historyOf returns the history of a cell's workload and adds it if it is new. The team is
// that of the latest cell.
func (h *history) historyOf(c meter.Cell) *workloadHistory {
	p := h.workloads[c.Workload()]
	if p == nil {
		p = &workloadHistory{team: c.Team(), reserved: map[string][]vector32{}}
		h.workloads[c.Workload()] = p
	}
	p.team = c.Team()
	return p
}

// add adds reservations in a data centre to the day with index day. days is the length of
// history.days.
func (p *workloadHistory) add(dataCentre string, day, days int, v vector) {
	if p.reserved[dataCentre] == nil {
		p.reserved[dataCentre] = make([]vector32, days)
	}
	if p.totals == nil {
		p.totals = make([]vector, days)
	}
	reserved := p.reserved[dataCentre]
	reserved[day] = reserved[day].vector().add(v).vector32()
	p.totals[day] = p.totals[day].add(v)
}

// total returns the reservations on a day in all data centres.
func (p *workloadHistory) total(day int) vector {
	if p.totals == nil {
		return vector{}
	}
	return p.totals[day]
}

// amounts returns the amounts for reservations of v. The amounts other than the reserved ones
// are estimated in proportion to the processors, as in recentSums.
func (p *workloadHistory) amounts(v vector) meter.Amounts {
	var a meter.Amounts
	if p.recentSums[meter.ReservedProcessors] > 0 {
		f := v[pricer.Processors] / float64(p.recentSums[meter.ReservedProcessors])
		for n := range a {
			a[n] = roundInt(f * float64(max(0, p.recentSums[n])))
		}
	}
	for r := range v {
		a[r] = roundInt(v[r])
	}
	return a
}

func roundInt(f float64) int64 { return int64(math.Round(f)) }
