package meter

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

func loadZone(t testing.TB, name string) *time.Location {
	z, err := time.LoadLocation(name)
	must.NoError(t, err)
	return z
}

func newUsage(shard string, hour clock.Millis, reserved ...int64) *schema.Usage {
	u := &schema.Usage{Shard: shard, HourMillis: int64(hour)}
	for n, h := range reserved {
		u.Lines = append(u.Lines, &schema.UsageLine{Team: "a", Work: fmt.Sprint("w", n), ReservedMillicoreMillis: h, TaskMillis: 1})
	}
	return u
}

func TestLedgerAdd(t *testing.T) {
	hour := testStart
	tests := map[string]struct {
		records []*schema.Usage
		offsets []int64
		want    []coder.Code
		total   int64
	}{
		"two hours":           {records: []*schema.Usage{newUsage(shard, hour, 3), newUsage(shard, hour+clock.Hour, 4)}, want: []coder.Code{coder.OK, coder.OK}, total: 7},
		"duplicate":           {records: []*schema.Usage{newUsage(shard, hour, 3), newUsage(shard, hour, 3)}, want: []coder.Code{coder.OK, coder.OK}, total: 3},
		"differing duplicate": {records: []*schema.Usage{newUsage(shard, hour, 3), newUsage(shard, hour, 4)}, want: []coder.Code{coder.OK, coder.UsageDiffers}, total: 3},
		"reordered":           {records: []*schema.Usage{newUsage(shard, hour+clock.Hour, 3), newUsage(shard, hour, 4)}, want: []coder.Code{coder.OK, coder.OK}, total: 7},
		"too old":             {records: []*schema.Usage{newUsage(shard, hour, 3), newUsage(shard, hour-500*clock.Day, 4)}, want: []coder.Code{coder.OK, coder.UsageTooOld}, total: 3},
		"same offset twice":   {records: []*schema.Usage{newUsage(shard, hour, 3), newUsage(shard, hour+clock.Hour, 4)}, offsets: []int64{5, 5}, want: []coder.Code{coder.OK, coder.OK}, total: 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(loadZone(t, "Europe/Ljubljana"))
			for n, u := range tc.records {
				offset := int64(n)
				if tc.offsets != nil {
					offset = tc.offsets[n]
				}
				_, f := l.Add(offset, u)
				got := coder.OK
				if f != nil {
					got = f.Code()
				}
				must.Eq(t, tc.want[n], got)
			}
			must.Eq(t, tc.total, totalReserved(l))
		})
	}
}

// TestLedgerReread checks that reading the stream again after a restart adds no record
// twice, and that IsCounted returns the same result for each record as before.
func TestLedgerReread(t *testing.T) {
	l := NewLedger(time.UTC)
	records := []*schema.Usage{newUsage(shard, testStart, 3), newUsage(shard, testStart, 4), newUsage(shard, testStart+clock.Hour, 5)}
	for range 2 {
		var counts []bool
		for n, u := range records {
			l.Add(int64(n), u)
			counts = append(counts, l.IsCounted(int64(n), u))
		}
		must.Eq(t, []bool{true, false, true}, counts)
		must.Eq(t, 8, totalReserved(l))
	}
}

func totalReserved(l *Ledger) int64 {
	total := int64(0)
	for _, d := range l.Days(0, clock.Never) {
		for _, c := range d.Cells() {
			total += d.Amounts(c)[ReservedProcessors]
		}
	}
	return total
}

// TestLedgerCountsRecordsOnce checks that duplicate, late and reordered records are
// summed exactly once, also if the day was packed or the ledger restored from a snapshot
// in between.
func TestLedgerCountsRecordsOnce(t *testing.T) {
	zone := loadZone(t, "America/Port_of_Spain")
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(zone)
		want := map[clock.Millis]map[Cell]Amounts{}
		seen := map[string]bool{}
		for n := range rapid.IntRange(1, 60).Draw(t, "records") {
			s := fmt.Sprint("dc-", rapid.IntRange(0, 2).Draw(t, "dc"), "/", rapid.IntRange(0, 1).Draw(t, "shard"))
			h := testStart + clock.Millis(rapid.IntRange(0, 240).Draw(t, "hour"))*clock.Hour
			u := newUsage(s, h, rapid.Int64Range(-5, 1<<50).Draw(t, "a"), rapid.Int64Range(0, 9).Draw(t, "b"))
			l.Add(int64(n), u)
			if k := fmt.Sprint(s, h); !seen[k] {
				seen[k] = true
				addExpected(want, StartOfDay(h, zone), u)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				l = RestoreLedger(l.Snapshot(), zone)
			}
		}
		got := map[clock.Millis]map[Cell]Amounts{}
		for _, d := range l.Days(0, clock.Never) {
			got[d.Start()] = d.cells
		}
		must.Eq(t, want, got)
	})
}

