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
	// Ledger sums the usage records of all shards.
	Ledger struct {
		zone   *time.Location
		next   int64
		last   clock.Millis
		tidied clock.Millis
		shards map[string]map[clock.Millis]mark
		days   map[clock.Millis]*storedDay
		cells  []Cell
		index  map[Cell]uint32
	}

	// mark is the record of a shard's hour that counts.
	mark struct {
		offset int64
		digest uint64
	}

	// storedDay is a day, packed where it is over for long.
	storedDay struct {
		open   *Day
		packed []byte
	}

	// Gap is a span of hours of a shard without records.
	Gap struct {
		shard string
		from  clock.Millis
		until clock.Millis
	}
)

const (
	// Keep is how long days are kept.
	Keep = 13 * 31 * clock.Day
	// keepMarks is how long it is remembered which hours have a record, and so
	// how late a record may be.
	keepMarks = 70 * clock.Day
	// openDays is how long days are kept unpacked.
	openDays = 3 * clock.Day
)

// NewLedger gives an empty ledger whose days are those of a time zone.
func NewLedger(zone *time.Location) *Ledger {
	return &Ledger{
		zone:   zone,
		shards: map[string]map[clock.Millis]mark{},
		days:   map[clock.Millis]*storedDay{},
		index:  map[Cell]uint32{},
	}
}

// Zone gives the time zone of the days.
func (l *Ledger) Zone() *time.Location { return l.zone }

// Next gives the first offset of the stream "usage" that is not counted yet.
func (l *Ledger) Next() int64 { return l.next }

// Until gives the end of the last hour that any shard has a record of, 0 for
// none.
func (l *Ledger) Until() clock.Millis { return l.last }

// Add counts the record at an offset of the stream "usage". Only the first of a
// shard and hour counts; Add tells whether this one did. It gives a fault of
// code UsageDiffers for a later one that says otherwise, UsageTooOld for one
// that is more than 70 days late, and nil else.
func (l *Ledger) Add(offset int64, u *schema.Usage) (bool, *Fault) {
	if offset < l.next {
		return false, nil
	}
	l.next = offset + 1
	h := hourOf(clock.Millis(u.GetHourMillis()))
	d := digestOf(u)
	if first, twice := l.shards[u.GetShard()][h]; twice {
		if first.digest == d {
			return false, nil
		}
		f := NewFault(coder.UsageDiffers, offset, fmt.Sprintf("usage of %s at %s differs from that at offset %d, which counts", u.GetShard(), h, first.offset))
		return false, &f
	}
	if h < l.last-keepMarks {
		f := NewFault(coder.UsageTooOld, offset, fmt.Sprintf("usage of %s at %s is too late to be counted", u.GetShard(), h))
		return false, &f
	}
	l.mark(u.GetShard(), h, mark{offset: offset, digest: d})
	l.count(h, u)
	return true, nil
}

// Counts tells whether the record at an offset is the one that counts for its
// shard and hour, also where it was added before and the stream is read again.
func (l *Ledger) Counts(offset int64, u *schema.Usage) bool {
	m, there := l.shards[u.GetShard()][hourOf(clock.Millis(u.GetHourMillis()))]
	return there && m.offset == offset
}

func (l *Ledger) mark(shard string, h clock.Millis, m mark) {
	if l.shards[shard] == nil {
		l.shards[shard] = map[clock.Millis]mark{}
	}
	l.shards[shard][h] = m
}

func (l *Ledger) count(h clock.Millis, u *schema.Usage) {
	start := DayOf(h, l.zone)
	day := l.unpacked(start)
	dc := DataCentreOf(u.GetShard())
	for _, line := range u.GetLines() {
		c := NewCell(dc, line.GetTeam(), line.GetWork())
		l.intern(c)
		day.add(h, c, AmountsOf(line))
	}
	l.store(day)
	l.last = max(l.last, h+clock.Hour)
	if start > l.tidied {
		l.tidied = start
		l.tidy()
	}
}

func (l *Ledger) intern(c Cell) uint32 {
	n, known := l.index[c]
	if !known {
		n = uint32(len(l.cells))
		l.cells = append(l.cells, c)
		l.index[c] = n
	}
	return n
}

func (l *Ledger) unpacked(start clock.Millis) *Day {
	s := l.days[start]
	if s == nil {
		return newDay(start)
	}
	if s.open != nil {
		return s.open
	}
	return l.unpack(start, s.packed)
}

