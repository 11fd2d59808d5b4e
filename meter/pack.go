package meter

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// columns reads numbers that were packed; after the end it gives zeros.
	columns struct {
		data []byte
	}
)

const (
	// maxPacked bounds an unpacked day, in bytes.
	maxPacked = 64 << 20
	// maxHours is the most hours of a day: a day on which clocks go back.
	maxHours = 26
)

// pack gives a day in columns: the numbers of its cells, then each amount of
// all cells, then the hours of each data centre. Most amounts are like those
// of the cell before, or 0, so that they pack well.
func (l *Ledger) pack(d *Day) []byte {
	numbers := make([]uint32, 0, len(d.cells))
	for c := range d.cells {
		numbers = append(numbers, l.intern(c))
	}
	slices.Sort(numbers)
	b := binary.AppendUvarint(nil, uint64(len(numbers)))
	last := uint32(0)
	for _, n := range numbers {
		b = binary.AppendUvarint(b, uint64(n-last))
		last = n
	}
	for f := range Fields {
		for _, n := range numbers {
			b = binary.AppendVarint(b, d.cells[l.cells[n]][f])
		}
	}
	b = binary.AppendUvarint(b, uint64(len(d.hours)))
	for _, dc := range d.DataCentres() {
		b = binary.AppendUvarint(b, uint64(len(dc)))
		b = append(b, dc...)
		b = appendHours(b, d.hours[dc])
	}
	return deflate(b)
}

func appendHours(b []byte, hours []Held) []byte {
	b = binary.AppendUvarint(b, uint64(len(hours)))
	for _, h := range hours {
		for _, n := range h {
			b = binary.AppendVarint(b, n)
		}
	}
	return b
}

// unpack gives a packed day; a damaged one gives what could be read of it.
func (l *Ledger) unpack(start clock.Millis, packed []byte) *Day {
	d := newDay(start)
	data, _ := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPacked))
	c := &columns{data: data}
	n := int(min(c.count(), uint64(len(l.cells))))
	cells := make([]Cell, 0, n)
	last := uint64(0)
	for range n {
		last += c.count()
		if last >= uint64(len(l.cells)) {
			return d
		}
		cells = append(cells, l.cells[last])
	}
	sums := make([]Amounts, len(cells))
	for f := range Fields {
		for n := range sums {
			sums[n][f] = c.number()
		}
	}
	for n, cell := range cells {
		d.cells[cell] = sums[n]
	}
	for range min(c.count(), uint64(len(c.data))) {
		dc := c.text()
		d.hours[dc] = c.hours()
	}
	return d
}

func (c *columns) count() uint64 {
	n, size := binary.Uvarint(c.data)
	if size <= 0 {
		c.data = nil
		return 0
	}
	c.data = c.data[size:]
	return n
}

func (c *columns) number() int64 {
	n, size := binary.Varint(c.data)
	if size <= 0 {
		c.data = nil
		return 0
	}
	c.data = c.data[size:]
	return n
}

func (c *columns) text() string {
	n := min(c.count(), uint64(len(c.data)))
	t := string(c.data[:n])
	c.data = c.data[n:]
	return t
}

func (c *columns) hours() []Held {
	hours := make([]Held, min(c.count(), maxHours))
	for i := range hours {
		for r := range hours[i] {
			hours[i][r] = c.number()
		}
	}
	return hours
}

func deflate(b []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil
	}
	_, _ = w.Write(b)
	_ = w.Close()
	return bytes.Clone(out.Bytes())
}
