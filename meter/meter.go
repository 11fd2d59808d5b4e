// Package meter turns what tasks reserve, and for how long, into hourly usage
// records, and keeps the sums of these records.
//
// A Meter belongs to the owner of one shard. It is fed the shard's valid task
// events in the order of their stream (Apply), the usage samples of workers
// (Sample) and the usage records of its shard as they come back from the log
// (Recorded); Due gives the records that have to be appended to the stream
// "usage". What an hour's record says is what is owed for all time up to that
// hour's end, less what the records before it say. So the records of a shard
// always add up to what its leases held, whoever wrote them, however often an
// append was tried, and whatever came to light late; and only the first record
// of a shard and hour counts.
//
// A Ledger is fed every record of the stream "usage" and sums them by day, data
// centre, team and work for 13 months.
//
// Neither is safe for concurrent use, and neither has a clock of its own.
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
	// Meter meters one shard.
	Meter struct {
		shard    string
		lookup   func(task string) (Work, bool)
		grace    clock.Millis
		timeline timeline
		// next is the first hour without a record.
		next    clock.Millis
		open    map[leaseKey]*lease
		ended   map[leaseKey]clock.Millis
		balance map[payer]Amounts
		pending map[clock.Millis]map[payer]Amounts
		faults  []Fault
	}

	// Option sets up a Meter.
	Option func(*Meter)
)

const (
	defaultGrace = 5 * clock.Minute
	// keepEnded is how long the end of a lease is remembered, so that a record
	// that comes twice is known.
	keepEnded = clock.Hour
	maxFaults = 1000
	// UnknownTeam pays for tasks of which nobody knows whose they are.
	UnknownTeam = "unknown"
)

