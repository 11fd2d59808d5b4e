// Package meter turns the reservations of tasks into hourly usage records and sums the
// records for billing.
//
// A task runs as a sequence of numbered incarnations. Each holds a lease, its reservation
// of resources, from the STARTING event to the event that ends the incarnation.
//
// A Meter meters one shard, a part of a data centre's work that one daemon owns at a time.
// It reads the shard's task events in stream order (Apply), the usage samples of workers
// (Sample) and the shard's usage records as they are read back from the log (ApplyUsage).
// Due returns the next record, which the shard's owner appends to the stream "usage".
//
// An hour's record holds everything that accrued up to the end of that hour, less the
// sum of the earlier records. So the records of a shard always add up to the
// reservations of its leases, whichever owner wrote them, however often an append was
// retried and however late an event arrived. If a shard has several records of an hour,
// only the first in the stream counts.
//
// A Ledger reads all records of the stream "usage" and sums them by day, data centre,
// team and workload, for 13 months. A workload is a service, a watch job or a batch job.
//
// Meter and Ledger are not safe for concurrent use and don't read the system clock.
package meter

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Meter computes the usage records of one shard.
	Meter struct {
		shard       string
		lookup      func(task string) (Workload, bool)
		grace       clock.Millis
		streamClock streamClock
		// nextHour is the first hour without a record, 0 before the first event or usage
		// record.
		nextHour clock.Millis
		open     map[leaseKey]*lease
		// ended holds the ends of leases that ended recently, see endedRetention.
		ended map[leaseKey]clock.Millis
		// balance is the usage before nextHour, less the records that were read.
		balance map[lineKey]Amounts
		// pending is the usage from nextHour on, by the start of the hour. The
		// reservations of open leases aren't part of it.
		pending map[clock.Millis]map[lineKey]Amounts
		faults  []Fault
	}

	// Option configures a Meter.
	Option func(*Meter)
)

const (
	defaultGrace = 5 * clock.Minute
	// endedRetention is how far before nextHour the end of a lease may be and still be
	// remembered, so that duplicate events of the lease are recognized.
	endedRetention = clock.Hour
	maxFaults      = 1000
	// UnknownTeam is the team that is billed for tasks without a known owner.
	UnknownTeam = "unknown"
)

