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

	shard = "maribor-1/0"
	epoch = 1_790_000_000_000 / clock.Hour * clock.Hour
)

type (
	stamped struct {
		at    clock.Millis
		event *schema.TaskEvent
	}

	// journal is the two streams that a meter lives from.
	journal struct {
		events []stamped
		usage  []*schema.Usage
	}

	// reader is a meter with how far it has read.
	reader struct {
		m      *Meter
		events int
		usage  int
	}
)

var (
	ends4 = []schema.TaskState{evicted, succeeded, failed, lost}
)

func drawWork(t *rapid.T) Work {
	n := rapid.IntRange(0, 4).Draw(t, "work")
	size := sizer.New(int64(1+n)*250, int64(n)*sizer.GiB+int64(n), int64(n%2))
	return NewWork(fmt.Sprint("team-", n%2), fmt.Sprint("work-", n), size, n == 0)
}

func drawLeases(t *rapid.T) []naiveLease {
	var leases []naiveLease
	for n := range rapid.IntRange(1, 12).Draw(t, "tasks") {
		at := epoch + clock.Millis(rapid.Int64Range(0, int64(5*clock.Hour)).Draw(t, "from"))
		w := drawWork(t)
		checkpoint := ""
		for i := range rapid.IntRange(1, 3).Draw(t, "incarnations") {
			l := naiveLease{work: w, task: fmt.Sprint("task-", n), number: int64(i + 1), from: at, resumed: checkpoint}
			l.until = at + clock.Millis(rapid.Int64Range(0, int64(4*clock.Hour)).Draw(t, "length"))
			l.state = rapid.SampledFrom(ends4).Draw(t, "end")
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

func eventsOf(leases []naiveLease) []stamped {
	var events []stamped
	for _, l := range leases {
		events = append(events,
			stamped{l.from, &schema.TaskEvent{Task: l.task, Incarnation: l.number, State: starting, Checkpoint: l.resumed, Reservation: l.work.Reservation()}},
			stamped{l.until, &schema.TaskEvent{Task: l.task, Incarnation: l.number, State: l.state, Checkpoint: l.checkpoint}})
	}
	slices.SortStableFunc(events, func(a, b stamped) int { return cmp.Compare(a.at, b.at) })
	return events
}

func (r *reader) step(j *journal, until clock.Millis) {
	for r.events < len(j.events) && j.events[r.events].at <= until {
		e := j.events[r.events]
		r.m.Apply(int64(r.events), e.at, e.event)
		r.events++
	}
	r.readBack(j)
}

func (r *reader) readBack(j *journal) {
	for ; r.usage < len(j.usage); r.usage++ {
		r.m.Recorded(j.usage[r.usage])
	}
}

// drive lets owners take over from each other while they meter: a new one
// begins from nothing or from a snapshot, appends are tried twice, answers get
// lost, and an owner that was replaced still appends.
func drive(t *rapid.T, j *journal, until clock.Millis) {
	r := &reader{m: New(shard)}
	var replaced *reader
	for now := epoch; now <= until; now += 20 * clock.Minute {
		switch rapid.IntRange(0, 6).Draw(t, "fault") {
		case 0:
			replaced, r = r, &reader{m: New(shard)}
		case 1:
			replaced, r = r, &reader{m: Restore(r.m.Snapshot()), events: r.events, usage: r.usage}
		case 2:
			continue
		}
		r.step(j, now)
		for u := r.m.Due(now); u != nil; u = r.m.Due(now) {
			j.usage = append(j.usage, u)
			if rapid.Bool().Draw(t, "twice") {
				j.usage = append(j.usage, u)
			}
			if replaced != nil && rapid.Bool().Draw(t, "stale") {
				if s := replaced.m.Due(now); s != nil {
					j.usage = slices.Insert(j.usage, len(j.usage)-1, s)
				}
			}
			r.readBack(j)
		}
	}
}

// TestRecordsAddUpToLeases: whatever happens to owners and appends, the records
// that count add up to what a naive walk over the leases gives.
func TestRecordsAddUpToLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leases := drawLeases(t)
		j := &journal{events: eventsOf(leases)}
		until := epoch + 40*clock.Hour
		drive(t, j, until)
		must.Eq(t, naiveMeter(leases, epoch, until).amounts(), counted(j.usage, epoch, until))
	})
}

// counted sums the first record of each hour in a span.
func counted(usage []*schema.Usage, from, until clock.Millis) map[payer]Amounts {
	sums := map[payer]Amounts{}
	seen := map[int64]bool{}
	for _, u := range usage {
		h := clock.Millis(u.GetHourMillis())
		if seen[u.GetHourMillis()] || h < from || h >= until {
			continue
		}
		seen[u.GetHourMillis()] = true
		for _, l := range u.GetLines() {
			addTo(sums, payer{team: l.GetTeam(), work: l.GetWork()}, AmountsOf(l))
		}
	}
	return sums
}

// TestEachHourIsExact: where nothing comes late, each hour's record is what a
// naive walk gives for that hour.
func TestEachHourIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leases := drawLeases(t)
		j := &journal{events: eventsOf(leases)}
		r := &reader{m: New(shard)}
		for now := epoch; now <= epoch+40*clock.Hour; now += 10 * clock.Minute {
			r.step(j, now)
			for u := r.m.Due(now); u != nil; u = r.m.Due(now) {
				j.usage = append(j.usage, u)
				r.readBack(j)
			}
		}
		for h := epoch; h < epoch+30*clock.Hour; h += clock.Hour {
			must.Eq(t, naiveMeter(leases, h, h+clock.Hour).amounts(), counted(j.usage, h, h+clock.Hour))
		}
	})
}

