package meter

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

const (
	starting  = schema.TaskState_TASK_STATE_STARTING
	evicted   = schema.TaskState_TASK_STATE_EVICTED
	succeeded = schema.TaskState_TASK_STATE_SUCCEEDED
	failed    = schema.TaskState_TASK_STATE_FAILED
	lost      = schema.TaskState_TASK_STATE_LOST

	shard     = "maribor-1/0"
	testStart = 1_790_000_000_000 / clock.Hour * clock.Hour
)

type (
	timedEvent struct {
		at    clock.Millis
		event *schema.TaskEvent
	}

	// streams holds the two streams that a meter reads.
	streams struct {
		events []timedEvent
		usage  []*schema.Usage
	}

	// meterReader is a meter and its positions in the two streams.
	meterReader struct {
		m      *Meter
		events int
		usage  int
	}
)

var (
	terminalStates = []schema.TaskState{evicted, succeeded, failed, lost}
)

func drawWork(t *rapid.T) Workload {
	n := rapid.IntRange(0, 4).Draw(t, "work")
	size := sizer.New(int64(1+n)*250, int64(n)*sizer.GiB+int64(n), int64(n%2))
	return NewWorkload(fmt.Sprint("team-", n%2), fmt.Sprint("work-", n), size, n == 0)
}

func drawLeases(t *rapid.T) []naiveLease {
	var leases []naiveLease
	for n := range rapid.IntRange(1, 12).Draw(t, "tasks") {
		at := testStart + clock.Millis(rapid.Int64Range(0, int64(5*clock.Hour)).Draw(t, "from"))
		w := drawWork(t)
		checkpoint := ""
		for i := range rapid.IntRange(1, 3).Draw(t, "incarnations") {
			l := naiveLease{workload: w, task: fmt.Sprint("task-", n), incarnation: int64(i + 1), from: at, resumedFrom: checkpoint}
			l.until = at + clock.Millis(rapid.Int64Range(0, int64(4*clock.Hour)).Draw(t, "length"))
			l.state = rapid.SampledFrom(terminalStates).Draw(t, "end")
			if rapid.Bool().Draw(t, "saves") {
				checkpoint = fmt.Sprint("checkpoint-", i)
			}
			l.checkpoint = checkpoint
			at = l.until + clock.Millis(rapid.Int64Range(0, int64(clock.Hour)).Draw(t, "wait"))
			leases = append(leases, l)
		}
	}
	return leases
}

func eventsOf(leases []naiveLease) []timedEvent {
	var events []timedEvent
	for _, l := range leases {
		events = append(events,
			timedEvent{l.from, &schema.TaskEvent{Task: l.task, Incarnation: l.incarnation, State: starting, Checkpoint: l.resumedFrom, Reservation: l.workload.Reservation()}},
			timedEvent{l.until, &schema.TaskEvent{Task: l.task, Incarnation: l.incarnation, State: l.state, Checkpoint: l.checkpoint}})
	}
	slices.SortStableFunc(events, func(a, b timedEvent) int { return cmp.Compare(a.at, b.at) })
	return events
}

func (r *meterReader) applyUntil(j *streams, until clock.Millis) {
	for r.events < len(j.events) && j.events[r.events].at <= until {
		e := j.events[r.events]
		r.m.Apply(int64(r.events), e.at, e.event)
		r.events++
	}
	r.readUsage(j)
}

func (r *meterReader) readUsage(j *streams) {
	for ; r.usage < len(j.usage); r.usage++ {
		r.m.ApplyUsage(j.usage[r.usage])
	}
}

// simulateOwners appends the usage records of successive owners of the shard to j. At
// random, an owner is replaced by one that reads the streams from the beginning or from a
// snapshot, an owner skips a step, an append is duplicated, or the previous owner appends a
// stale record before the current one.
func simulateOwners(t *rapid.T, j *streams, until clock.Millis) {
	current := &meterReader{m: New(shard)}
	var replaced *meterReader
	for now := testStart; now <= until; now += 20 * clock.Minute {
		switch rapid.IntRange(0, 6).Draw(t, "fault") {
		case 0:
			replaced, current = current, &meterReader{m: New(shard)}
		case 1:
			replaced, current = current, &meterReader{m: Restore(current.m.Snapshot()), events: current.events, usage: current.usage}
		case 2:
			continue
		}
		current.applyUntil(j, now)
		for u := current.m.Due(now); u != nil; u = current.m.Due(now) {
			j.usage = append(j.usage, u)
			if rapid.Bool().Draw(t, "twice") {
				j.usage = append(j.usage, u)
			}
			if replaced != nil && rapid.Bool().Draw(t, "stale") {
				if s := replaced.m.Due(now); s != nil {
					j.usage = slices.Insert(j.usage, len(j.usage)-1, s)
				}
			}
			current.readUsage(j)
		}
	}
}

