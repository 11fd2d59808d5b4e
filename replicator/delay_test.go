package replicator

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// sent is a change and when it was sent.
type sent struct {
	id string
	at clock.Millis
}

// check notes how long after its sending each change was in force at all.
func (f *fleet) check(changes []sent, waits []clock.Millis) {
	for i, c := range changes {
		if waits[i] == 0 && f.seen[c.id] == len(f.members) {
			waits[i] = f.now.Now() - c.at
		}
	}
}

// TestAcceptedToEverywhere: a change is in force at all 24 daemons of 8 data
// centres within 2 s, one of them cut off from the log, at 2,100 changes a day
// and in a burst of 100.
func TestAcceptedToEverywhere(t *testing.T) {
	const target = 2 * clock.Second
	tests := map[string]struct {
		changes int
		every   clock.Millis
	}{
		"2,100 a day":  {changes: 4, every: clock.Day / 2100},
		"burst of 100": {changes: 100},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, 24, 8)
			f.run(10*clock.Second, func() {})
			f.members[5].cutFromLog = true
			var changes []sent
			waits := make([]clock.Millis, tc.changes)
			for n := range tc.changes {
				id, err := f.propose(f.members[n%4], team(fmt.Sprintf("t%d", n), 0))
				must.NoError(t, err)
				changes = append(changes, sent{id: id, at: f.now.Now()})
				f.run(tc.every, func() { f.check(changes, waits) })
			}
			f.run(5*clock.Second, func() { f.check(changes, waits) })
			must.SliceNotContains(t, waits, 0)
			slices.Sort(waits)
			t.Logf("%s: median %d ms, worst %d ms", name, waits[len(waits)/2], waits[len(waits)-1])
			must.LessEq(t, target, waits[len(waits)-1])
		})
	}
}

// TestDrainToLastStart: after a drain is accepted no daemon of the data centre
// lets work start without it for longer than its view may be old.
func TestDrainToLastStart(t *testing.T) {
	const bound = DefaultFreshFor + clock.Second/2
	others := func(f *fleet, m *member) []*member {
		return slices.DeleteFunc(slices.Clone(f.members), func(p *member) bool { return p.dataCentre == m.dataCentre })
	}
	tests := map[string]struct {
		cut func(f *fleet, m *member)
	}{
		"none": {cut: func(*fleet, *member) {}},
		"daemon from the log": {cut: func(_ *fleet, m *member) {
			m.cutFromLog = true
		}},
		"data centre from the log": {cut: func(f *fleet, m *member) {
			for _, p := range f.members {
				p.cutFromLog = p.dataCentre == m.dataCentre
			}
		}},
		"data centre from everything": {cut: func(f *fleet, m *member) {
			for _, p := range f.members {
				p.cutFromLog = p.dataCentre == m.dataCentre
				for _, q := range others(f, m) {
					if p.cutFromLog {
						p.deaf[q.name] = true
						q.deaf[p.name] = true
					}
				}
			}
		}},
		"one way": {cut: func(f *fleet, m *member) {
			m.cutFromLog = true
			for _, q := range f.members {
				m.deaf[q.name] = true
			}
		}},
		"paused": {cut: func(f *fleet, m *member) { m.pausedUntil = f.now.Now() + clock.Minute }},
		"all but the operator's daemon from the log": {cut: func(f *fleet, _ *member) {
			for _, p := range f.members[:len(f.members)-1] {
				p.cutFromLog = true
			}
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, 6, 3)
			f.run(10*clock.Second, func() {})
			operator, m := f.members[5], f.members[0]
			_, err := f.propose(operator, dataCentre("a"))
			must.NoError(t, err)
			f.run(5*clock.Second, func() {})
			tc.cut(f, m)
			_, err = f.propose(operator, drain("a"))
			must.NoError(t, err)
			begun, last := f.now.Now(), f.now.Now()
			f.run(20*clock.Second, func() {
				for _, p := range f.members {
					if p.dataCentre == "a" && p.StartAllowed(f.local(p)) && !p.State().DataCentreDrained("a") {
						last = f.now.Now()
					}
				}
			})
			must.SliceEmpty(t, f.faults)
			must.True(t, operator.State().DataCentreDrained("a"))
			t.Logf("%s: last start %d ms after the drain was sent", name, last-begun)
			must.LessEq(t, bound, last-begun)
		})
	}
}