// addExpected adds the lines of a record to the sums that the ledger should have.
func addExpected(sums map[clock.Millis]map[Cell]Amounts, day clock.Millis, u *schema.Usage) {
	if sums[day] == nil {
		sums[day] = map[Cell]Amounts{}
	}
	for _, l := range u.GetLines() {
		c := NewCell(DataCentreOf(u.GetShard()), l.GetTeam(), l.GetWork())
		s := sums[day][c]
		s.Add(AmountsOf(l))
		sums[day][c] = s
	}
}

func TestDayOf(t *testing.T) {
	tests := map[string]struct {
		zone  string
		at    string
		start string
	}{
		"clocks go forward": {"Europe/Ljubljana", "2026-03-29T20:00:00Z", "2026-03-28T23:00:00Z"},
		"summer":            {"Europe/Ljubljana", "2026-03-29T22:00:00Z", "2026-03-29T22:00:00Z"},
		"clocks go back":    {"Europe/Ljubljana", "2026-10-25T22:59:59Z", "2026-10-24T22:00:00Z"},
		"leap day":          {"Europe/Ljubljana", "2028-02-29T22:00:00Z", "2028-02-28T23:00:00Z"},
		"west of UTC":       {"America/Port_of_Spain", "2026-01-01T03:59:59Z", "2025-12-31T04:00:00Z"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			at, err := time.Parse(time.RFC3339, tc.at)
			must.NoError(t, err)
			got := StartOfDay(clock.FromTime(at), loadZone(t, tc.zone))
			must.Eq(t, tc.start, got.Time().Format(time.RFC3339))
		})
	}
}

func TestGaps(t *testing.T) {
	l := NewLedger(time.UTC)
	for n, h := range []clock.Millis{0, 1, 4, 5} {
		l.Add(int64(2*n), newUsage("a/0", testStart+h*clock.Hour, 1))
	}
	l.Add(100, newUsage("b/0", testStart, 1))
	gaps := l.Gaps(testStart, l.Until(), 2*clock.Hour)
	must.Eq(t, []Gap{
		{shard: "a/0", from: testStart + 2*clock.Hour, until: testStart + 4*clock.Hour},
		{shard: "b/0", from: testStart + clock.Hour, until: testStart + 6*clock.Hour},
	}, gaps)
}

func FuzzUnpack(f *testing.F) {
	l := NewLedger(time.UTC)
	l.Add(0, newUsage(shard, testStart, 3, 4))
	s := l.Snapshot()
	f.Add(s.GetDays()[0].GetSums())
	f.Fuzz(func(_ *testing.T, packed []byte) {
		l.unpack(testStart, packed)
	})
}

// BenchmarkLedger measures the time and size of a snapshot of 13 months with 8 data
// centres, 280 teams and the given number of workloads.
func BenchmarkLedger(b *testing.B) {
	for _, works := range []int{250, 500, 1000} {
		b.Run(fmt.Sprint(works, "-works"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l := ledgerWithHistory(works)
				s, err := proto.Marshal(l.Snapshot())
				must.NoError(b, err)
				packed := 0
				for _, d := range l.days {
					packed += len(d.packed)
				}
				b.ReportMetric(float64(len(s)), "snapshot-bytes")
				b.ReportMetric(float64(packed), "packed-bytes")
			}
		})
	}
}

// ledgerWithHistory returns a ledger with 13 months of daily sums. Each workload runs in 3
// of 8 data centres; half of them are long-running, and the reserved time of the others
// varies from day to day.
func ledgerWithHistory(workloads int) *Ledger {
	l := NewLedger(time.UTC)
	for day := range 395 {
		at := testStart + clock.Millis(day)*clock.Day
		d := newDay(at)
		for w := range workloads {
			for k := range 3 {
				c := NewCell(fmt.Sprint("dc-", (w+k)%8), fmt.Sprint("team-", w%280), fmt.Sprint("work-", w))
				l.intern(c)
				reservedFor := int64(24 * clock.Hour)
				if w%2 == 0 {
					reservedFor = int64(day*7919+w*104729+k*1299709) % int64(clock.Hour)
				}
				d.add(at, c, Amounts{reservedFor * 2000, reservedFor * 4096, 0, reservedFor * 1013, reservedFor * 2017, 0, 0, 0, 0, reservedFor, 1})
			}
		}
		l.recordedUntil = max(l.recordedUntil, at+clock.Day)
		l.storeDay(d)
		l.compact()
	}
	return l
}
