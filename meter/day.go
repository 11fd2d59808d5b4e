package meter

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// HourlyReserved is the processors, memory and accelerators that were reserved in a data
	// centre during one hour: the first three fields of Amounts, in their units.
	HourlyReserved [3]int64

	// Day is the usage of one day in the operator's time zone. An hour belongs to the
	// day in which it begins.
	Day struct {
		start clock.Millis
		cells map[Cell]Amounts
		// hours holds the reservations by data centre. Its slices are indexed by the
		// hours since start.
		hours map[string][]HourlyReserved
	}
)

func newDay(start clock.Millis) *Day {
	return &Day{start: start, cells: map[Cell]Amounts{}, hours: map[string][]HourlyReserved{}}
}

// Start returns the beginning of the day.
func (d *Day) Start() clock.Millis { return d.start }

// Amounts returns the day's usage of a cell, zero if it has none.
func (d *Day) Amounts(c Cell) Amounts { return d.cells[c] }

// Cells returns the cells that have usage on the day, sorted.
func (d *Day) Cells() []Cell {
	cells := make([]Cell, 0, len(d.cells))
	for c := range d.cells {
		cells = append(cells, c)
	}
	slices.SortFunc(cells, Cell.Compare)
	return cells
}

// Hours returns the reservations in a data centre, indexed by the hours since the day's
// start. Hours after the last one with usage are left out.
func (d *Day) Hours(dataCentre string) []HourlyReserved { return d.hours[dataCentre] }

// DataCentres returns the names of the data centres that have usage on the day, sorted.
func (d *Day) DataCentres() []string {
	names := make([]string, 0, len(d.hours))
	for n := range d.hours {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// add adds the usage of a cell in the hour that begins at hour.
func (d *Day) add(hour clock.Millis, c Cell, a Amounts) {
	s := d.cells[c]
	s.Add(a)
	d.cells[c] = s
	n := int((hour - d.start) / clock.Hour)
	hours := d.hours[c.dataCentre]
	for len(hours) <= n {
		hours = append(hours, HourlyReserved{})
	}
	for r := range hours[n] {
		hours[n][r] += a[r]
	}
	d.hours[c.dataCentre] = hours
}
