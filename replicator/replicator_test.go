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

// injectFault changes one random condition of the fleet: a process, a link, the log or
// delays.
func (f *fleet) injectFault() {
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
		m.cutFrom[p.name] = !m.cutFrom[p.name]
	case 5:
		for _, q := range f.members {
			if q.dataCentre != m.dataCentre {
				q.cutFrom[m.name] = true
				m.cutFrom[q.name] = true
			}
		}
	case 6:
		f.log.SetFaults(imitator.LogFaults{Down: !f.log.Faults().Down})
	case 7:
		f.lostAnswersPercent = f.rng.IntN(100)
	case 8:
		f.maxDelay = clock.Millis(f.rng.Int64N(int64(8 * clock.Second)))
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

// clearFaults ends every fault and restarts the dead members.
func (f *fleet) clearFaults() {
	f.log.SetFaults(imitator.LogFaults{})
	f.lostAnswersPercent, f.maxDelay = 0, 0
	for _, m := range f.members {
		clear(m.cutFrom)
		m.cutFromLog = false
		m.pausedUntil = 0
		if m.dead {
			f.boot(m)
		}
	}
}

// proposeConcurrently has about two thirds of the running members propose a change of the
// same team at the same version, and adds the ids to proposed.
func (f *fleet) proposeConcurrently(proposed map[string]bool) {
	name := fmt.Sprintf("team-%d", f.rng.IntN(4))
	for _, m := range f.members {
		if !f.running(m) || f.rng.IntN(3) == 0 {
			continue
		}
		id, err := f.propose(m, team(name, m.State().Get(declarer.KindTeam, name).Version()))
		if err == nil {
			proposed[id] = true
		}
	}
}

// TestInvariantsUnderFaults injects random faults of processes, links and the log.
// Throughout, no configuration may move back or differ from another at the same offset,
// and no work may start without a change accepted more than a few seconds ago. Once the
// faults end, all daemons must converge and accept changes again.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "daemons"), 3)
		proposed := map[string]bool{}
		for range rapid.IntRange(0, 25).Draw(t, "faults") {
			f.injectFault()
			f.proposeConcurrently(proposed)
			f.run(clock.Millis(f.rng.Int64N(int64(6*clock.Second))), func() {})
			must.SliceEmpty(t, f.violations, must.Sprint(firstOrEmpty(f.violations)))
		}
		f.clearFaults()
		f.run(20*clock.Second, func() {})
		must.SliceEmpty(t, f.violations, must.Sprint(firstOrEmpty(f.violations)))
		for _, m := range f.members {
			must.Eq(t, f.members[0].replica.next(), m.replica.next())
			must.True(t, m.Ready())
			must.True(t, m.Member(), must.Sprint(m.process(), f.members[0].replica.members))
			must.True(t, m.StartAllowed(f.local(m)))
		}
		for id := range f.appliedBy {
			must.True(t, proposed[id], must.Sprint(id))
		}
		_, err := f.propose(f.members[0], team("last", f.members[0].State().Get(declarer.KindTeam, "last").Version()))
		must.NoError(t, err)
	})
}

// TestInvariantViolationsDetected checks that checkInvariants reports a violation for each
// injected defect, and none without a defect.
func TestInvariantViolationsDetected(t *testing.T) {
	tests := map[string]struct {
		tamper func(*fleet, *member)
		valid  bool
	}{
		"no broken rule": {tamper: func(*fleet, *member) {}, valid: true},
		"record in flight ignored": {tamper: func(_ *fleet, m *member) {
			clear(m.inFlight)
		}},
		"age of a relayed view ignored": {tamper: func(_ *fleet, m *member) {
			if m.upToDateAt != never {
				m.upToDateAt += clock.Second
				m.publish()
			}
		}},
		"confirmation of one member not awaited": {tamper: func(f *fleet, m *member) {
			h := m.peerStates[f.members[1].process()]
			h.nothingInFlightAt = clock.Never / 2
			m.peerStates[f.members[1].process()] = h
		}},
		"moves back to an empty configuration": {tamper: func(f *fleet, m *member) {
			if f.rng.IntN(1000) == 0 {
				m.replica = newReplica()
			}
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			detected, last := false, ""
			for seed := uint64(0); seed < 10 && !detected; seed++ {
				f := newFleet(seed, 4, 2)
				f.tamper = func(m *member) { tc.tamper(f, m) }
				f.runOutages()
				detected = len(f.violations) > 0
				last = firstOrEmpty(f.violations)
			}
			must.Eq(t, !tc.valid, detected, must.Sprint(last))
		})
	}
}

// runOutages injects the faults that the injected defects need to show: all members lose
// the log and one reaches it again, a daemon joins while the others lose their connections
// to it and to the log, and operators change the configuration throughout.
func (f *fleet) runOutages() {
	proposed := map[string]bool{}
	proposeEachSecond := func() {
		if f.now.Now()%clock.Second == 0 {
			f.proposeConcurrently(proposed)
		}
	}
	f.run(15*clock.Second, proposeEachSecond)
	for range 2 {
		for _, m := range f.members {
			m.cutFromLog = true
		}
		f.run(8*clock.Second, proposeEachSecond)
		f.members[1].cutFromLog = false
		f.run(4*clock.Second, proposeEachSecond)
		for _, m := range f.members {
			if m.name != "q" {
				m.cutFrom["q"] = true
			}
		}
		f.run(8*clock.Second, proposeEachSecond)
		f.clearFaults()
		f.run(8*clock.Second, proposeEachSecond)
	}
	f.joinInIsolation(proposeEachSecond)
}

// joinInIsolation has the last daemon join again, and cuts the others off from it and
// from the log as soon as one of them has sent the record that adds it.
func (f *fleet) joinInIsolation(proposeEachSecond func()) {
	last := f.members[len(f.members)-1]
	f.kill(last)
	f.run(DropAfter+5*clock.Second, proposeEachSecond)
	f.run(3*clock.Second, func() {})
	f.boot(last)
	f.run(5*clock.Second, func() {
		for _, m := range f.members {
			if len(m.inFlight) > 0 {
				f.cutOthersOff(last)
			}
		}
	})
	f.run(10*clock.Second, proposeEachSecond)
}

func (f *fleet) cutOthersOff(last *member) {
	for _, m := range f.members {
		if m != last {
			m.cutFromLog = true
			m.cutFrom[last.name] = true
			last.cutFrom[m.name] = true
		}
	}
}

// TestPropose checks that a change is refused before the daemon is a member, and at a
// stale version.
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

func firstOrEmpty(faults []string) string {
	if len(faults) == 0 {
		return ""
	}
	return faults[0]
}
