package forecaster

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/meter"
)

// fillGaps estimates the usage in hours without records from the mean of earlier days in the
// same data centre, in proportion to the number of shards whose records are missing. A later
// forecast uses the records if they have arrived by then.
func (h *history) fillGaps(l *meter.Ledger) {
	shards := map[string]int{}
	for _, s := range l.Shards() {
		shards[meter.DataCentreOf(s)]++
	}
	for _, g := range l.Gaps(h.until-historyDays*clock.Day, h.until, recordGrace) {
		for at := g.From(); at < g.Until(); {
			day := meter.StartOfDay(at, h.zone)
			end := min(g.Until(), meter.StartOfDay(day+36*clock.Hour, h.zone))
			share := float64(end-at) / float64(meter.StartOfDay(day+36*clock.Hour, h.zone)-day) / float64(shards[g.DataCentre()])
			h.fillDay(day, g.DataCentre(), share)
			at = end
		}
	}
}

// fillDay estimates that each workload reserved a share of its mean day in a data centre, and
// adds this to the day.
func (h *history) fillDay(day clock.Millis, dataCentre string, share float64) {
	n := h.dayIndex(day)
	for _, name := range h.names() {
		p := h.workloads[name]
		reserved := p.reserved[dataCentre]
		mean := recentMean(reserved, n)
		if mean.isZero() {
			continue
		}
		v := mean.scale(share)
		if n < len(h.days) {
			p.add(dataCentre, n, len(h.days), v)
		} else {
			p.today = p.today.add(v)
		}
		h.gapFills = append(h.gapFills, gapFill{day: day, cell: meter.NewCell(dataCentre, p.team, name), amounts: p.amounts(v)})
	}
}

// dayIndex returns the index of a day in h.days, 0 for days before the history and len(h.days)
// for today.
func (h *history) dayIndex(day clock.Millis) int {
	for n, d := range h.days {
		if d >= day {
			return n
		}
	}
	return len(h.days)
}

// recentMean returns the mean of the last baselineDays days before day n, or of all days
// before it if they are fewer.
func recentMean(reserved []vector32, n int) vector {
	var sum vector
	count := 0
	for d := min(n, len(reserved)) - 1; d >= 0 && count < baselineDays; d-- {
		sum = sum.add(reserved[d].vector())
		count++
	}
	if count == 0 {
		return vector{}
	}
	return sum.scale(1 / float64(count))
}
