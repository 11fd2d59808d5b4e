package replicator

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/imitator"
)

// disturb changes one thing about the fleet.
func (f *fleet) disturb() {
	m := f.members[f.rng.IntN(len(f.members))]
	p := f.members[f.rng.IntN(len(f.members))]
	switch f.rng.IntN(11) {
	case 0:
		f.kill(m)
	case 1:
		f.boot(m)
	case 2:
		m.pausedUntil = f.now.Now() + clock.Millis(f.rng.Int64N(int64(20*clock.Second)))
	case 3:
		m.cutFromLog = !m.cutFromLog
	case 4:
		m.deaf[p.name] = !m.deaf[p.name]
	case 5:
		for _, q := range f.members {
			if q.dataCentre != m.dataCentre {
				q.deaf[m.name] = true
				m.deaf[q.name] = true
			}
		}
	case 6:
		f.log.SetFaults(imitator.LogFaults{Down: !f.log.Faults().Down})
	case 7:
		f.lost = f.rng.IntN(100)
	case 8:
		f.maxWait = clock.Millis(f.rng.Int64N(int64(8 * clock.Second)))
	case 9:
		for _, q := range f.members {
			f.boot(q)
		}
	case 10:
		for _, q := range f.members {
			q.cutFromLog = q != m
		}
	}
}

// heal ends every fault.
func (f *fleet) heal() {
	f.log.SetFaults(imitator.LogFaults{})
	f.lost, f.maxWait = 0, 0
	for _, m := range f.members {
		clear(m.deaf)
		m.cutFromLog = false
		m.pausedUntil = 0
		if m.dead {
			f.boot(m)
		}
	}
}

// race has every member propose the same change of one team.
func (f *fleet) race(told map[string]bool) {
	name := fmt.Sprintf("team-%d", f.rng.IntN(4))
	for _, m := range f.members {
		if !f.running(m) || f.rng.IntN(3) == 0 {
			continue
		}
		id, err := f.propose(m, team(name, m.State().Get(declarer.KindTeam, name).Version()))
		if err == nil {
			told[id] = true
		}
	}
}

// TestConfiguration: whatever happens, a configuration never goes back, is the
// same at the same offset, and no work starts without an accepted change after
// a few seconds; when it is over all have the same and go on.
func TestConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "daemons"), 3)
		told := map[string]bool{}
		for range rapid.IntRange(0, 25).Draw(t, "faults") {
			f.disturb()
			f.race(told)
			f.run(clock.Millis(f.rng.Int64N(int64(6*clock.Second))), func() {})
			must.SliceEmpty(t, f.faults, must.Sprint(first(f.faults)))
		}
		f.heal()
		f.run(20*clock.Second, func() {})
		must.SliceEmpty(t, f.faults, must.Sprint(first(f.faults)))
		for _, m := range f.members {
			must.Eq(t, f.members[0].replica.next(), m.replica.next())
			must.True(t, m.Ready())
			must.True(t, m.Member(), must.Sprint(m.process(), f.members[0].replica.members))
			must.True(t, m.StartAllowed(f.local(m)))
		}
		for id := range f.seen {
			must.True(t, told[id], must.Sprint(id))
		}
		_, err := f.propose(f.members[0], team("last", f.members[0].State().Get(declarer.KindTeam, "last").Version()))
		must.NoError(t, err)
	})
}

// TestConfigurationFires: the checks find each broken rule, and nothing where
// none is broken.
func TestConfigurationFires(t *testing.T) {
	tests := map[string]struct {
		tamper func(*fleet, *member)
		holds  bool
	}{
		"no broken rule": {tamper: func(*fleet, *member) {}, holds: true},
		"record on its way left out": {tamper: func(_ *fleet, m *member) {
			clear(m.unsettled)
		}},
		"age of a relayed view left out": {tamper: func(_ *fleet, m *member) {
			if m.fresh != never {
				m.fresh += clock.Second
				m.publish()
			}
		}},
		"one member's word not awaited": {tamper: func(f *fleet, m *member) {
			h := m.heard[f.members[1].process()]
			h.quietAt = clock.Never / 2
			m.heard[f.members[1].process()] = h
		}},
		"goes back": {tamper: func(f *fleet, m *member) {
			if f.rng.IntN(1000) == 0 {
				m.replica = newReplica()
			}
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fired, last := false, ""
			for seed := uint64(0); seed < 10 && !fired; seed++ {
				f := newFleet(seed, 4, 2)
				f.tamper = func(m *member) { tc.tamper(f, m) }
				f.outages()
				fired = len(f.faults) > 0
				last = first(f.faults)
			}
			must.Eq(t, !tc.holds, fired, must.Sprint(last))
		})
	}
}

// outages are the faults that bring out the rules: the log goes down for all
// and comes back for one, a new daemon joins while the others lose sight of it
// and of the log, and operators change the configuration all along.
func (f *fleet) outages() {
	told := map[string]bool{}
	race := func() {
		if f.now.Now()%clock.Second == 0 {
			f.race(told)
		}
	}
	f.run(15*clock.Second, race)
	for range 2 {
		for _, m := range f.members {
			m.cutFromLog = true
		}
		f.run(8*clock.Second, race)
		f.members[1].cutFromLog = false
		f.run(4*clock.Second, race)
		for _, m := range f.members {
			if m.name != "q" {
				m.deaf["q"] = true
			}
		}
		f.run(8*clock.Second, race)
		f.heal()
		f.run(8*clock.Second, race)
	}
	f.newcomer(race)
}

// newcomer has the last daemon join, and cuts the others off from it and from
// the log as soon as one has sent the record for it.
func (f *fleet) newcomer(race func()) {
	last := f.members[len(f.members)-1]
	f.kill(last)
	f.run(DropAfter+5*clock.Second, race)
	f.run(3*clock.Second, func() {})
	f.boot(last)
	f.run(5*clock.Second, func() {
		for _, m := range f.members {
			if len(m.unsettled) > 0 {
				f.isolate(last)
			}
		}
	})
	f.run(10*clock.Second, race)
}

func (f *fleet) isolate(last *member) {
	for _, m := range f.members {
		if m != last {
			m.cutFromLog = true
			m.deaf[last.name] = true
			last.deaf[m.name] = true
		}
	}
}

// TestPropose refuses what would not count.
func TestPropose(t *testing.T) {
	f := newFleet(1, 3, 3)
	_, err := f.propose(f.members[0], team("x", 0))
	must.Eq(t, coder.NotReady, coder.Of(err))
	f.run(5*clock.Second, func() {})
	_, err = f.propose(f.members[0], team("x", 7))
	must.Eq(t, coder.StaleVersion, coder.Of(err))
	_, err = f.propose(f.members[0], team("x", 0))
	must.NoError(t, err)
}

func first(faults []string) string {
	if len(faults) == 0 {
		return ""
	}
	return faults[0]
}