// New returns the meter of a shard, which is named "<data centre>/<number>".
func New(shard string, opts ...Option) *Meter {
	m := &Meter{
		shard:   shard,
		lookup:  func(string) (Workload, bool) { return Workload{}, false },
		grace:   defaultGrace,
		open:    map[leaseKey]*lease{},
		ended:   map[leaseKey]clock.Millis{},
		balance: map[lineKey]Amounts{},
		pending: map[clock.Millis]map[lineKey]Amounts{},
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// WithLookup sets a function that returns the workload of a task whose STARTING event
// has no reservation.
func WithLookup(f func(task string) (Workload, bool)) Option { return func(m *Meter) { m.lookup = f } }

// WithGrace sets how long after the end of an hour its record waits for late samples,
// 5 minutes by default.
func WithGrace(d clock.Millis) Option { return func(m *Meter) { m.grace = d } }

// Shard returns the shard's name.
func (m *Meter) Shard() string { return m.shard }

// OpenLeases returns the number of leases that have not ended.
func (m *Meter) OpenLeases() int { return len(m.open) }

// TakeFaults returns the faults since its last call, at most 1000.
func (m *Meter) TakeFaults() []Fault {
	f := m.faults
	m.faults = nil
	return f
}

// Observe updates the stream's time with at, the writer's timestamp of a record, and returns
// the stream's time. If at is more than a day from it, that is a fault of the record at
// offset. Apply calls Observe for task events.
func (m *Meter) Observe(offset int64, at clock.Millis) clock.Millis {
	t, plausible := m.streamClock.advance(at)
	if !plausible {
		m.addFault(coder.ClockStep, offset, "%s is more than a day from the stream time %s", at, t)
	}
	return t
}

// Apply applies the shard's task event at an offset of its stream. at is its writer's
// timestamp; the writer must have owned the shard then. Duplicates are ignored.
func (m *Meter) Apply(offset int64, at clock.Millis, e *schema.TaskEvent) {
	t := m.Observe(offset, at)
	if m.nextHour == 0 {
		m.nextHour = hourStart(t)
	}
	switch {
	case e.GetState() == schema.TaskState_TASK_STATE_STARTING:
		m.start(offset, t, e)
	case isTerminal(e.GetState()):
		m.end(offset, t, e)
	}
}

func (m *Meter) start(offset int64, t clock.Millis, e *schema.TaskEvent) {
	k := leaseKeyOf(e)
	if _, isOpen := m.open[k]; isOpen {
		return
	}
	if _, isEnded := m.ended[k]; isEnded {
		return
	}
	l := &lease{workload: m.workloadOf(offset, e), from: t, meteredUntil: t, checkpoint: e.GetCheckpoint()}
	m.open[k] = l
	m.accruePastHours(l)
}

func (m *Meter) workloadOf(offset int64, e *schema.TaskEvent) Workload {
	if r := e.GetReservation(); r != nil {
		return workloadOf(r)
	}
	if w, known := m.lookup(e.GetTask()); known {
		return w
	}
	m.addFault(coder.UnknownName, offset, "task %s has neither a reservation nor a known owner", e.GetTask())
	return Workload{team: UnknownTeam, name: e.GetTask()}
}

// accruePastHours adds the reservation of a lease for the time before nextHour to the
// balance.
func (m *Meter) accruePastHours(l *lease) {
	from := max(l.from, l.meteredUntil)
	if from >= m.nextHour {
		return
	}
	m.accrue(from, l.workload.lineKey(), l.workload.reserved(m.nextHour.Sub(from)))
	l.meteredUntil = m.nextHour
}

func (m *Meter) end(offset int64, t clock.Millis, e *schema.TaskEvent) {
	k := leaseKeyOf(e)
	l, isOpen := m.open[k]
	if !isOpen {
		m.endUnknownLease(offset, k, t, e)
		return
	}
	delete(m.open, k)
	m.ended[k] = t
	if t < l.from {
		m.addFault(coder.ClockStep, offset, "%s#%d ends before its start at %s", k.task, k.incarnation, l.from)
		t = l.from
	}
	m.settleLease(l, t)
	p := l.workload.lineKey()
	if isCompletion(e.GetState()) {
		m.accrue(t, p, Amounts{Runs: 1})
	}
	if l.isWasted(t, e) {
		m.accrue(t, p, l.workload.wasted(t.Sub(l.from)))
	}
}

// endUnknownLease handles the end of a lease that is not open. It is a fault unless the
// event is a duplicate, or parks or cancels a waiting task, which has no reservation. A
// parked task is one that was given up: PARKED is a final state.
func (m *Meter) endUnknownLease(offset int64, k leaseKey, t clock.Millis, e *schema.TaskEvent) {
	if _, isEnded := m.ended[k]; isEnded {
		return
	}
	switch e.GetState() {
	case schema.TaskState_TASK_STATE_CANCELLED, schema.TaskState_TASK_STATE_PARKED:
		return
	}
	m.ended[k] = t
	m.addFault(coder.OutOfOrder, offset, "%s#%d ended without a start event", k.task, k.incarnation)
}

// settleLease accrues the time of an ended lease that isn't in the balance yet, hour by
// hour. If the balance already includes time after the end, that time is refunded.
func (m *Meter) settleLease(l *lease, until clock.Millis) {
	from := max(l.from, l.meteredUntil)
	if until < from {
		var refund Amounts
		refund.Sub(l.workload.reserved(from.Sub(until)))
		m.accrue(until, l.workload.lineKey(), refund)
		return
	}
	for from < until {
		hourEnd := min(until, hourStart(from)+clock.Hour)
		m.accrue(from, l.workload.lineKey(), l.workload.reserved(hourEnd.Sub(from)))
		from = hourEnd
	}
}

// accrue adds amounts to the pending hour of t, or to the balance if that hour already has
// a record.
func (m *Meter) accrue(t clock.Millis, k lineKey, a Amounts) {
	h := hourStart(t)
	if h < m.nextHour {
		addTo(m.balance, k, a)
		return
	}
	if m.pending[h] == nil {
		m.pending[h] = map[lineKey]Amounts{}
	}
	addTo(m.pending[h], k, a)
}

// Sample adds the mean usage of a running task in [from, until), in the stream's time.
// The part of the span that an earlier sample covers is ignored, and so is a sample of an
// incarnation without an open lease. The whole sample counts for the hour in which it ends.
func (m *Meter) Sample(task string, incarnation int64, from, until clock.Millis, millicores, memoryBytes, throttledMillicores int64) {
	l := m.open[leaseKey{task: task, incarnation: incarnation}]
	if l == nil {
		return
	}
	from = max(from, l.from, l.sampledUntil)
	if from >= until {
		return
	}
	l.sampledUntil = until
	d := int64(until.Sub(from))
	m.accrue(until-1, l.workload.lineKey(), Amounts{
		UsedProcessors:      millicores * d,
		UsedMemory:          mebibytes(memoryBytes) * d,
		ThrottledProcessors: throttledMillicores * d,
	})
}

// Due returns the record of the first hour without one, or nil if that hour and the
// grace period are not over at time now. The caller appends it to the stream "usage" and
// calls ApplyUsage with the record that it reads back, which may be another owner's. Until
// then Due returns the same hour again.
func (m *Meter) Due(now clock.Millis) *schema.Usage {
	if m.nextHour == 0 || now < m.nextHour+clock.Hour+m.grace {
		return nil
	}
	lines := usageLinesOf(m.accruedThrough(m.nextHour + clock.Hour))
	return &schema.Usage{Shard: m.shard, HourMillis: int64(m.nextHour), Lines: lines}
}

// accruedThrough returns the usage before until, less the records that were read.
func (m *Meter) accruedThrough(until clock.Millis) map[lineKey]Amounts {
	lines := map[lineKey]Amounts{}
	for k, a := range m.balance {
		addTo(lines, k, a)
	}
	for h, accrued := range m.pending {
		if h >= until {
			continue
		}
		for k, a := range accrued {
			addTo(lines, k, a)
		}
	}
	for _, l := range m.open {
		from := max(l.from, l.meteredUntil)
		if from < until {
			addTo(lines, l.workload.lineKey(), l.workload.reserved(until.Sub(from)))
		}
	}
	return lines
}

// ApplyUsage subtracts a usage record of the shard from what has accrued. It is called
// with the records that count (see Ledger.IsCounted), in stream order. If a record skips
// hours, it is taken to include their usage too; a difference goes into the next record.
// The first hour without a record is then the one after the record's, and leases that ended
// more than endedRetention before it are forgotten.
func (m *Meter) ApplyUsage(u *schema.Usage) {
	h := clock.Millis(u.GetHourMillis())
	if h < m.nextHour || u.GetShard() != m.shard {
		return
	}
	until := h + clock.Hour
	m.balance = m.accruedThrough(until)
	for _, l := range m.open {
		if l.from < until {
			l.meteredUntil = max(l.meteredUntil, until)
		}
	}
	maps.DeleteFunc(m.pending, func(hour clock.Millis, _ map[lineKey]Amounts) bool { return hour < until })
	m.nextHour = until
	for _, l := range u.GetLines() {
		var recorded Amounts
		recorded.Sub(AmountsOf(l))
		addTo(m.balance, lineKey{team: l.GetTeam(), workload: l.GetWork()}, recorded)
	}
	m.pruneEnded()
}

func (m *Meter) pruneEnded() {
	maps.DeleteFunc(m.ended, func(_ leaseKey, t clock.Millis) bool { return t < m.nextHour-endedRetention })
}

func (m *Meter) addFault(c coder.Code, offset int64, format string, args ...any) {
	if len(m.faults) < maxFaults {
		m.faults = append(m.faults, NewFault(c, offset, fmt.Sprintf(format, args...)))
	}
}

// addTo adds amounts to the sums of a line and deletes the line if they are all 0 then.
func addTo(sums map[lineKey]Amounts, k lineKey, a Amounts) {
	s := sums[k]
	s.Add(a)
	if s.IsZero() {
		delete(sums, k)
		return
	}
	sums[k] = s
}

func sortedLineKeys(sums map[lineKey]Amounts) []lineKey {
	keys := make([]lineKey, 0, len(sums))
	for k := range sums {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b lineKey) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.workload, b.workload))
	})
	return keys
}

func hourStart(t clock.Millis) clock.Millis {
	h := t - t%clock.Hour
	if t%clock.Hour < 0 {
		h -= clock.Hour
	}
	return h
}
