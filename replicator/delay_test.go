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

// proposal is a change and when it was proposed.
type proposal struct {
	id     string
	sentAt clock.Millis
}

// measureDelays sets the delay of each change that every member has applied by now.
func (f *fleet) measureDelays(changes []proposal, delays []clock.Millis) {
	for i, c := range changes {
		if delays[i] == 0 && f.appliedBy[c.id] == len(f.members) {
			delays[i] = f.now.Now() - c.sentAt
		}
	}
}

// TestPropagationDelay checks that a change is in force at all 24 daemons of 8 data
// centres within 2 s, at 2,100 changes a day and in a burst of 100, while one daemon
// can't reach the log and gets the changes from its peers only.
func TestPropagationDelay(t *testing.T) {
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
			var changes []proposal
			delays := make([]clock.Millis, tc.changes)
			for n := range tc.changes {
				id, err := f.propose(f.members[n%4], team(fmt.Sprintf("t%d", n), 0))
				must.NoError(t, err)
				changes = append(changes, proposal{id: id, sentAt: f.now.Now()})
				f.run(tc.every, func() { f.measureDelays(changes, delays) })
			}
			f.run(5*clock.Second, func() { f.measureDelays(changes, delays) })
			must.SliceNotContains(t, delays, 0)
			slices.Sort(delays)
			t.Logf("%s: median %d ms, worst %d ms", name, delays[len(delays)/2], delays[len(delays)-1])
			must.LessEq(t, target, delays[len(delays)-1])
		})
	}
}

// TestNoStartsAfterDrain checks that a daemon of a drained data centre that hasn't read
// the drain allows no starts once the maximum staleness has passed since the drain was
// sent, also while daemons are paused or cut off from the log or from each other.
func TestNoStartsAfterDrain(t *testing.T) {
	const bound = DefaultMaxStaleness + clock.Second/2
	others := func(f *fleet, m *member) []*member {
		return slices.DeleteFunc(slices.Clone(f.members), func(p *member) bool { return p.dataCentre == m.dataCentre })
	}
	tests := map[string]struct {
		cut func(f *fleet, m *member)
	}{
		"no cut": {cut: func(*fleet, *member) {}},
		"daemon cut from the log": {cut: func(_ *fleet, m *member) {
			m.cutFromLog = true
		}},
		"data centre cut from the log": {cut: func(f *fleet, m *member) {
			for _, p := range f.members {
				p.cutFromLog = p.dataCentre == m.dataCentre
			}
		}},
		"data centre cut from everything": {cut: func(f *fleet, m *member) {
			for _, p := range f.members {
				p.cutFromLog = p.dataCentre == m.dataCentre
				for _, q := range others(f, m) {
					if p.cutFromLog {
						p.cutFrom[q.name] = true
						q.cutFrom[p.name] = true
					}
				}
			}
		}},
		"daemon cut from the log and receives nothing": {cut: func(f *fleet, m *member) {
			m.cutFromLog = true
			for _, q := range f.members {
				m.cutFrom[q.name] = true
			}
		}},
		"paused": {cut: func(f *fleet, m *member) { m.pausedUntil = f.now.Now() + clock.Minute }},
		"all but the operator's daemon cut from the log": {cut: func(f *fleet, _ *member) {
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
			drainSentAt, lastStartAt := f.now.Now(), f.now.Now()
			f.run(20*clock.Second, func() {
				for _, p := range f.members {
					if p.dataCentre == "a" && p.StartAllowed(f.local(p)) && !p.State().DataCentreDrained("a") {
						lastStartAt = f.now.Now()
					}
				}
			})
			must.SliceEmpty(t, f.violations)
			must.True(t, operator.State().DataCentreDrained("a"))
			t.Logf("%s: last start %d ms after the drain was sent", name, lastStartAt-drainSentAt)
			must.LessEq(t, bound, lastStartAt-drainSentAt)
		})
	}
}

