package meter

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Ledger sums the usage records of all shards by day and cell. Days older than
	// unpackedAge are kept compressed ("packed").
	Ledger struct {
		zone          *time.Location
		nextOffset    int64
		recordedUntil clock.Millis
		// lastCompacted is the newest day for which compact was called.
		lastCompacted clock.Millis
		shards        map[string]map[clock.Millis]countedRecord
		days          map[clock.Millis]*storedDay
		// cells holds every cell that was ever added; cellIndex holds the indexes.
		cells     []Cell
		cellIndex map[Cell]uint32
	}

	// countedRecord identifies the record that was summed for a shard and hour, which is
	// the first one in the stream.
	countedRecord struct {
		offset int64
		digest uint64
	}

	// storedDay holds a day, packed if it is older than unpackedAge.
	storedDay struct {
		unpacked *Day
		packed   []byte
	}

	// Gap is a sequence of hours for which a shard has no usage records.
	Gap struct {
		shard string
		from  clock.Millis
		until clock.Millis
	}
)

const (
	// Retention is how long the sums of a day are kept: 13 months.
	Retention = 13 * 31 * clock.Day
	// maxRecordAge is how much older than the newest record a record may be to be
	// summed. The hours that have a record are remembered for as long, to recognize
	// duplicates.
	maxRecordAge = 70 * clock.Day
	// unpackedAge is the age at which a day is packed.
	unpackedAge = 3 * clock.Day
)

// NewLedger returns an empty ledger whose days begin at midnight in zone.
func NewLedger(zone *time.Location) *Ledger {
	return &Ledger{
		zone:      zone,
		shards:    map[string]map[clock.Millis]countedRecord{},
		days:      map[clock.Millis]*storedDay{},
		cellIndex: map[Cell]uint32{},
	}
}

// Zone returns the time zone of the days.
func (l *Ledger) Zone() *time.Location { return l.zone }

// Next returns the first offset of the stream "usage" that the ledger has not read.
func (l *Ledger) Next() int64 { return l.nextOffset }

// Until returns the end of the latest hour of which any shard has a record, 0 if there
// is none.
func (l *Ledger) Until() clock.Millis { return l.recordedUntil }

// Add adds the record at an offset of the stream "usage" to the sums and reports whether it
// was added. Only the first record of a shard and hour is added, and offsets before Next are
// skipped. It returns a fault of code UsageDiffers for a later record of the same hour with
// other amounts, and UsageTooOld for a record that is more than 70 days older than the newest
// one.
func (l *Ledger) Add(offset int64, u *schema.Usage) (bool, *Fault) {
	if offset < l.nextOffset {
		return false, nil
	}
	l.nextOffset = offset + 1
	h := hourStart(clock.Millis(u.GetHourMillis()))
	d := digestOf(u)
	if counted, duplicate := l.shards[u.GetShard()][h]; duplicate {
		if counted.digest == d {
			return false, nil
		}
		f := NewFault(coder.UsageDiffers, offset, fmt.Sprintf("usage of %s at %s differs from the record at offset %d, which was counted", u.GetShard(), h, counted.offset))
		return false, &f
	}
	if h < l.recordedUntil-maxRecordAge {
		f := NewFault(coder.UsageTooOld, offset, fmt.Sprintf("usage of %s at %s is too late to be counted", u.GetShard(), h))
		return false, &f
	}
	l.markCounted(u.GetShard(), h, countedRecord{offset: offset, digest: d})
	l.addUsage(h, u)
	return true, nil
}

// IsCounted reports whether the record at an offset is the one that was summed for its shard
// and hour. Unlike the result of Add, it stays the same when the stream is read again.
func (l *Ledger) IsCounted(offset int64, u *schema.Usage) bool {
	m, known := l.shards[u.GetShard()][hourStart(clock.Millis(u.GetHourMillis()))]
	return known && m.offset == offset
}

func (l *Ledger) markCounted(shard string, h clock.Millis, m countedRecord) {
	if l.shards[shard] == nil {
		l.shards[shard] = map[clock.Millis]countedRecord{}
	}
	l.shards[shard][h] = m
}

func (l *Ledger) addUsage(h clock.Millis, u *schema.Usage) {
	start := StartOfDay(h, l.zone)
	day := l.loadDay(start)
	dc := DataCentreOf(u.GetShard())
	for _, line := range u.GetLines() {
		c := NewCell(dc, line.GetTeam(), line.GetWork())
		l.intern(c)
		day.add(h, c, AmountsOf(line))
	}
	l.storeDay(day)
	l.recordedUntil = max(l.recordedUntil, h+clock.Hour)
	if start > l.lastCompacted {
		l.lastCompacted = start
		l.compact()
	}
}

// intern returns the index of a cell in l.cells and appends the cell if it is new. Packed
// days refer to cells by these indexes.
func (l *Ledger) intern(c Cell) uint32 {
	n, known := l.cellIndex[c]
	if !known {
		n = uint32(len(l.cells))
		l.cells = append(l.cells, c)
		l.cellIndex[c] = n
	}
	return n
}

// loadDay returns a day, unpacked, or an empty day if the ledger doesn't have it.
func (l *Ledger) loadDay(start clock.Millis) *Day {
	s := l.days[start]
	if s == nil {
		return newDay(start)
	}
	if s.unpacked != nil {
		return s.unpacked
	}
	return l.unpack(start, s.packed)
}

