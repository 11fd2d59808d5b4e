package claimer

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
)

// injectFault starts or ends one random fault.
func (f *fleet) injectFault() {
	m := f.members[f.rng.IntN(len(f.members))]
	p := f.members[f.rng.IntN(len(f.members))]
	switch f.rng.IntN(12) {
	case 0:
		m.dead = true
	case 1:
		f.boot(m)
	case 2:
		m.pausedUntil = f.now.Now() + clock.Millis(f.rng.Int64N(int64(20*clock.Second)))
	case 3:
		m.cutFromLog = !m.cutFromLog
	case 4:
		m.blockedSenders[p.name] = !m.blockedSenders[p.name]
	case 5:
		m.blockedSenders[p.name] = true
		p.blockedSenders[m.name] = true
	case 6:
		f.log.SetFaults(imitator.LogFaults{Down: !f.log.Faults().Down})
	case 7:
		f.lossPercent = f.rng.IntN(100)
	case 8:
		f.maxDelay = clock.Millis(f.rng.Int64N(int64(15 * clock.Second)))
	case 9:
		m.Leave()
	case 10:
		for _, q := range f.members {
			f.boot(q)
		}
	case 11:
		for _, q := range f.members {
			q.cutFromLog = true
		}
	}
}

// clearFaults ends every fault and restarts members that died or left.
func (f *fleet) clearFaults() {
	f.log.SetFaults(imitator.LogFaults{})
	f.lossPercent, f.maxDelay = 0, 0
	for _, m := range f.members {
		clear(m.blockedSenders)
		m.cutFromLog = false
		m.pausedUntil = 0
		if m.dead || m.leaving {
			f.boot(m)
		}
	}
}

// TestNoConflictingAuthority guards against two processes with conflicting authority
// over a shard under random faults, and against shards without an owner after all faults are cleared.
func TestNoConflictingAuthority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "daemons"), 2)
		checkConflicts := func() { must.SliceEmpty(t, f.conflicts()) }
		for range rapid.IntRange(0, 30).Draw(t, "faults") {
			f.injectFault()
			f.run(clock.Millis(f.rng.Int64N(int64(8*clock.Second))), checkConflicts)
		}
		f.clearFaults()
		f.run(30*clock.Second, checkConflicts)
		must.Eq(t, f.shards, f.ownedShards())
	})
}

// runOutages injects faults under which the defects lead to conflicts: the log fails
// repeatedly while messages are delayed; then a daemon dies and restarts 15 s later, just
// as the other daemons lose their connections to the log and to that daemon.
func (f *fleet) runOutages(afterTick func()) {
	p := f.members[0]
	f.maxDelay = 12 * clock.Second
	for n := range 8 {
		f.run(clock.Millis(f.rng.Int64N(int64(15*clock.Second))), afterTick)
		f.log.SetFaults(imitator.LogFaults{Down: n%2 == 0})
	}
	p.dead = true
	f.run(15*clock.Second, afterTick)
	f.maxDelay = 0
	f.boot(p)
	for _, m := range f.members[1:] {
		m.cutFromLog = true
		m.blockedSenders[p.name] = true
		p.blockedSenders[m.name] = true
	}
	f.run(15*clock.Second, afterTick)
}

// TestConflictsDetected shows that the check for conflicts detects each injected
// defect, and reports nothing without one.
func TestConflictsDetected(t *testing.T) {
	tests := map[string]struct {
		tamper       func(*fleet, *member)
		conflictFree bool
	}{
		"no defect": {tamper: func(*fleet, *member) {}, conflictFree: true},
		"clock drift beyond the margin": {tamper: func(_ *fleet, m *member) {
			m.clockRatePermille = map[string]int64{"p": 300, "q": 1000, "r": 3000}[m.name]
		}},
		"promise not kept": {tamper: func(_ *fleet, m *member) {
			for _, s := range m.shards {
				s.givenPromise = promise{epoch: NoEpoch}
			}
		}},
		"authority counted from when a renewal is read back": {tamper: func(f *fleet, m *member) {
			for _, s := range m.shards {
				if s.renewedAt != noTime && s.readAt > s.renewedAt {
					s.renewedAt = f.localTime(m)
				}
			}
		}},
		"new holder ignores earlier holders": {tamper: func(_ *fleet, m *member) {
			for _, s := range m.shards {
				s.clearAt = 0
				for id, w := range s.pending {
					w.clearAt = 0
					s.pending[id] = w
				}
			}
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			detected := false
			for seed := uint64(0); seed < 60 && !detected; seed++ {
				f := newFleet(seed, 3, 2)
				f.tamper = func(m *member) { tc.tamper(f, m) }
				f.runOutages(func() { detected = detected || len(f.conflicts()) > 0 })
			}
			must.Eq(t, !tc.conflictFree, detected)
		})
	}
}