func (l *Ledger) store(d *Day) {
	if d.start < l.last-openDays {
		l.days[d.start] = &storedDay{packed: l.pack(d)}
		return
	}
	l.days[d.start] = &storedDay{open: d}
}

// tidy packs days that are over and drops what is older than is kept.
func (l *Ledger) tidy() {
	for start, s := range l.days {
		switch {
		case start < l.last-Keep:
			delete(l.days, start)
		case s.open != nil && start < l.last-openDays:
			s.packed, s.open = l.pack(s.open), nil
		}
	}
	for _, hours := range l.shards {
		maps.DeleteFunc(hours, func(h clock.Millis, _ mark) bool { return h < l.last-keepMarks })
	}
}

// Days gives the days that begin in a span, in order.
func (l *Ledger) Days(from, until clock.Millis) []*Day {
	var days []*Day
	l.Each(from, until, func(d *Day) { days = append(days, d) })
	return days
}

// Each calls visit with each day that begins in a span, in order, without
// holding more than one of them unpacked.
func (l *Ledger) Each(from, until clock.Millis, visit func(*Day)) {
	for _, start := range slices.Sorted(maps.Keys(l.days)) {
		if start >= from && start < until {
			visit(l.unpacked(start))
		}
	}
}

// Before gives the ledger as it was at the beginning of a day, for reading only.
// Records of earlier days that came later are in it.
func (l *Ledger) Before(day clock.Millis) *Ledger {
	b := *l
	b.last = min(l.last, day)
	b.days = maps.Clone(l.days)
	maps.DeleteFunc(b.days, func(start clock.Millis, _ *storedDay) bool { return start >= day })
	b.shards = map[string]map[clock.Millis]mark{}
	for shard, hours := range l.shards {
		for h, m := range hours {
			if h < day {
				b.mark(shard, h, m)
			}
		}
	}
	return &b
}

// First gives the beginning of the first day that is kept, 0 for none.
func (l *Ledger) First() clock.Millis {
	first := clock.Millis(0)
	for start := range l.days {
		if first == 0 || start < first {
			first = start
		}
	}
	return first
}

// Shards gives the shards that have records, in order.
func (l *Ledger) Shards() []string { return slices.Sorted(maps.Keys(l.shards)) }

// Offsets gives the log offsets of the records of a data centre's shards in a
// span, the latest first, at most limit of them.
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

// Gaps gives the spans in [from, until) in which a shard that had records
// before has none. A shard that is later than the others by at most lag is not
// yet missing.
func (l *Ledger) Gaps(from, until, lag clock.Millis) []Gap {
	var gaps []Gap
	for _, shard := range l.Shards() {
		hours := l.shards[shard]
		begin := max(from, slices.Min(slices.Collect(maps.Keys(hours))))
		open := Gap{shard: shard}
		for h := hourOf(begin); h < until; h += clock.Hour {
			if _, there := hours[h]; there {
				gaps = appendGap(gaps, open)
				open.from = 0
				continue
			}
			if open.from == 0 {
				open.from = h
			}
			open.until = h + clock.Hour
		}
		if open.from > 0 && open.until-open.from > lag {
			gaps = appendGap(gaps, open)
		}
	}
	return gaps
}

func appendGap(gaps []Gap, g Gap) []Gap {
	if g.from == 0 {
		return gaps
	}
	return append(gaps, g)
}

// Shard gives the shard without records.
func (g Gap) Shard() string { return g.shard }

// DataCentre gives the shard's data centre.
func (g Gap) DataCentre() string { return DataCentreOf(g.shard) }

// From gives the beginning of the first hour without a record.
func (g Gap) From() clock.Millis { return g.from }

// Until gives the end of the last hour without a record.
func (g Gap) Until() clock.Millis { return g.until }

// DayOf gives the beginning of the day in a time zone in which t lies.
func DayOf(t clock.Millis, zone *time.Location) clock.Millis {
	at := t.Time().In(zone)
	return clock.FromTime(time.Date(at.Year(), at.Month(), at.Day(), 0, 0, 0, 0, zone))
}

// digestOf gives a digest of a record's lines, whatever their order.
func digestOf(u *schema.Usage) uint64 {
	sums := sumsOf(u.GetLines())
	h := xxhash.New()
	for _, p := range sortedPayers(sums) {
		_, _ = fmt.Fprintf(h, "%q%q", p.team, p.work)
		for _, n := range sums[p] {
			var b [8]byte
			binary.LittleEndian.PutUint64(b[:], uint64(n))
			_, _ = h.Write(b[:])
		}
	}
	return h.Sum64()
}
