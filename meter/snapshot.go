package meter

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
)

// Snapshot gives the meter's state, for the snapshots of its shard.
func (m *Meter) Snapshot() *schema.MeterState {
	s := &schema.MeterState{Shard: m.shard, NextHourMillis: int64(m.next), LastMillis: int64(m.timeline.last)}
	for k, l := range m.open {
		s.Open = append(s.Open, &schema.OpenLease{
			Task: k.task, Incarnation: k.number,
			FromMillis: int64(l.from), MeteredMillis: int64(l.metered), SampledMillis: int64(l.sampled),
			Reservation: l.work.Reservation(), Checkpoint: l.checkpoint,
		})
	}
	slices.SortFunc(s.Open, func(a, b *schema.OpenLease) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for k, t := range m.ended {
		s.Ended = append(s.Ended, &schema.EndedLease{Task: k.task, Incarnation: k.number, AtMillis: int64(t)})
	}
	slices.SortFunc(s.Ended, func(a, b *schema.EndedLease) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	s.Balance = linesOf(m.balance)
	for h, owed := range m.pending {
		s.Pending = append(s.Pending, &schema.Usage{HourMillis: int64(h), Lines: linesOf(owed)})
	}
	slices.SortFunc(s.Pending, func(a, b *schema.Usage) int { return cmp.Compare(a.HourMillis, b.HourMillis) })
	return s
}

// Restore gives the meter of a snapshot.
func Restore(s *schema.MeterState, opts ...Option) *Meter {
	m := New(s.GetShard(), opts...)
	m.next = clock.Millis(s.GetNextHourMillis())
	m.timeline.last = clock.Millis(s.GetLastMillis())
	for _, o := range s.GetOpen() {
		m.open[leaseKey{task: o.GetTask(), number: o.GetIncarnation()}] = &lease{
			work:       workOf(o.GetReservation()),
			from:       clock.Millis(o.GetFromMillis()),
			metered:    clock.Millis(o.GetMeteredMillis()),
			sampled:    clock.Millis(o.GetSampledMillis()),
			checkpoint: o.GetCheckpoint(),
		}
	}
	for _, e := range s.GetEnded() {
		m.ended[leaseKey{task: e.GetTask(), number: e.GetIncarnation()}] = clock.Millis(e.GetAtMillis())
	}
	m.balance = sumsOf(s.GetBalance())
	for _, u := range s.GetPending() {
		m.pending[clock.Millis(u.GetHourMillis())] = sumsOf(u.GetLines())
	}
	return m
}

func linesOf(sums map[payer]Amounts) []*schema.UsageLine {
	lines := make([]*schema.UsageLine, 0, len(sums))
	for _, p := range sortedPayers(sums) {
		lines = append(lines, lineOf(p, sums[p]))
	}
	return lines
}

func sumsOf(lines []*schema.UsageLine) map[payer]Amounts {
	sums := map[payer]Amounts{}
	for _, l := range lines {
		addTo(sums, payer{team: l.GetTeam(), work: l.GetWork()}, AmountsOf(l))
	}
	return sums
}