// TestRecordsSumToLeases checks that usage is billed exactly once: under the faults of
// simulateOwners, the first records of the hours add up to the usage that naiveMeter
// computes from the leases.
func TestRecordsSumToLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leases := drawLeases(t)
		j := &streams{events: eventsOf(leases)}
		until := testStart + 40*clock.Hour
		simulateOwners(t, j, until)
		must.Eq(t, naiveMeter(leases, testStart, until).amounts(), sumFirstRecords(j.usage, testStart, until))
	})
}

// sumFirstRecords sums the first record of each hour in [from, until).
func sumFirstRecords(usage []*schema.Usage, from, until clock.Millis) map[lineKey]Amounts {
	sums := map[lineKey]Amounts{}
	seen := map[int64]bool{}
	for _, u := range usage {
		h := clock.Millis(u.GetHourMillis())
		if seen[u.GetHourMillis()] || h < from || h >= until {
			continue
		}
		seen[u.GetHourMillis()] = true
		for _, l := range u.GetLines() {
			addTo(sums, lineKey{team: l.GetTeam(), workload: l.GetWork()}, AmountsOf(l))
		}
	}
	return sums
}

// TestHourlyRecordsMatchLeases checks that without late events each single record equals
// the usage that naiveMeter computes for its hour.
func TestHourlyRecordsMatchLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leases := drawLeases(t)
		j := &streams{events: eventsOf(leases)}
		r := &meterReader{m: New(shard)}
		for now := testStart; now <= testStart+40*clock.Hour; now += 10 * clock.Minute {
			r.applyUntil(j, now)
			for u := r.m.Due(now); u != nil; u = r.m.Due(now) {
				j.usage = append(j.usage, u)
				r.readUsage(j)
			}
		}
		for h := testStart; h < testStart+30*clock.Hour; h += clock.Hour {
			must.Eq(t, naiveMeter(leases, h, h+clock.Hour).amounts(), sumFirstRecords(j.usage, h, h+clock.Hour))
		}
	})
}

// TestStreamInterleaving checks that the records don't depend on the order in which the
// two streams are read relative to each other, nor on duplicate events. Otherwise owners
// would make different records of the same hour.
func TestStreamInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := &streams{events: eventsOf(drawLeases(t))}
		simulateOwners(t, j, testStart+12*clock.Hour)
		last := testStart + 12*clock.Hour
		sequential := &meterReader{m: New(shard)}
		sequential.applyUntil(j, last)
		interleaved := &meterReader{m: New(shard)}
		for interleaved.events < len(j.events) && j.events[interleaved.events].at <= last || interleaved.usage < len(j.usage) {
			if interleaved.usage < len(j.usage) && rapid.Bool().Draw(t, "usage") {
				interleaved.m.ApplyUsage(j.usage[interleaved.usage])
				interleaved.usage++
				continue
			}
			if interleaved.events == len(j.events) || j.events[interleaved.events].at > last {
				continue
			}
			e := j.events[interleaved.events]
			interleaved.m.Apply(int64(interleaved.events), e.at, e.event)
			interleaved.m.Apply(int64(interleaved.events), e.at, e.event)
			interleaved.events++
		}
		must.Eq(t, dueRecords(sequential.m, last), dueRecords(interleaved.m, last))
	})
}

func dueRecords(m *Meter, now clock.Millis) []string {
	var records []string
	for u := m.Due(now); u != nil; u = m.Due(now) {
		m.ApplyUsage(u)
		records = append(records, u.String())
	}
	return records
}

