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
	// columnReader decodes a packed day; past the end of the data it returns zeros.
	columnReader struct {
		data []byte
	}
)

const (
	// maxUnpackedBytes limits the size of an unpacked day, since damaged data could
	// decompress to any size.
	maxUnpackedBytes = 64 << 20
	// maxDayHours limits the hours of a day, which has more than 24 if clocks go back.
	maxDayHours = 26
)

// pack returns a day as compressed columns: the indexes of its cells, then field by
// field the amounts of all cells, then the hours of each data centre. Many amounts of
// a field are 0 or like those of the cell before, so columns compress better than rows.
func (l *Ledger) pack(d *Day) []byte {
	indexes := make([]uint32, 0, len(d.cells))
	for c := range d.cells {
		indexes = append(indexes, l.intern(c))
	}
	slices.Sort(indexes)
	b := binary.AppendUvarint(nil, uint64(len(indexes)))
	previous := uint32(0)
	for _, n := range indexes {
		b = binary.AppendUvarint(b, uint64(n-previous))
		previous = n
	}
	for f := range Fields {
		for _, n := range indexes {
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

func appendHours(b []byte, hours []HourlyReserved) []byte {
	b = binary.AppendUvarint(b, uint64(len(hours)))
	for _, h := range hours {
		for _, n := range h {
			b = binary.AppendVarint(b, n)
		}
	}
	return b
}

// unpack returns a packed day. If the data is damaged, it returns the part that it can
// read.
func (l *Ledger) unpack(start clock.Millis, packed []byte) *Day {
	d := newDay(start)
	data, _ := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes))
	c := &columnReader{data: data}
	n := int(min(c.uvarint(), uint64(len(l.cells))))
	cells := make([]Cell, 0, n)
	last := uint64(0)
	for range n {
		last += c.uvarint()
		if last >= uint64(len(l.cells)) {
			return d
		}
		cells = append(cells, l.cells[last])
	}
	sums := make([]Amounts, len(cells))
	for f := range Fields {
		for n := range sums {
			sums[n][f] = c.varint()
		}
	}
	for n, cell := range cells {
		d.cells[cell] = sums[n]
	}
	for range min(c.uvarint(), uint64(len(c.data))) {
		dc := c.text()
		d.hours[dc] = c.hours()
	}
	return d
}

func (c *columnReader) uvarint() uint64 {
	n, size := binary.Uvarint(c.data)
	if size <= 0 {
		c.data = nil
		return 0
	}
	c.data = c.data[size:]
	return n
}

func (c *columnReader) varint() int64 {
	n, size := binary.Varint(c.data)
	if size <= 0 {
		c.data = nil
		return 0
	}
	c.data = c.data[size:]
	return n
}

func (c *columnReader) text() string {
	n := min(c.uvarint(), uint64(len(c.data)))
	t := string(c.data[:n])
	c.data = c.data[n:]
	return t
}

func (c *columnReader) hours() []HourlyReserved {
	hours := make([]HourlyReserved, min(c.uvarint(), maxDayHours))
	for i := range hours {
		for r := range hours[i] {
			hours[i][r] = c.varint()
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