// TestStartsDuringLogOutage checks that during an outage of the log work may start while
// every member confirms that it has appended nothing, and no longer once one of them is
// silent or new, or the outage limit has passed.
func TestStartsDuringLogOutage(t *testing.T) {
	tests := map[string]struct {
		disturb func(f *fleet)
		after   clock.Millis
		want    bool
	}{
		"all members confirm":          {disturb: func(*fleet) {}, after: 10 * clock.Minute, want: true},
		"outage longer than the limit": {disturb: func(*fleet) {}, after: DefaultOutageLimit + clock.Minute},
		"one member is dead":           {disturb: func(f *fleet) { f.kill(f.members[2]) }, after: 10 * clock.Second},
		"one member is silent":         {disturb: func(f *fleet) { f.members[0].cutFrom[f.members[2].name] = true }, after: 10 * clock.Second},
		"one member restarted":         {disturb: func(f *fleet) { f.boot(f.members[2]) }, after: 10 * clock.Second},
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

// TestRecoveryFromGap discards records of the log before a daemon has read them. The daemon
// must continue from the newest whole snapshot. Without a snapshot, it must return an error
// and change nothing.
func TestRecoveryFromGap(t *testing.T) {
	f := newFleet(1, 2, 2)
	f.run(5*clock.Second, func() {})
	for n := range 5 {
		_, err := f.propose(f.members[0], team(fmt.Sprintf("t%d", n), 0))
		must.NoError(t, err)
		f.run(clock.Second, func() {})
	}
	records := f.members[0].replica.chunks("s", func() *schema.Record { return f.members[0].newRecord(0) })
	f.append(f.members[0], records)
	f.run(clock.Second, func() {})
	_, err := f.propose(f.members[0], team("after", 0))
	must.NoError(t, err)
	f.run(clock.Second, func() {})

	all, err := f.log.Provider().Read(t.Context(), provider.StreamConfig, 0, 100)
	must.NoError(t, err)
	tests := map[string]struct {
		oldest provider.Offset
		found  bool
	}{
		"log begins before the snapshot": {oldest: 3, found: true},
		"log begins after the snapshot":  {oldest: all.Next - 1},
		"log begins at the snapshot":     {oldest: all.Next - 2, found: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := New("x#1", "x", "a", 0)
			must.NoError(t, err)
			page := provider.Page{Entries: all.Entries[tc.oldest:], Oldest: tc.oldest, Next: all.Next}
			_, err = r.ApplyPage(0, 0, page)
			must.Eq(t, tc.found, err == nil)
			must.Eq(t, tc.found, r.Ready())
			if tc.found {
				must.Eq(t, f.members[0].replica.digest, r.replica.digest)
				must.Eq(t, 6, r.State().Len())
			}
		})
	}
}

// TestSnapshotBeforeRetentionEnds checks that snapshots are written often enough for a
// new process to recover a configuration whose first records the log has long discarded.
func TestSnapshotBeforeRetentionEnds(t *testing.T) {
	f := newFleet(1, 1, 1)
	m := f.members[0]
	f.run(5*clock.Second, func() {})
	_, err := f.propose(m, team("old", 0))
	must.NoError(t, err)
	for range 100 {
		f.run(clock.Second, func() {})
		f.now.Advance(snapshotInterval/2 - clock.Second)
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

// TestSnapshotAfterRecords checks that many changes trigger a snapshot, and at most two
// while messages are delayed by up to 20 s and the daemon reads its snapshot back late.
func TestSnapshotAfterRecords(t *testing.T) {
	f := newFleet(1, 2, 2)
	f.run(5*clock.Second, func() {})
	version := int64(0)
	for range maxRecordsBeforeSnapshot {
		_, err := f.propose(f.members[0], team("t", version))
		must.NoError(t, err)
		f.run(3*tick, func() {})
		version = f.members[0].State().Get(declarer.KindTeam, "t").Version()
	}
	f.maxDelay = 20 * clock.Second
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
