package pricer

import (
	"cmp"
	"slices"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
)

type (
	// Resource is a place in Resources.
	Resource int

	// Price is what a resource costs in a data centre from a moment on.
	Price struct {
		from clock.Millis
		// hourlyMillionths is the price of one unit for an hour, in millionths of
		// the smallest unit of the currency.
		hourlyMillionths int64
		// committed is in units.
		committed int64
		offset    int64
	}

	priceKey struct {
		dataCentre string
		resource   Resource
	}

	// Table is every price in force or to come.
	Table struct {
		zone     *time.Location
		currency string
		prices   map[priceKey][]Price
	}
)

const (
	// Processors is the place of processors in Resources.
	Processors Resource = iota
	// Memory is the place of memory.
	Memory
	// Accelerators is the place of accelerators.
	Accelerators
	// Resources is the number of resources.
	Resources

	defaultCurrency = "EUR"
)

var (
	resourceNames = [Resources]declarer.Resource{declarer.ResourceProcessors, declarer.ResourceMemory, declarer.ResourceAccelerators}

	// unitHours is a core-hour in thousandths of a core times milliseconds, a
	// GiB-hour in MiB times milliseconds, and an accelerator-hour.
	unitHours = [Resources]int64{1000 * int64(clock.Hour), 1024 * int64(clock.Hour), int64(clock.Hour)}
)

// String gives the resource as it stands in declarations.
func (r Resource) String() string { return string(resourceNames[r]) }

// UnitHour gives an hour of one core, GiB or accelerator in the units of
// meter.Amounts.
func (r Resource) UnitHour() int64 { return unitHours[r] }

// NewTable gives the prices of a state, by the days of the operator's time
// zone; UTC and EUR where no operator is declared.
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

// Zone gives the operator's time zone.
func (t *Table) Zone() *time.Location { return t.zone }

// Currency gives the operator's currency.
func (t *Table) Currency() string { return t.currency }

// At gives the price in force at a moment, and whether there is one.
func (t *Table) At(dataCentre string, r Resource, at clock.Millis) (Price, bool) {
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

// Committed gives the data centres in which something is committed.
func (t *Table) Committed() []string {
	var names []string
	for k, prices := range t.prices {
		if slices.ContainsFunc(prices, func(p Price) bool { return p.committed > 0 }) {
			names = append(names, k.dataCentre)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// HourlyMillionths gives the price of one unit for an hour, in millionths of
// the smallest unit of the currency.
func (p Price) HourlyMillionths() int64 { return p.hourlyMillionths }

// Offset gives the offset in the stream "config" of the change that set the
// price.
func (p Price) Offset() int64 { return p.offset }