// TestOrderOfStreams: it makes no difference how the reading of the two
// streams interleaves, nor that events come twice.
func TestOrderOfStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := &journal{events: eventsOf(drawLeases(t))}
		drive(t, j, epoch+12*clock.Hour)
		last := epoch + 12*clock.Hour
		plain := &reader{m: New(shard)}
		plain.step(j, last)
		mixed := &reader{m: New(shard)}
		for mixed.events < len(j.events) && j.events[mixed.events].at <= last || mixed.usage < len(j.usage) {
			if mixed.usage < len(j.usage) && rapid.Bool().Draw(t, "usage") {
				mixed.m.Recorded(j.usage[mixed.usage])
				mixed.usage++
				continue
			}
			if mixed.events == len(j.events) || j.events[mixed.events].at > last {
				continue
			}
			e := j.events[mixed.events]
			mixed.m.Apply(int64(mixed.events), e.at, e.event)
			mixed.m.Apply(int64(mixed.events), e.at, e.event)
			mixed.events++
		}
		must.Eq(t, duesOf(plain.m, last), duesOf(mixed.m, last))
	})
}

func duesOf(m *Meter, now clock.Millis) []string {
	var dues []string
	for u := m.Due(now); u != nil; u = m.Due(now) {
		m.Recorded(u)
		dues = append(dues, u.String())
	}
	return dues
}

func TestApplyFaults(t *testing.T) {
	w := NewWork("a", "w", sizer.New(1000, sizer.GiB, 0), false)
	begin := &schema.TaskEvent{Task: "t", Incarnation: 1, State: starting, Reservation: w.Reservation()}
	tests := map[string]struct {
		events []stamped
		want   []coder.Code
		held   int64
		payer  payer
	}{
		"plain": {
			events: []stamped{{epoch, begin}, {epoch + 1000, &schema.TaskEvent{Task: "t", Incarnation: 1, State: succeeded}}},
			held:   1000, payer: w.payer(),
		},
		"end twice": {
			events: []stamped{{epoch, begin}, {epoch + 1000, &schema.TaskEvent{Task: "t", Incarnation: 1, State: succeeded}}, {epoch + 2000, &schema.TaskEvent{Task: "t", Incarnation: 1, State: lost}}},
			held:   1000, payer: w.payer(),
		},
		"start twice": {
			events: []stamped{{epoch, begin}, {epoch + 500, begin}, {epoch + 1000, &schema.TaskEvent{Task: "t", Incarnation: 1, State: succeeded}}},
			held:   1000, payer: w.payer(),
		},
		"start after the end": {
			events: []stamped{{epoch, &schema.TaskEvent{Task: "t", Incarnation: 1, State: succeeded}}, {epoch + 1000, begin}},
			want:   []coder.Code{coder.OutOfOrder},
		},
		"unknown task": {
			events: []stamped{{epoch, &schema.TaskEvent{Task: "x", Incarnation: 1, State: starting}}, {epoch + 1000, &schema.TaskEvent{Task: "x", Incarnation: 1, State: succeeded}}},
			want:   []coder.Code{coder.UnknownName},
			held:   1000, payer: payer{team: UnknownTeam, work: "x"},
		},
		"clock back a little": {
			events: []stamped{{epoch + 500, begin}, {epoch, &schema.TaskEvent{Task: "t", Incarnation: 1, State: succeeded}}},
			payer:  w.payer(),
		},
		"clock a year ahead": {
			events: []stamped{{epoch, begin}, {epoch + 365*clock.Day, &schema.TaskEvent{Task: "t", Incarnation: 1, State: succeeded}}},
			want:   []coder.Code{coder.ClockStep}, payer: w.payer(),
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
			u := m.Due(epoch + clock.Day)
			must.Eq(t, tc.held, sumsOf(u.GetLines())[tc.payer][TaskMillis])
		})
	}
}

// TestClockThatStaysAhead: a large step counts once three records in a row
// agree, and so does the step back.
func TestClockThatStaysAhead(t *testing.T) {
	var l timeline
	ahead := epoch + 30*clock.Day
	for n, tc := range []struct{ at, want clock.Millis }{
		{epoch, epoch}, {ahead, epoch}, {epoch + 1, epoch + 1}, {ahead, epoch + 1}, {ahead + 1, epoch + 1},
		{ahead + 2, ahead + 2}, {epoch + 3, ahead + 2}, {epoch + 4, ahead + 2}, {epoch + 5, epoch + 5},
	} {
		got, _ := l.at(tc.at)
		must.Eq(t, tc.want, got, must.Sprint(n))
	}
}

func TestSampleCountsOnce(t *testing.T) {
	w := NewWork("a", "w", sizer.New(1000, sizer.GiB, 0), true)
	m := New(shard)
	m.Apply(0, epoch, &schema.TaskEvent{Task: "w/0", Incarnation: 1, State: starting, Reservation: w.Reservation()})
	m.Sample("w/0", 1, epoch, epoch+1000, 500, sizer.MiB, 100)
	m.Sample("w/0", 1, epoch, epoch+1000, 500, sizer.MiB, 100)
	m.Sample("w/0", 1, epoch+500, epoch+1500, 500, sizer.MiB, 0)
	m.Sample("w/0", 2, epoch, epoch+1000, 500, sizer.MiB, 0)
	a := sumsOf(m.Due(epoch + clock.Day).GetLines())[w.payer()]
	must.Eq(t, 750_000, a[UsedProcessors])
	must.Eq(t, 1500, a[UsedMemory])
	must.Eq(t, 100_000, a[ThrottledProcessors])
}
