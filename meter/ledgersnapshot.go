package meter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
)

// Snapshot returns the ledger's state for storage. The time zone isn't part of it.
func (l *Ledger) Snapshot() *schema.LedgerState {
	s := &schema.LedgerState{NextOffset: l.nextOffset}
	for _, c := range l.cells {
		s.Cells = append(s.Cells, &schema.LedgerCell{DataCentre: c.dataCentre, Team: c.team, Work: c.workload})
	}
	for _, name := range l.Shards() {
		shard := &schema.LedgerShard{Shard: name}
		for h, m := range l.shards[name] {
			shard.Hours = append(shard.Hours, &schema.LedgerHour{HourMillis: int64(h), Offset: m.offset, Digest: m.digest})
		}
		slices.SortFunc(shard.Hours, func(a, b *schema.LedgerHour) int { return cmp.Compare(a.HourMillis, b.HourMillis) })
		s.Shards = append(s.Shards, shard)
	}
	for _, start := range slices.Sorted(maps.Keys(l.days)) {
		d := l.days[start]
		packed := d.packed
		if d.unpacked != nil {
			packed = l.pack(d.unpacked)
		}
		s.Days = append(s.Days, &schema.LedgerDay{DayMillis: int64(start), Sums: packed})
	}
	return s
}

// RestoreLedger returns a ledger with the state of a snapshot. The zone must be that of the
// ledger from which the snapshot was taken.
func RestoreLedger(s *schema.LedgerState, zone *time.Location) *Ledger {
	l := NewLedger(zone)
	l.nextOffset = s.GetNextOffset()
	for _, c := range s.GetCells() {
		l.intern(NewCell(c.GetDataCentre(), c.GetTeam(), c.GetWork()))
	}
	for _, shard := range s.GetShards() {
		for _, h := range shard.GetHours() {
			at := clock.Millis(h.GetHourMillis())
			l.markCounted(shard.GetShard(), at, countedRecord{offset: h.GetOffset(), digest: h.GetDigest()})
			l.recordedUntil = max(l.recordedUntil, at+clock.Hour)
		}
	}
	for _, d := range s.GetDays() {
		l.days[clock.Millis(d.GetDayMillis())] = &storedDay{packed: d.GetSums()}
	}
	return l
}
