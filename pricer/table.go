package pricer

import (
	"cmp"
	"slices"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
)

type (
	// Resource is a billed resource: an index into arrays of length Resources.
	Resource int

	// Price is the price of a resource in a data centre from a moment on.
	Price struct {
		from clock.Millis
		// hourlyMillionths is the price of one core, GiB or accelerator for an
		// hour, in millionths of the smallest unit of the currency.
		hourlyMillionths int64
		// committed is the capacity that is paid for whether it is reserved or not, in
		// cores, GiB or accelerators.
		committed int64
		// offset is the position, in the stream "config", of the change that set
		// the price.
		offset int64
	}

	priceKey struct {
		dataCentre string
		resource   Resource
	}

	// Table holds all declared prices, past and future prices included. The prices of a
	// resource in a data centre are sorted by the time from which they apply.
	Table struct {
		zone     *time.Location
		currency string
		prices   map[priceKey][]Price
	}
)

const (
	// Processors are cores.
	Processors Resource = iota
	// Memory is main memory in GiB.
	Memory
	// Accelerators are whole devices such as GPUs.
	Accelerators
	// Resources is the number of resources.
	Resources

	defaultCurrency = "EUR"
)

var (
	resourceNames = [Resources]declarer.Resource{declarer.ResourceProcessors, declarer.ResourceMemory, declarer.ResourceAccelerators}

	// unitHours converts to the units of meter.Amounts: a core-hour is expressed in
	// millicore-milliseconds, a GiB-hour in MiB-milliseconds and an accelerator-hour in
	// milliseconds.
	unitHours = [Resources]int64{1000 * int64(clock.Hour), 1024 * int64(clock.Hour), int64(clock.Hour)}
)

// String returns the name of the resource in declarations.
func (r Resource) String() string { return string(resourceNames[r]) }

// UnitHour returns a core-hour, GiB-hour or accelerator-hour in the units of
// meter.Amounts.
func (r Resource) UnitHour() int64 { return unitHours[r] }

// NewTable returns the prices declared in a state. A price applies from midnight in the
// time zone of the declared operator. If no operator is declared, the zone is UTC and the
// currency EUR; an unknown time zone counts as UTC.
func NewTable(s *declarer.State) *Table {
	t := &Table{zone: time.UTC, currency: defaultCurrency, prices: map[priceKey][]Price{}}
	if o, declared := s.Operator(); declared {
		t.currency = o.Currency
		if z, err := time.LoadLocation(o.TimeZone); err == nil {
			t.zone = z
		}
	}
	for _, p := range s.Prices() {
		t.add(p, s.Get(declarer.KindPrice, p.Name).Version()-1)
	}
	for _, prices := range t.prices {
		slices.SortFunc(prices, func(a, b Price) int { return cmp.Compare(a.from, b.from) })
	}
	return t
}

func (t *Table) add(p declarer.Price, offset int64) {
	from, err := time.ParseInLocation(declarer.DateLayout, p.From, t.zone)
	r := slices.Index(resourceNames[:], p.Resource)
	if err != nil || r < 0 {
		return
	}
	k := priceKey{dataCentre: p.DataCentre, resource: Resource(r)}
	t.prices[k] = append(t.prices[k], Price{
		from: clock.FromTime(from), hourlyMillionths: p.HourlyMillionths, committed: p.Committed, offset: offset,
	})
}

// Zone returns the time zone in which days and months of the bill begin.
func (t *Table) Zone() *time.Location { return t.zone }

// Currency returns the ISO 4217 code of the bill's currency.
func (t *Table) Currency() string { return t.currency }

// PriceAt returns the price in force at a moment, and reports whether a price is in force.
func (t *Table) PriceAt(dataCentre string, r Resource, at clock.Millis) (Price, bool) {
	prices := t.prices[priceKey{dataCentre: dataCentre, resource: r}]
	n, exact := slices.BinarySearchFunc(prices, at, func(p Price, at clock.Millis) int { return cmp.Compare(p.from, at) })
	if !exact {
		n--
	}
	if n < 0 {
		return Price{}, false
	}
	return prices[n], true
}

// CommittedDataCentres returns the names of the data centres with a commitment in any of their
// prices, past and future prices included. The names are sorted.
func (t *Table) CommittedDataCentres() []string {
	var names []string
	for k, prices := range t.prices {
		if slices.ContainsFunc(prices, func(p Price) bool { return p.committed > 0 }) {
			names = append(names, k.dataCentre)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// HourlyMillionths returns the price of one core, GiB or accelerator for an hour, in
// millionths of the smallest unit of the currency.
func (p Price) HourlyMillionths() int64 { return p.hourlyMillionths }

// Offset returns the offset of the change that set the price, in the stream "config".
func (p Price) Offset() int64 { return p.offset }
