package meter

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Held is what a data centre reserved in an hour: processors, memory and
	// accelerators, in the units of Amounts.
	Held [3]int64

	// Day is the sums of one day in the operator's time zone. Hours belong to
	// the day in which they begin.
	Day struct {
		start clock.Millis
		cells map[Cell]Amounts
		// hours is what each data centre reserved, by the hour from start.
		hours map[string][]Held
	}
)

func newDay(start clock.Millis) *Day {
	return &Day{start: start, cells: map[Cell]Amounts{}, hours: map[string][]Held{}}
}

// Start gives the day's beginning.
func (d *Day) Start() clock.Millis { return d.start }

// Amounts gives the sums of a cell.
func (d *Day) Amounts(c Cell) Amounts { return d.cells[c] }

// Cells gives the cells that have sums, in order.
func (d *Day) Cells() []Cell {
	cells := make([]Cell, 0, len(d.cells))
	for c := range d.cells {
		cells = append(cells, c)
	}
	slices.SortFunc(cells, Cell.Compare)
	return cells
}

// Hours gives what a data centre reserved, by the hour from the day's start.
func (d *Day) Hours(dataCentre string) []Held { return d.hours[dataCentre] }

// DataCentres gives the data centres that have sums, in order.
func (d *Day) DataCentres() []string {
	names := make([]string, 0, len(d.hours))
	for n := range d.hours {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func (d *Day) add(hour clock.Millis, c Cell, a Amounts) {
	s := d.cells[c]
	s.Add(a)
	d.cells[c] = s
	n := int((hour - d.start) / clock.Hour)
	hours := d.hours[c.dataCentre]
	for len(hours) <= n {
		hours = append(hours, Held{})
	}
	for r := range hours[n] {
		hours[n][r] += a[r]
	}
	d.hours[c.dataCentre] = hours
}
