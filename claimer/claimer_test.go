package claimer

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
)

// disturb changes one thing about the fleet.
func (f *fleet) disturb() {
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
		m.deaf[p.name] = !m.deaf[p.name]
	case 5:
		m.deaf[p.name] = true
		p.deaf[m.name] = true
	case 6:
		f.log.SetFaults(imitator.LogFaults{Down: !f.log.Faults().Down})
	case 7:
		f.lost = f.rng.IntN(100)
	case 8:
		f.maxWait = clock.Millis(f.rng.Int64N(int64(15 * clock.Second)))
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

// heal ends every fault.
func (f *fleet) heal() {
	f.log.SetFaults(imitator.LogFaults{})
	f.lost, f.maxWait = 0, 0
	for _, m := range f.members {
		clear(m.deaf)
		m.cutFromLog = false
		m.pausedUntil = 0
		if m.dead || m.leaving {
			f.boot(m)
		}
	}
}

// TestOneAuthority: whatever happens, no two processes have authority over a
// shard at once, and when it is over every shard has an owner.
func TestOneAuthority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "daemons"), 2)
		watch := func() { must.SliceEmpty(t, f.conflicts()) }
		for range rapid.IntRange(0, 30).Draw(t, "faults") {
			f.disturb()
			f.run(clock.Millis(f.rng.Int64N(int64(8*clock.Second))), watch)
		}
		f.heal()
		f.run(30*clock.Second, watch)
		must.Eq(t, f.shards, f.owned())
	})
}

// outages are the faults that bring out the rules: the log goes down and comes
// back while messages are late; a daemon dies, and is new while the others are
// cut off from the log and from it.
func (f *fleet) outages(watch func()) {
	p := f.members[0]
	f.maxWait = 12 * clock.Second
	for n := range 8 {
		f.run(clock.Millis(f.rng.Int64N(int64(15*clock.Second))), watch)
		f.log.SetFaults(imitator.LogFaults{Down: n%2 == 0})
	}
	p.dead = true
	f.run(15*clock.Second, watch)
	f.maxWait = 0
	f.boot(p)
	for _, m := range f.members[1:] {
		m.cutFromLog = true
		m.deaf[p.name] = true
		p.deaf[m.name] = true
	}
	f.run(15*clock.Second, watch)
}

// TestOneAuthorityFires: the check finds each broken rule, and nothing where
// none is broken.
func TestOneAuthorityFires(t *testing.T) {
	tests := map[string]struct {
		tamper func(*fleet, *member)
		holds  bool
	}{
		"no broken rule": {tamper: func(*fleet, *member) {}, holds: true},
		"clock beyond the margin": {tamper: func(_ *fleet, m *member) {
			m.rate = map[string]int64{"p": 300, "q": 1000, "r": 3000}[m.name]
		}},
		"promise not kept": {tamper: func(_ *fleet, m *member) {
			for _, s := range m.shards {
				s.promised = promise{epoch: NoEpoch}
			}
		}},
		"held from when it was read back": {tamper: func(f *fleet, m *member) {
			for _, s := range m.shards {
				if s.confirmed != never && s.readAt > s.confirmed {
					s.confirmed = f.local(m)
				}
			}
		}},
		"newcomer takes earlier holders for gone": {tamper: func(_ *fleet, m *member) {
			for _, s := range m.shards {
				s.clearAt = 0
				for id, w := range s.sent {
					w.clearAt = 0
					s.sent[id] = w
				}
			}
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fired := false
			for seed := uint64(0); seed < 60 && !fired; seed++ {
				f := newFleet(seed, 3, 2)
				f.tamper = func(m *member) { tc.tamper(f, m) }
				f.outages(func() { fired = fired || len(f.conflicts()) > 0 })
			}
			must.Eq(t, !tc.holds, fired)
		})
	}
}