// New gives the meter of a shard, "<data centre>/<number>".
func New(shard string, opts ...Option) *Meter {
	m := &Meter{
		shard:   shard,
		lookup:  func(string) (Work, bool) { return Work{}, false },
		grace:   defaultGrace,
		open:    map[leaseKey]*lease{},
		ended:   map[leaseKey]clock.Millis{},
		balance: map[payer]Amounts{},
		pending: map[clock.Millis]map[payer]Amounts{},
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// WithLookup sets who pays for a task whose STARTING record has no reservation.
func WithLookup(f func(task string) (Work, bool)) Option { return func(m *Meter) { m.lookup = f } }

// WithGrace sets how long after its end an hour's record waits for late samples.
func WithGrace(d clock.Millis) Option { return func(m *Meter) { m.grace = d } }

// Shard gives the shard's name.
func (m *Meter) Shard() string { return m.shard }

// Open gives the number of leases that hold their reservations.
func (m *Meter) Open() int { return len(m.open) }

// TakeFaults gives the faults since it was last called.
func (m *Meter) TakeFaults() []Fault {
	f := m.faults
	m.faults = nil
	return f
}

// Observe takes note of the writer's time of any valid record of the shard's
// stream, and gives the stream's time.
func (m *Meter) Observe(offset int64, at clock.Millis) clock.Millis {
	t, inLine := m.timeline.at(at)
	if !inLine {
		m.fault(coder.ClockStep, offset, "%s is out of line with %s before it", at, t)
	}
	return t
}

// Apply takes a valid task event of the shard, at an offset of its stream and at
// the writer's time. An event that comes again changes nothing.
func (m *Meter) Apply(offset int64, at clock.Millis, e *schema.TaskEvent) {
	t := m.Observe(offset, at)
	if m.next == 0 {
		m.next = hourOf(t)
	}
	switch {
	case e.GetState() == schema.TaskState_TASK_STATE_STARTING:
		m.start(offset, t, e)
	case ends(e.GetState()):
		m.end(offset, t, e)
	}
}

func (m *Meter) start(offset int64, t clock.Millis, e *schema.TaskEvent) {
	k := keyOf(e)
	if _, again := m.open[k]; again {
		return
	}
	if _, over := m.ended[k]; over {
		return
	}
	l := &lease{work: m.workOf(offset, e), from: t, metered: t, checkpoint: e.GetCheckpoint()}
	m.open[k] = l
	m.catchUp(l)
}

func (m *Meter) workOf(offset int64, e *schema.TaskEvent) Work {
	if r := e.GetReservation(); r != nil {
		return workOf(r)
	}
	if w, known := m.lookup(e.GetTask()); known {
		return w
	}
	m.fault(coder.UnknownName, offset, "nobody knows whose task %s is", e.GetTask())
	return Work{team: UnknownTeam, name: e.GetTask()}
}

// catchUp puts the part of a lease that lies before the next hour into the
// balance.
func (m *Meter) catchUp(l *lease) {
	from := max(l.from, l.metered)
	if from >= m.next {
		return
	}
	m.owe(from, l.work.payer(), l.work.held(m.next.Sub(from)))
	l.metered = m.next
}

func (m *Meter) end(offset int64, t clock.Millis, e *schema.TaskEvent) {
	k := keyOf(e)
	l, held := m.open[k]
	if !held {
		m.endOfNothing(offset, k, t, e)
		return
	}
	delete(m.open, k)
	m.ended[k] = t
	if t < l.from {
		m.fault(coder.ClockStep, offset, "%s#%d ends before it began, at %s", k.task, k.number, l.from)
		t = l.from
	}
	m.settle(l, t)
	p := l.work.payer()
	if finishes(e.GetState()) {
		m.owe(t, p, Amounts{Runs: 1})
	}
	if l.wasted(t, e) {
		m.owe(t, p, l.work.wasted(t.Sub(l.from)))
	}
}

// endOfNothing: an end that comes again is nothing new, and parking or
// cancelling a task that waits holds nothing.
func (m *Meter) endOfNothing(offset int64, k leaseKey, t clock.Millis, e *schema.TaskEvent) {
	if _, again := m.ended[k]; again {
		return
	}
	switch e.GetState() {
	case schema.TaskState_TASK_STATE_CANCELLED, schema.TaskState_TASK_STATE_PARKED:
		return
	}
	m.ended[k] = t
	m.fault(coder.OutOfOrder, offset, "%s#%d ends, but its start was not seen", k.task, k.number)
}

// settle owes the part of a lease from where it was metered to its end.
func (m *Meter) settle(l *lease, until clock.Millis) {
	from := max(l.from, l.metered)
	if until < from {
		var back Amounts
		back.Sub(l.work.held(from.Sub(until)))
		m.owe(until, l.work.payer(), back)
		return
	}
	for from < until {
		edge := min(until, hourOf(from)+clock.Hour)
		m.owe(from, l.work.payer(), l.work.held(edge.Sub(from)))
		from = edge
	}
}

// owe adds to what is owed for the hour of t, or to the balance where that hour
// has its record.
func (m *Meter) owe(t clock.Millis, p payer, a Amounts) {
	h := hourOf(t)
	if h < m.next {
		addTo(m.balance, p, a)
		return
	}
	if m.pending[h] == nil {
		m.pending[h] = map[payer]Amounts{}
	}
	addTo(m.pending[h], p, a)
}

// Sample takes what a running task used in a span, which the caller has turned
// into the stream's time. Parts that came before are passed over.
func (m *Meter) Sample(task string, incarnation int64, from, until clock.Millis, millicores, memoryBytes, throttledMillicores int64) {
	l := m.open[leaseKey{task: task, number: incarnation}]
	if l == nil {
		return
	}
	from = max(from, l.from, l.sampled)
	if from >= until {
		return
	}
	l.sampled = until
	d := int64(until.Sub(from))
	m.owe(until-1, l.work.payer(), Amounts{
		UsedProcessors:      millicores * d,
		UsedMemory:          mebibytes(memoryBytes) * d,
		ThrottledProcessors: throttledMillicores * d,
	})
}

// Due gives the record of the next hour where that hour is over by more than
// the grace, or nil. It is to be appended to the stream "usage"; Recorded is
// called with what is read back, whoever wrote it.
func (m *Meter) Due(now clock.Millis) *schema.Usage {
	if m.next == 0 || now < m.next+clock.Hour+m.grace {
		return nil
	}
	lines := linesOf(m.owedThrough(m.next + clock.Hour))
	return &schema.Usage{Shard: m.shard, HourMillis: int64(m.next), Lines: lines}
}

// owedThrough gives what is owed up to the end of the next hour, less what
// records say.
func (m *Meter) owedThrough(until clock.Millis) map[payer]Amounts {
	lines := map[payer]Amounts{}
	for p, a := range m.balance {
		addTo(lines, p, a)
	}
	for h, owed := range m.pending {
		if h >= until {
			continue
		}
		for p, a := range owed {
			addTo(lines, p, a)
		}
	}
	for _, l := range m.open {
		from := max(l.from, l.metered)
		if from < until {
			addTo(lines, l.work.payer(), l.work.held(until.Sub(from)))
		}
	}
	return lines
}

// Recorded takes a usage record of the shard that counts, in the order of the
// stream. Hours that it skips have no record and are owed by the next one.
func (m *Meter) Recorded(u *schema.Usage) {
	h := clock.Millis(u.GetHourMillis())
	if h < m.next || u.GetShard() != m.shard {
		return
	}
	until := h + clock.Hour
	m.balance = m.owedThrough(until)
	for _, l := range m.open {
		if l.from < until {
			l.metered = max(l.metered, until)
		}
	}
	maps.DeleteFunc(m.pending, func(hour clock.Millis, _ map[payer]Amounts) bool { return hour < until })
	m.next = until
	for _, l := range u.GetLines() {
		var paid Amounts
		paid.Sub(AmountsOf(l))
		addTo(m.balance, payer{team: l.GetTeam(), work: l.GetWork()}, paid)
	}
	m.forget()
}

func (m *Meter) forget() {
	maps.DeleteFunc(m.ended, func(_ leaseKey, t clock.Millis) bool { return t < m.next-keepEnded })
}

func (m *Meter) fault(c coder.Code, offset int64, format string, args ...any) {
	if len(m.faults) < maxFaults {
		m.faults = append(m.faults, NewFault(c, offset, fmt.Sprintf(format, args...)))
	}
}

func addTo(sums map[payer]Amounts, p payer, a Amounts) {
	s := sums[p]
	s.Add(a)
	if s.IsZero() {
		delete(sums, p)
		return
	}
	sums[p] = s
}

func sortedPayers(sums map[payer]Amounts) []payer {
	ps := make([]payer, 0, len(sums))
	for p := range sums {
		ps = append(ps, p)
	}
	slices.SortFunc(ps, func(a, b payer) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.work, b.work))
	})
	return ps
}

func hourOf(t clock.Millis) clock.Millis {
	h := t - t%clock.Hour
	if t%clock.Hour < 0 {
		h -= clock.Hour
	}
	return h
}
