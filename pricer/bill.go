// Package pricer gives what was held in a month its price.
//
// Amounts are exact up to the last step: they are summed under each price, and
// only the cost of one resource in one data centre is rounded, half up, to the
// smallest unit of the currency. The lines below it (team and work) share the
// rounded cost by largest remainder, and the parts of a line (wasted, used,
// throttled, idle) share the line's; so lines always add up to the whole, by
// whatever they are grouped.
package pricer

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/meter"
)

type (
	// Bill is the cost of one month.
	Bill struct {
		month    Month
		currency string
		lines    []Line
		sums     map[meter.Cell]*meter.Amounts
		faults   []meter.Fault
		daily    map[clock.Millis]int64
	}

	// By is what lines are grouped by.
	By string
)

const (
	// ByTeam groups by team.
	ByTeam By = "team"
	// ByWork groups by service or job.
	ByWork By = "work"
	// ByDataCentre groups by data centre.
	ByDataCentre By = "data-centre"
	// ByResource groups by resource.
	ByResource By = "resource"

	millionths = 1_000_000
)

// Month gives the month.
func (b *Bill) Month() Month { return b.month }

// Currency gives the currency.
func (b *Bill) Currency() string { return b.currency }

// Lines gives the finest lines, by data centre, resource, team and work.
func (b *Bill) Lines() []Line { return b.lines }

// Amounts gives what a cell held.
func (b *Bill) Amounts(c meter.Cell) meter.Amounts {
	if s := b.sums[c]; s != nil {
		return *s
	}
	return meter.Amounts{}
}

// UpToMinor gives what the month costs up to the end of each of its days. The last
// is the whole; the others are rounded by themselves.
func (b *Bill) UpToMinor() []int64 {
	days := b.month.Days()
	sums := make([]int64, len(days))
	sum := int64(0)
	for n, d := range days {
		sum += b.daily[d]
		sums[n] = (sum + millionths/2) / millionths
	}
	sums[len(sums)-1] = b.TotalMinor()
	return sums
}

// Faults gives what has no price.
func (b *Bill) Faults() []meter.Fault { return b.faults }

// TotalMinor gives the whole cost in the smallest unit of the currency.
func (b *Bill) TotalMinor() int64 {
	total := int64(0)
	for _, l := range b.lines {
		total += l.costMinor
	}
	return total
}

// Names of parts.
var (
	partNames = [Parts]string{"wasted", "used", "throttled", "idle"}
)

// String gives the part's name.
func (p Part) String() string { return partNames[p] }

// PartMinor gives what part of the whole cost went for p.
func (b *Bill) PartMinor(p Part) int64 {
	total := int64(0)
	for _, l := range b.lines {
		total += l.parts[p]
	}
	return total
}

// GroupMinor gives the cost of each group.
func (b *Bill) GroupMinor(by By) map[string]int64 {
	groups := map[string]int64{}
	for _, l := range b.lines {
		groups[by.Of(l.cell, l.resource)] += l.costMinor
	}
	return groups
}

// Of gives the name of the group that a resource of a cell belongs to.
func (b By) Of(c meter.Cell, r Resource) string {
	switch b {
	case ByWork:
		return c.Work()
	case ByDataCentre:
		return c.DataCentre()
	case ByResource:
		return r.String()
	}
	if c.Work() == CommittedUnused {
		return CommittedUnused
	}
	return c.Team()
}

// Valid tells whether b is something to group by.
func (b By) Valid() bool {
	return slices.Contains([]By{ByTeam, ByWork, ByDataCentre, ByResource}, b)
}

// Actual gives the bill of a month as far as the ledger knows it.
func Actual(l *meter.Ledger, t *Table, m Month) *Bill {
	b := NewBuilder(t, m)
	AddActual(b, l, m)
	return b.Bill()
}

// AddActual adds what the ledger knows of a month.
func AddActual(b *Builder, l *meter.Ledger, m Month) {
	seen := map[clock.Millis]bool{}
	l.Each(m.Start(), m.End(), func(d *meter.Day) {
		seen[d.Start()] = true
		b.AddDay(d.Start(), d, l.Until())
	})
	for _, start := range m.Days() {
		if !seen[start] && start >= l.First() && start < l.Until() {
			b.AddDay(start, nil, l.Until())
		}
	}
}

func comparePriceKeys(a, b priceKey) int {
	return cmp.Or(cmp.Compare(a.dataCentre, b.dataCentre), cmp.Compare(a.resource, b.resource))
}

func compareText(a, b string) int { return cmp.Compare(a, b) }

func dayText(at clock.Millis, t *Table) string {
	return at.Time().In(t.zone).Format(declarer.DateLayout)
}
