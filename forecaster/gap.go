package forecaster

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/meter"
)

// fillGaps takes what a data centre usually holds for the hours that have no
// record. When the records come, they take the place of it.
func (h *history) fillGaps(l *meter.Ledger) {
	shards := map[string]int{}
	for _, s := range l.Shards() {
		shards[meter.DataCentreOf(s)]++
	}
	for _, g := range l.Gaps(h.until-historyDays*clock.Day, h.until, lateHours) {
		for at := g.From(); at < g.Until(); {
			day := meter.DayOf(at, h.zone)
			end := min(g.Until(), meter.DayOf(day+36*clock.Hour, h.zone))
			share := float64(end-at) / float64(meter.DayOf(day+36*clock.Hour, h.zone)-day) / float64(shards[g.DataCentre()])
			h.fillDay(day, g.DataCentre(), share)
			at = end
		}
	}
}

// fillDay takes a share of what a data centre usually holds on a day.
func (h *history) fillDay(day clock.Millis, dataCentre string, share float64) {
	n := h.index(day)
	for _, work := range h.names() {
		p := h.works[work]
		held := p.held[dataCentre]
		usual := usually(held, n)
		if usual.isZero() {
			continue
		}
		v := usual.times(share)
		if n < len(h.days) {
			p.add(dataCentre, n, len(h.days), v)
		} else {
			p.today = p.today.plus(v)
		}
		h.fills = append(h.fills, fill{day: day, cell: meter.NewCell(dataCentre, p.team, work), amounts: p.amounts(v)})
	}
}

// index gives the place of a day, len(h.days) for today.
func (h *history) index(day clock.Millis) int {
	for n, d := range h.days {
		if d >= day {
			return n
		}
	}
	return len(h.days)
}

// usually gives the mean of the last days before n that have something.
func usually(held []short, n int) vector {
	var sum vector
	count := 0
	for d := min(n, len(held)) - 1; d >= 0 && count < baselineDays; d-- {
		sum = sum.plus(held[d].vector())
		count++
	}
	if count == 0 {
		return vector{}
	}
	return sum.times(1 / float64(count))
}
