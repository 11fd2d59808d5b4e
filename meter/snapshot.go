package meter

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
)

// Snapshot returns the meter's state for a snapshot of its shard. Faults and options aren't
// part of it.
func (m *Meter) Snapshot() *schema.MeterState {
	s := &schema.MeterState{Shard: m.shard, NextHourMillis: int64(m.nextHour), LastMillis: int64(m.streamClock.now)}
	for k, l := range m.open {
		s.Open = append(s.Open, &schema.OpenLease{
			Task: k.task, Incarnation: k.incarnation,
			FromMillis: int64(l.from), MeteredMillis: int64(l.meteredUntil), SampledMillis: int64(l.sampledUntil),
			Reservation: l.workload.Reservation(), Checkpoint: l.checkpoint,
		})
	}
	slices.SortFunc(s.Open, func(a, b *schema.OpenLease) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for k, t := range m.ended {
		s.Ended = append(s.Ended, &schema.EndedLease{Task: k.task, Incarnation: k.incarnation, AtMillis: int64(t)})
	}
	slices.SortFunc(s.Ended, func(a, b *schema.EndedLease) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	s.Balance = usageLinesOf(m.balance)
	for h, accrued := range m.pending {
		s.Pending = append(s.Pending, &schema.Usage{HourMillis: int64(h), Lines: usageLinesOf(accrued)})
	}
	slices.SortFunc(s.Pending, func(a, b *schema.Usage) int { return cmp.Compare(a.HourMillis, b.HourMillis) })
	return s
}

// Restore returns a meter with the shard and state of a snapshot, and the given options.
func Restore(s *schema.MeterState, opts ...Option) *Meter {
	m := New(s.GetShard(), opts...)
	m.nextHour = clock.Millis(s.GetNextHourMillis())
	m.streamClock.now = clock.Millis(s.GetLastMillis())
	for _, o := range s.GetOpen() {
		m.open[leaseKey{task: o.GetTask(), incarnation: o.GetIncarnation()}] = &lease{
			workload:     workloadOf(o.GetReservation()),
			from:         clock.Millis(o.GetFromMillis()),
			meteredUntil: clock.Millis(o.GetMeteredMillis()),
			sampledUntil: clock.Millis(o.GetSampledMillis()),
			checkpoint:   o.GetCheckpoint(),
		}
	}
	for _, e := range s.GetEnded() {
		m.ended[leaseKey{task: e.GetTask(), incarnation: e.GetIncarnation()}] = clock.Millis(e.GetAtMillis())
	}
	m.balance = sumsOf(s.GetBalance())
	for _, u := range s.GetPending() {
		m.pending[clock.Millis(u.GetHourMillis())] = sumsOf(u.GetLines())
	}
	return m
}

// usageLinesOf returns the sums as usage lines, sorted by team and workload.
func usageLinesOf(sums map[lineKey]Amounts) []*schema.UsageLine {
	lines := make([]*schema.UsageLine, 0, len(sums))
	for _, p := range sortedLineKeys(sums) {
		lines = append(lines, usageLineOf(p, sums[p]))
	}
	return lines
}

// sumsOf returns the sums of usage lines by team and workload.
func sumsOf(lines []*schema.UsageLine) map[lineKey]Amounts {
	sums := map[lineKey]Amounts{}
	for _, l := range lines {
		addTo(sums, lineKey{team: l.GetTeam(), workload: l.GetWork()}, AmountsOf(l))
	}
	return sums
}