func TestApplyFaults(t *testing.T) {
	w := NewWorkload("a", "w", sizer.New(1000, sizer.GiB, 0), false)
	start := &schema.TaskEvent{Task: "t", Incarnation: 1, State: starting, Reservation: w.Reservation()}
	tests := map[string]struct {
		events []timedEvent
		want   []coder.Code
		held   int64
		key    lineKey
	}{
		"start and end": {
			events: []timedEvent{{testStart, start}, {testStart + 1000, &schema.TaskEvent{Task: "t", Incarnation: 1, State: succeeded}}},
			held:   1000, key: w.lineKey(),
		},
		"end twice": {
			events: []timedEvent{{testStart, start}, {testStart + 1000, &schema.TaskEvent{Task: "t", Incarnation: 1, State: succeeded}}, {testStart + 2000, &schema.TaskEvent{Task: "t", Incarnation: 1, State: lost}}},
			held:   1000, key: w.lineKey(),
		},
		"start twice": {
			events: []timedEvent{{testStart, start}, {testStart + 500, start}, {testStart + 1000, &schema.TaskEvent{Task: "t", Incarnation: 1, State: succeeded}}},
			held:   1000, key: w.lineKey(),
		},
		"end before the start": {
			events: []timedEvent{{testStart, &schema.TaskEvent{Task: "t", Incarnation: 1, State: succeeded}}, {testStart + 1000, start}},
			want:   []coder.Code{coder.OutOfOrder},
		},
		"unknown owner": {
			events: []timedEvent{{testStart, &schema.TaskEvent{Task: "x", Incarnation: 1, State: starting}}, {testStart + 1000, &schema.TaskEvent{Task: "x", Incarnation: 1, State: succeeded}}},
			want:   []coder.Code{coder.UnknownName},
			held:   1000, key: lineKey{team: UnknownTeam, workload: "x"},
		},
		"clock steps back within maxStep": {
			events: []timedEvent{{testStart + 500, start}, {testStart, &schema.TaskEvent{Task: "t", Incarnation: 1, State: succeeded}}},
			key:    w.lineKey(),
		},
		"clock steps a year ahead": {
			events: []timedEvent{{testStart, start}, {testStart + 365*clock.Day, &schema.TaskEvent{Task: "t", Incarnation: 1, State: succeeded}}},
			want:   []coder.Code{coder.ClockStep}, key: w.lineKey(),
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m := New(shard)
			for n, e := range tc.events {
				m.Apply(int64(n), e.at, e.event)
			}
			var codes []coder.Code
			for _, f := range m.TakeFaults() {
				codes = append(codes, f.Code())
			}
			must.Eq(t, tc.want, codes)
			u := m.Due(testStart + clock.Day)
			must.Eq(t, tc.held, sumsOf(u.GetLines())[tc.key][TaskMillis])
		})
	}
}

// TestStreamClockLargeStep checks that the stream's time follows a large step after three
// consecutive records agree on it, also backwards, and ignores a single wrong clock.
func TestStreamClockLargeStep(t *testing.T) {
	var l streamClock
	ahead := testStart + 30*clock.Day
	for n, tc := range []struct{ at, want clock.Millis }{
		{testStart, testStart}, {ahead, testStart}, {testStart + 1, testStart + 1}, {ahead, testStart + 1}, {ahead + 1, testStart + 1},
		{ahead + 2, ahead + 2}, {testStart + 3, ahead + 2}, {testStart + 4, ahead + 2}, {testStart + 5, testStart + 5},
	} {
		got, _ := l.advance(tc.at)
		must.Eq(t, tc.want, got, must.Sprint(n))
	}
}

// TestSampleCountsOnce checks that time covered by several samples is metered once, and that
// samples of an incarnation without a lease are ignored.
func TestSampleCountsOnce(t *testing.T) {
	w := NewWorkload("a", "w", sizer.New(1000, sizer.GiB, 0), true)
	m := New(shard)
	m.Apply(0, testStart, &schema.TaskEvent{Task: "w/0", Incarnation: 1, State: starting, Reservation: w.Reservation()})
	m.Sample("w/0", 1, testStart, testStart+1000, 500, sizer.MiB, 100)
	m.Sample("w/0", 1, testStart, testStart+1000, 500, sizer.MiB, 100)
	m.Sample("w/0", 1, testStart+500, testStart+1500, 500, sizer.MiB, 0)
	m.Sample("w/0", 2, testStart, testStart+1000, 500, sizer.MiB, 0)
	a := sumsOf(m.Due(testStart + clock.Day).GetLines())[w.lineKey()]
	must.Eq(t, 750_000, a[UsedProcessors])
	must.Eq(t, 1500, a[UsedMemory])
	must.Eq(t, 100_000, a[ThrottledProcessors])
}