// storeDay replaces a day in the ledger, packed if it is older than unpackedAge.
func (l *Ledger) storeDay(d *Day) {
	if d.start < l.recordedUntil-unpackedAge {
		l.days[d.start] = &storedDay{packed: l.pack(d)}
		return
	}
	l.days[d.start] = &storedDay{unpacked: d}
}

// compact packs days older than unpackedAge and drops days and hours that are past
// their retention.
func (l *Ledger) compact() {
	for start, s := range l.days {
		switch {
		case start < l.recordedUntil-Retention:
			delete(l.days, start)
		case s.unpacked != nil && start < l.recordedUntil-unpackedAge:
			s.packed, s.unpacked = l.pack(s.unpacked), nil
		}
	}
	for _, hours := range l.shards {
		maps.DeleteFunc(hours, func(h clock.Millis, _ countedRecord) bool { return h < l.recordedUntil-maxRecordAge })
	}
}

// Days returns the days that begin in [from, until), in order.
func (l *Ledger) Days(from, until clock.Millis) []*Day {
	var days []*Day
	l.Each(from, until, func(d *Day) { days = append(days, d) })
	return days
}

// Each calls visit with each day that begins in [from, until), in order. It unpacks one
// day at a time, to save memory.
func (l *Ledger) Each(from, until clock.Millis, visit func(*Day)) {
	for _, start := range slices.Sorted(maps.Keys(l.days)) {
		if start >= from && start < until {
			visit(l.loadDay(start))
		}
	}
}

// UpTo returns a read-only copy of the ledger with only the hours and days before day.
// Records of these hours are included even if they arrived after day began.
func (l *Ledger) UpTo(day clock.Millis) *Ledger {
	b := *l
	b.recordedUntil = min(l.recordedUntil, day)
	b.days = maps.Clone(l.days)
	maps.DeleteFunc(b.days, func(start clock.Millis, _ *storedDay) bool { return start >= day })
	b.shards = map[string]map[clock.Millis]countedRecord{}
	for shard, hours := range l.shards {
		for h, m := range hours {
			if h < day {
				b.markCounted(shard, h, m)
			}
		}
	}
	return &b
}

// First returns the beginning of the earliest day in the ledger, 0 if it is empty.
func (l *Ledger) First() clock.Millis {
	first := clock.Millis(0)
	for start := range l.days {
		if first == 0 || start < first {
			first = start
		}
	}
	return first
}

// Shards returns the names of the shards that have records, sorted.
func (l *Ledger) Shards() []string { return slices.Sorted(maps.Keys(l.shards)) }

// Offsets returns the log offsets of the records of a data centre's shards for hours in
// [from, until), the latest first, at most limit of them.
func (l *Ledger) Offsets(dataCentre string, from, until clock.Millis, limit int) []int64 {
	var offsets []int64
	for shard, hours := range l.shards {
		if DataCentreOf(shard) != dataCentre {
			continue
		}
		for h, m := range hours {
			if h >= from && h < until {
				offsets = append(offsets, m.offset)
			}
		}
	}
	slices.Sort(offsets)
	slices.Reverse(offsets)
	return offsets[:min(limit, len(offsets))]
}

// Gaps returns the spans in [from, until) for which a shard has no records, from the
// shard's first record on. A gap that ends at until is left out if it is at most lag long,
// since its records may still arrive.
func (l *Ledger) Gaps(from, until, lag clock.Millis) []Gap {
	var gaps []Gap
	for _, shard := range l.Shards() {
		hours := l.shards[shard]
		begin := max(from, slices.Min(slices.Collect(maps.Keys(hours))))
		gap := Gap{shard: shard}
		for h := hourStart(begin); h < until; h += clock.Hour {
			if _, recorded := hours[h]; recorded {
				gaps = appendGap(gaps, gap)
				gap.from = 0
				continue
			}
			if gap.from == 0 {
				gap.from = h
			}
			gap.until = h + clock.Hour
		}
		if gap.from > 0 && gap.until-gap.from > lag {
			gaps = appendGap(gaps, gap)
		}
	}
	return gaps
}

// appendGap appends g unless it is empty.
func appendGap(gaps []Gap, g Gap) []Gap {
	if g.from == 0 {
		return gaps
	}
	return append(gaps, g)
}

// Shard returns the name of the shard.
func (g Gap) Shard() string { return g.shard }

// DataCentre returns the shard's data centre.
func (g Gap) DataCentre() string { return DataCentreOf(g.shard) }

// From returns the beginning of the first hour without a record.
func (g Gap) From() clock.Millis { return g.from }

// Until returns the end of the last hour without a record.
func (g Gap) Until() clock.Millis { return g.until }

// StartOfDay returns the midnight in zone at which the day of t begins.
func StartOfDay(t clock.Millis, zone *time.Location) clock.Millis {
	at := t.Time().In(zone)
	return clock.FromTime(time.Date(at.Year(), at.Month(), at.Day(), 0, 0, 0, 0, zone))
}

// digestOf returns a hash of a record's lines that doesn't depend on their order.
func digestOf(u *schema.Usage) uint64 {
	sums := sumsOf(u.GetLines())
	h := xxhash.New()
	for _, p := range sortedLineKeys(sums) {
		_, _ = fmt.Fprintf(h, "%q%q", p.team, p.workload)
		for _, n := range sums[p] {
			var b [8]byte
			binary.LittleEndian.PutUint64(b[:], uint64(n))
			_, _ = h.Write(b[:])
		}
	}
	return h.Sum64()
}