// TestLogDownForAll: starts go on while every member says that it added
// nothing, and end once one is not heard or the limit has passed.
func TestLogDownForAll(t *testing.T) {
	tests := map[string]struct {
		disturb func(f *fleet)
		after   clock.Millis
		want    bool
	}{
		"all say so":       {disturb: func(*fleet) {}, after: 10 * clock.Minute, want: true},
		"up to the limit":  {disturb: func(*fleet) {}, after: DefaultAgreeLimit + clock.Minute},
		"one is dead":      {disturb: func(f *fleet) { f.kill(f.members[2]) }, after: 10 * clock.Second},
		"one is not heard": {disturb: func(f *fleet) { f.members[0].deaf[f.members[2].name] = true }, after: 10 * clock.Second},
		"one is new":       {disturb: func(f *fleet) { f.boot(f.members[2]) }, after: 10 * clock.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, 3, 3)
			f.run(10*clock.Second, func() {})
			f.log.SetFaults(imitator.LogFaults{Down: true})
			tc.disturb(f)
			f.run(tc.after, func() {})
			must.Eq(t, tc.want, f.members[0].StartAllowed(f.local(f.members[0])))
		})
	}
}

// TestHole: a daemon that finds records discarded starts from the newest whole
// snapshot, and one without a snapshot says so and changes nothing.
func TestHole(t *testing.T) {
	f := newFleet(1, 2, 2)
	f.run(5*clock.Second, func() {})
	for n := range 5 {
		_, err := f.propose(f.members[0], team(fmt.Sprintf("t%d", n), 0))
		must.NoError(t, err)
		f.run(clock.Second, func() {})
	}
	records := f.members[0].replica.chunks("s", func() *schema.Record { return f.members[0].record(0) })
	f.append(f.members[0], records)
	f.run(clock.Second, func() {})
	_, err := f.propose(f.members[0], team("after", 0))
	must.NoError(t, err)
	f.run(clock.Second, func() {})

	whole, err := f.log.Provider().Read(t.Context(), provider.StreamConfig, 0, 100)
	must.NoError(t, err)
	tests := map[string]struct {
		oldest provider.Offset
		found  bool
	}{
		"before the snapshot":   {oldest: 3, found: true},
		"without the snapshot":  {oldest: whole.Next - 1},
		"from the snapshot off": {oldest: whole.Next - 2, found: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := New("x#1", "x", "a", 0)
			must.NoError(t, err)
			page := provider.Page{Entries: whole.Entries[tc.oldest:], Oldest: tc.oldest, Next: whole.Next}
			_, err = r.Read(0, 0, page)
			must.Eq(t, tc.found, err == nil)
			must.Eq(t, tc.found, r.Ready())
			if tc.found {
				must.Eq(t, f.members[0].replica.digest, r.replica.digest)
				must.Eq(t, 6, r.State().Len())
			}
		})
	}
}

// TestSnapshotsOutliveRetention: with changes now and then, a new process finds
// the configuration however long ago its first records were discarded.
func TestSnapshotsOutliveRetention(t *testing.T) {
	f := newFleet(1, 1, 1)
	m := f.members[0]
	f.run(5*clock.Second, func() {})
	_, err := f.propose(m, team("old", 0))
	must.NoError(t, err)
	for range 100 {
		f.run(clock.Second, func() {})
		f.now.Advance(snapshotEvery/2 - clock.Second)
	}
	f.run(5*clock.Second, func() {})
	page, err := f.log.Provider().Read(t.Context(), provider.StreamConfig, 0, 1)
	must.NoError(t, err)
	must.Positive(t, page.Oldest)
	f.boot(m)
	f.run(10*clock.Second, func() {})
	must.True(t, m.Ready())
	must.Eq(t, 1, m.State().Len())
}

// TestSnapshotAfterRecords: many changes bring one snapshot, also where its
// answer is long on the way.
func TestSnapshotAfterRecords(t *testing.T) {
	f := newFleet(1, 2, 2)
	f.run(5*clock.Second, func() {})
	version := int64(0)
	for range snapshotRecords {
		_, err := f.propose(f.members[0], team("t", version))
		must.NoError(t, err)
		f.run(3*tick, func() {})
		version = f.members[0].State().Get(declarer.KindTeam, "t").Version()
	}
	f.maxWait = 20 * clock.Second
	f.run(3*clock.Minute, func() {})
	page, err := f.log.Provider().Read(t.Context(), provider.StreamConfig, 0, 10_000)
	must.NoError(t, err)
	snapshots := 0
	for _, e := range page.Entries {
		r := &schema.Record{}
		must.NoError(t, proto.Unmarshal(e.Data, r))
		if r.GetSnapshot() != nil {
			snapshots++
		}
	}
	must.Between(t, 1, snapshots, 2)
}

func dataCentre(name string) *schema.Change {
	return &schema.Change{Operator: "ana", Items: []*schema.ChangeItem{{Kind: string(declarer.KindDataCentre), Name: name, Document: []byte(`{"name":"` + name + `","region":"r"}`)}}}
}

func drain(name string) *schema.Change {
	n := declarer.DrainOfDataCentre(name)
	return &schema.Change{Operator: "ana", Items: []*schema.ChangeItem{{Kind: string(declarer.KindDrain), Name: n, Document: []byte(`{"name":"` + n + `"}`)}}}
}
