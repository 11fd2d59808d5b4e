// Package pricer computes the bill of a month from the resources reserved in it. A work
// is a service or job; a cell (meter.Cell) is a team's work in a data centre.
//
// Amounts are kept exact until the last step: they are summed up separately for each
// price, and only the monthly cost of a resource in a data centre is rounded, half up, to
// the smallest unit of the currency. That cost is apportioned to its lines (one for each
// team and work) by the largest remainder method, and the cost of a line to its parts
// (wasted, used, throttled, idle) likewise. So lines always add up to the total, however
// they are grouped.
package pricer

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/meter"
)

type (
	// Bill is the cost of one month, in lines.
	Bill struct {
		month     Month
		currency  string
		lines     []Line
		amounts   map[meter.Cell]*meter.Amounts
		faults    []meter.Fault
		dailyCost map[clock.Millis]int64
	}

	// Grouping is the attribute by which lines are grouped.
	Grouping string
)

const (
	// ByTeam groups by team, and the unused commitments under CommittedUnused.
	ByTeam Grouping = "team"
	// ByWork groups by service or job.
	ByWork Grouping = "work"
	// ByDataCentre groups by data centre name.
	ByDataCentre Grouping = "data-centre"
	// ByResource groups by resource: processors, memory or accelerators.
	ByResource Grouping = "resource"

	millionths = 1_000_000
)

// Month returns the month that the bill is for.
func (b *Bill) Month() Month { return b.month }

// Currency returns the ISO 4217 code of the bill's currency.
func (b *Bill) Currency() string { return b.currency }

// Lines returns the lines, one for each data centre, resource, team and work.
func (b *Bill) Lines() []Line { return b.lines }

// Amounts returns the amounts of a cell, summed up over the month; zeros for an unknown
// cell.
func (b *Bill) Amounts(c meter.Cell) meter.Amounts {
	if s := b.amounts[c]; s != nil {
		return *s
	}
	return meter.Amounts{}
}

// CumulativeMinor returns the cumulative cost at the end of each day of the month, in the
// smallest unit of the currency. The last value equals TotalMinor; the others are rounded
// independently of the lines.
func (b *Bill) CumulativeMinor() []int64 {
	days := b.month.Days()
	sums := make([]int64, len(days))
	sum := int64(0)
	for n, d := range days {
		sum += b.dailyCost[d]
		sums[n] = (sum + millionths/2) / millionths
	}
	sums[len(sums)-1] = b.TotalMinor()
	return sums
}

// Faults returns a fault for each resource of a data centre that was reserved at a time
// for which no price is declared. Such a reservation is billed at 0.
func (b *Bill) Faults() []meter.Fault { return b.faults }

// TotalMinor returns the total cost in the smallest unit of the currency.
func (b *Bill) TotalMinor() int64 {
	total := int64(0)
	for _, l := range b.lines {
		total += l.costMinor
	}
	return total
}

var (
	partNames = [Parts]string{"wasted", "used", "throttled", "idle"}
)

// String returns the part's name in reports.
func (p Part) String() string { return partNames[p] }

// PartMinor returns the part p of the total cost, in the smallest unit of the currency.
func (b *Bill) PartMinor(p Part) int64 {
	total := int64(0)
	for _, l := range b.lines {
		total += l.parts[p]
	}
	return total
}

// GroupMinor returns the cost of each group by its name, in the smallest unit of the
// currency.
func (b *Bill) GroupMinor(by Grouping) map[string]int64 {
	groups := map[string]int64{}
	for _, l := range b.lines {
		groups[by.GroupName(l.cell, l.resource)] += l.costMinor
	}
	return groups
}

// GroupName returns the name of the group that a resource of a cell belongs to.
func (b Grouping) GroupName(c meter.Cell, r Resource) string {
	switch b {
	case ByWork:
		return c.Workload()
	case ByDataCentre:
		return c.DataCentre()
	case ByResource:
		return r.String()
	}
	if c.Workload() == CommittedUnused {
		return CommittedUnused
	}
	return c.Team()
}

// Valid reports whether b is a known grouping.
func (b Grouping) Valid() bool {
	return slices.Contains([]Grouping{ByTeam, ByWork, ByDataCentre, ByResource}, b)
}

// Actual returns the bill of a month from the usage recorded in the ledger so far.
func Actual(l *meter.Ledger, t *Table, m Month) *Bill {
	b := NewBuilder(t, m)
	AddActual(b, l, m)
	return b.Bill()
}

// AddActual adds the recorded usage of a month. Days without records are added too if
// the ledger covers them, since their commitments are billed.
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

func compareStrings(a, b string) int { return cmp.Compare(a, b) }

func formatDay(at clock.Millis, t *Table) string {
	return at.Time().In(t.zone).Format(declarer.DateLayout)
}
