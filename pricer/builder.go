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
	// Builder accumulates the reservations of one month and makes its bill.
	Builder struct {
		table          *Table
		month          Month
		amounts        map[meter.Cell]*meter.Amounts
		amountsByPrice map[amountKey]int64
		// dailyCost is the cost of each day by the start of the day, in millionths of
		// the smallest unit of the currency.
		dailyCost map[clock.Millis]int64
		// missingPrices holds the earliest time at which each missing price was needed.
		missingPrices map[priceKey]clock.Millis
	}

	// amountKey identifies the amounts of a cell and resource that have the same price.
	amountKey struct {
		cell     meter.Cell
		resource Resource
		price    Price
	}
)

var (
	wastedFields = [Resources]meter.Field{meter.WastedProcessors, meter.WastedMemory, meter.WastedAccelerators}
)

// NewBuilder returns a builder of an empty bill.
func NewBuilder(t *Table, m Month) *Builder {
	return &Builder{
		table: t, month: m,
		amounts:        map[meter.Cell]*meter.Amounts{},
		amountsByPrice: map[amountKey]int64{},
		dailyCost:      map[clock.Millis]int64{},
		missingPrices:  map[priceKey]clock.Millis{},
	}
}

// Add adds the amounts of a cell at the prices in force at a moment.
func (b *Builder) Add(at clock.Millis, c meter.Cell, a meter.Amounts) {
	s := b.amounts[c]
	if s == nil {
		s = &meter.Amounts{}
		b.amounts[c] = s
	}
	s.Add(a)
	for r := range Resources {
		b.addResource(at, c, r, a[r])
	}
}

func (b *Builder) addResource(at clock.Millis, c meter.Cell, r Resource, amount int64) {
	if amount == 0 {
		return
	}
	p, found := b.table.PriceAt(c.DataCentre(), r, at)
	if !found {
		k := priceKey{dataCentre: c.DataCentre(), resource: r}
		if first, known := b.missingPrices[k]; !known || at < first {
			b.missingPrices[k] = at
		}
	}
	b.amountsByPrice[amountKey{cell: c, resource: r, price: p}] += amount
	b.dailyCost[meter.StartOfDay(at, b.table.zone)] += costMillionths(amount, p.hourlyMillionths, unitHours[r])
}

// costMillionths returns amount * price / unit, truncated to a whole number. A result from
// 2^63 to 2^64-1 becomes math.MaxInt64, and a larger one 0; for a negative amount the same
// holds with the sign reversed. The daily costs that it makes up are used for plots only.
func costMillionths(amount, price, unit int64) int64 {
	if amount < 0 {
		return -costMillionths(-amount, price, unit)
	}
	hi, lo := bits.Mul64(uint64(amount), uint64(price))
	if hi >= uint64(unit) {
		return 0
	}
	q, _ := bits.Div64(hi, lo, uint64(unit))
	return int64(min(q, math.MaxInt64))
}

// AddUnusedCommitment adds the unused commitments of a data centre for one hour: what is committed
// beyond what is reserved.
func (b *Builder) AddUnusedCommitment(hour clock.Millis, dataCentre string, reserved meter.HourlyReserved) {
	var unused meter.Amounts
	for r := range Resources {
		p, _ := b.table.PriceAt(dataCentre, r, hour)
		unused[r] = max(0, p.committed*unitHours[r]-max(0, reserved[r]))
	}
	if !unused.IsZero() {
		b.Add(hour, meter.NewCell(dataCentre, "", CommittedUnused), unused)
	}
}

// AddDay adds the recorded usage of a day, and the unused commitments of its hours before
// until, which is the end of the records of the meter.Ledger. d is nil for a day without records, whose
// commitments are billed in full.
func (b *Builder) AddDay(start clock.Millis, d *meter.Day, until clock.Millis) {
	if d != nil {
		for _, c := range d.Cells() {
			b.Add(start, c, d.Amounts(c))
		}
	}
	end := min(until, NextDay(start, b.table.zone))
	for _, dc := range b.table.CommittedDataCentres() {
		var hours []meter.HourlyReserved
		if d != nil {
			hours = d.Hours(dc)
		}
		for n, at := 0, start; at < end; n, at = n+1, at+clock.Hour {
			var reserved meter.HourlyReserved
			if n < len(hours) {
				reserved = hours[n]
			}
			b.AddUnusedCommitment(at, dc, reserved)
		}
	}
}

// Bill returns the bill. The cost of a resource in a data centre is rounded half up once
// for the month and then apportioned to its lines, so that the lines add up to it.
func (b *Builder) Bill() *Bill {
	bill := &Bill{month: b.month, currency: b.table.currency, amounts: b.amounts, dailyCost: b.dailyCost}
	costs := b.exactCosts()
	for _, k := range b.billedResources(costs) {
		bill.lines = append(bill.lines, b.resourceLines(k, costs)...)
	}
	for k, at := range b.missingPrices {
		text := fmt.Sprintf("no price of %s in %s on %s", k.resource, k.dataCentre, formatDay(at, b.table))
		bill.faults = append(bill.faults, meter.NewFault(coder.PriceMissing, -1, text))
	}
	slices.SortFunc(bill.faults, func(a, b meter.Fault) int { return compareStrings(a.String(), b.String()) })
	return bill
}

type (
	costKey struct {
		cell     meter.Cell
		resource Resource
	}
)

// exactCosts returns the costs as exact integers. A cost in the smallest unit of the
// currency is multiplied by a million and by the unitHours of the resource.
func (b *Builder) exactCosts() map[costKey]*big.Int {
	costs := map[costKey]*big.Int{}
	for k, amount := range b.amountsByPrice {
		c := costKey{cell: k.cell, resource: k.resource}
		if costs[c] == nil {
			costs[c] = new(big.Int)
		}
		n := new(big.Int).Mul(big.NewInt(amount), big.NewInt(k.price.hourlyMillionths))
		costs[c].Add(costs[c], n)
	}
	return costs
}

// billedResources returns the pairs of data centre and resource that have costs, sorted.
func (b *Builder) billedResources(costs map[costKey]*big.Int) []priceKey {
	seen := map[priceKey]bool{}
	var keys []priceKey
	for c := range costs {
		k := priceKey{dataCentre: c.cell.DataCentre(), resource: c.resource}
		if !seen[k] {
			seen[k] = true
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, comparePriceKeys)
	return keys
}

func (b *Builder) resourceLines(k priceKey, costs map[costKey]*big.Int) []Line {
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
	costMinor := roundHalfUp(total, new(big.Int).Mul(big.NewInt(unitHours[k.resource]), big.NewInt(millionths)))
	lines := make([]Line, 0, len(cells))
	for n, cost := range Apportion(costMinor, weights) {
		a := *b.amounts[cells[n]]
		exact, _ := new(big.Float).SetInt(weights[n]).Float64()
		lines = append(lines, Line{
			cell: cells[n], resource: k.resource, costMinor: cost,
			exact:    exact / millionths / float64(unitHours[k.resource]),
			reserved: a[k.resource], wasted: a[wastedFields[k.resource]],
			parts: splitCost(cost, cells[n], k.resource, a),
		})
	}
	return lines
}
