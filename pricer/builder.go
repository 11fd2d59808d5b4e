package pricer

import (
	"fmt"
	"math"
	"math/big"
	"math/bits"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/meter"
)

type (
	// Builder makes the bill of one month from what was held.
	Builder struct {
		table  *Table
		month  Month
		sums   map[meter.Cell]*meter.Amounts
		priced map[pricedKey]int64
		// daily is what each day costs, in millionths of the smallest unit of
		// the currency.
		daily   map[clock.Millis]int64
		missing map[priceKey]clock.Millis
	}

	// pricedKey sums amounts that have one price, so that rounding comes last.
	pricedKey struct {
		cell     meter.Cell
		resource Resource
		price    Price
	}
)

var (
	wastedOf = [Resources]meter.Field{meter.WastedProcessors, meter.WastedMemory, meter.WastedAccelerators}
)

// NewBuilder gives an empty bill.
func NewBuilder(t *Table, m Month) *Builder {
	return &Builder{
		table: t, month: m,
		sums:    map[meter.Cell]*meter.Amounts{},
		priced:  map[pricedKey]int64{},
		daily:   map[clock.Millis]int64{},
		missing: map[priceKey]clock.Millis{},
	}
}

// Add adds what a cell held, at the prices of a moment.
func (b *Builder) Add(at clock.Millis, c meter.Cell, a meter.Amounts) {
	s := b.sums[c]
	if s == nil {
		s = &meter.Amounts{}
		b.sums[c] = s
	}
	s.Add(a)
	for r := range Resources {
		b.price(at, c, r, a[r])
	}
}

func (b *Builder) price(at clock.Millis, c meter.Cell, r Resource, amount int64) {
	if amount == 0 {
		return
	}
	p, found := b.table.At(c.DataCentre(), r, at)
	if !found {
		k := priceKey{dataCentre: c.DataCentre(), resource: r}
		if first, known := b.missing[k]; !known || at < first {
			b.missing[k] = at
		}
	}
	b.priced[pricedKey{cell: c, resource: r, price: p}] += amount
	b.daily[meter.DayOf(at, b.table.zone)] += dailyMillionths(amount, p.hourlyMillionths, unitHours[r])
}

// dailyMillionths gives amount * price / unit, cut to a whole number, and 0
// where that is out of range. It is for pictures only.
func dailyMillionths(amount, price, unit int64) int64 {
	if amount < 0 {
		return -dailyMillionths(-amount, price, unit)
	}
	hi, lo := bits.Mul64(uint64(amount), uint64(price))
	if hi >= uint64(unit) {
		return 0
	}
	q, _ := bits.Div64(hi, lo, uint64(unit))
	return int64(min(q, math.MaxInt64))
}

// AddHour adds what a data centre did not reserve of what is committed, for one
// hour.
func (b *Builder) AddHour(hour clock.Millis, dataCentre string, held meter.Held) {
	var short meter.Amounts
	for r := range Resources {
		p, _ := b.table.At(dataCentre, r, hour)
		short[r] = max(0, p.committed*unitHours[r]-max(0, held[r]))
	}
	if !short.IsZero() {
		b.Add(hour, meter.NewCell(dataCentre, "", CommittedUnused), short)
	}
}

// AddDay adds a day of the ledger, whose hours have passed up to until. Where a
// day has no records, its committed use is still paid.
func (b *Builder) AddDay(start clock.Millis, d *meter.Day, until clock.Millis) {
	if d != nil {
		for _, c := range d.Cells() {
			b.Add(start, c, d.Amounts(c))
		}
	}
	end := min(until, NextDay(start, b.table.zone))
	for _, dc := range b.table.Committed() {
		var hours []meter.Held
		if d != nil {
			hours = d.Hours(dc)
		}
		for n, at := 0, start; at < end; n, at = n+1, at+clock.Hour {
			var held meter.Held
			if n < len(hours) {
				held = hours[n]
			}
			b.AddHour(at, dc, held)
		}
	}
}

// Bill gives the bill. The cost of a resource in a data centre is rounded once,
// half up, for the month; its lines share what rounding leaves, so that every
// sum of lines adds up.
func (b *Builder) Bill() *Bill {
	bill := &Bill{month: b.month, currency: b.table.currency, sums: b.sums, daily: b.daily}
	costs := b.costs()
	for _, k := range b.groups(costs) {
		bill.lines = append(bill.lines, b.group(k, costs)...)
	}
	for k, at := range b.missing {
		text := fmt.Sprintf("no price of %s in %s on %s", k.resource, k.dataCentre, dayText(at, b.table))
		bill.faults = append(bill.faults, meter.NewFault(coder.PriceMissing, -1, text))
	}
	slices.SortFunc(bill.faults, func(a, b meter.Fault) int { return compareText(a.String(), b.String()) })
	return bill
}

type (
	costKey struct {
		cell     meter.Cell
		resource Resource
	}
)

// costs gives the exact costs, in millionths of the smallest unit of the
// currency times the unit hour of the resource.
func (b *Builder) costs() map[costKey]*big.Int {
	costs := map[costKey]*big.Int{}
	for k, amount := range b.priced {
		c := costKey{cell: k.cell, resource: k.resource}
		if costs[c] == nil {
			costs[c] = new(big.Int)
		}
		n := new(big.Int).Mul(big.NewInt(amount), big.NewInt(k.price.hourlyMillionths))
		costs[c].Add(costs[c], n)
	}
	return costs
}

// groups gives the data centres and resources that cost something, in order.
func (b *Builder) groups(costs map[costKey]*big.Int) []priceKey {
	seen := map[priceKey]bool{}
	var groups []priceKey
	for c := range costs {
		k := priceKey{dataCentre: c.cell.DataCentre(), resource: c.resource}
		if !seen[k] {
			seen[k] = true
			groups = append(groups, k)
		}
	}
	slices.SortFunc(groups, comparePriceKeys)
	return groups
}

func (b *Builder) group(k priceKey, costs map[costKey]*big.Int) []Line {
	var cells []meter.Cell
	for c := range costs {
		if c.cell.DataCentre() == k.dataCentre && c.resource == k.resource {
			cells = append(cells, c.cell)
		}
	}
	slices.SortFunc(cells, meter.Cell.Compare)
	weights := make([]*big.Int, 0, len(cells))
	total := new(big.Int)
	for _, c := range cells {
		w := costs[costKey{cell: c, resource: k.resource}]
		weights = append(weights, w)
		total.Add(total, w)
	}
	whole := roundHalfUp(total, new(big.Int).Mul(big.NewInt(unitHours[k.resource]), big.NewInt(millionths)))
	lines := make([]Line, 0, len(cells))
	for n, cost := range Share(whole, weights) {
		a := *b.sums[cells[n]]
		exact, _ := new(big.Float).SetInt(weights[n]).Float64()
		lines = append(lines, Line{
			cell: cells[n], resource: k.resource, costMinor: cost,
			exact:    exact / millionths / float64(unitHours[k.resource]),
			reserved: a[k.resource], wasted: a[wastedOf[k.resource]],
			parts: split(cost, cells[n], k.resource, a),
		})
	}
	return lines
}
