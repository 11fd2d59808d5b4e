package gatherer

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

var (
	executor = provider.Host{Name: "e1", Role: provider.RoleExecutor, Address: "10.0.0.1:80", DataCentre: "a", Service: "faults"}
)

// played takes a script, one step a second.
func played(t *testing.T, script []func(g *Gatherer, now clock.Millis)) (*Gatherer, []Change) {
	g, err := New(0, nil)
	must.NoError(t, err)
	var changes []Change
	for n, do := range script {
		now := clock.Millis(n) * clock.Second
		if do != nil {
			do(g, now)
		}
		for _, e := range g.Step(now) {
			changes = append(changes, e.Change())
		}
	}
	return g, changes
}

func TestSources(t *testing.T) {
	type step = func(g *Gatherer, now clock.Millis)
	listed := func(g *Gatherer, now clock.Millis) { g.Listed(now, []provider.Host{executor}) }
	leaving := func(g *Gatherer, now clock.Millis) {
		l := executor
		l.Leaving = true
		g.Listed(now, []provider.Host{l})
	}
	empty := func(g *Gatherer, now clock.Millis) { g.Listed(now, nil) }
	heard := func(g *Gatherer, now clock.Millis) { g.Heard(now, executor, "1", false) }
	asked := func(g *Gatherer, now clock.Millis) { g.Asked(now, "e1") }
	times := func(n int, s step) []step {
		var all []step
		for range n {
			all = append(all, s)
		}
		return all
	}
	then := func(parts ...[]step) []step {
		var all []step
		for _, p := range parts {
			all = append(all, p...)
		}
		return all
	}
	tests := map[string]struct {
		script  []step
		changes []Change
		open    bool
		known   bool
	}{
		"listed":                         {script: []step{listed}, open: true, known: true},
		"heard alone":                    {script: []step{heard}, changes: []Change{ChangeAlive}, open: true, known: true},
		"list drops a live host":         {script: then([]step{listed}, times(20, func(g *Gatherer, now clock.Millis) { heard(g, now); empty(g, now) })), changes: []Change{ChangeAlive}, open: true, known: true},
		"list drops a silent host":       {script: then([]step{listed, heard}, times(13, empty)), changes: []Change{ChangeAlive, ChangeGone}},
		"list keeps a dead host":         {script: then([]step{listed, heard}, times(13, func(g *Gatherer, now clock.Millis) { listed(g, now); asked(g, now) })), changes: []Change{ChangeAlive, ChangeSuspected, ChangeDied}, known: true},
		"dead before it was heard":       {script: then([]step{listed}, times(13, asked)), changes: []Change{ChangeSuspected, ChangeDied}, known: true},
		"suspected":                      {script: then([]step{listed, heard}, times(6, asked)), changes: []Change{ChangeAlive, ChangeSuspected}, known: true},
		"not asked":                      {script: then([]step{listed, heard}, times(30, nil)), changes: []Change{ChangeAlive}, open: true, known: true},
		"comes back":                     {script: then([]step{listed, heard}, times(13, asked), []step{heard}), changes: []Change{ChangeAlive, ChangeSuspected, ChangeDied, ChangeAlive}, open: true, known: true},
		"list says leaving":              {script: []step{listed, heard, leaving}, changes: []Change{ChangeAlive, ChangeLeaving}, known: true},
		"itself says leaving":            {script: []step{listed, func(g *Gatherer, now clock.Millis) { g.Heard(now, executor, "1", true) }, listed}, changes: []Change{ChangeAlive, ChangeLeaving}, known: true},
		"list takes leaving back":        {script: []step{heard, leaving, listed}, changes: []Change{ChangeAlive, ChangeLeaving, ChangeReturned}, open: true, known: true},
		"another process":                {script: []step{heard, func(g *Gatherer, now clock.Millis) { g.Heard(now, executor, "2", false) }}, changes: []Change{ChangeAlive, ChangeRestarted}, open: true, known: true},
		"list that can't be had goes on": {script: then([]step{leaving, heard}, times(30, nil)), changes: []Change{ChangeLeaving, ChangeAlive}, known: true},
		"leaving while the list lags":    {script: []step{listed, func(g *Gatherer, now clock.Millis) { g.Heard(now, executor, "1", true) }, listed, listed}, changes: []Change{ChangeAlive, ChangeLeaving}, known: true},
		"live host of the list is moved": {script: []step{listed, heard, func(g *Gatherer, now clock.Millis) {
			m := executor
			m.Address = "10.0.0.9:80"
			g.Listed(now, []provider.Host{m})
		}}, changes: []Change{ChangeAlive}, open: true, known: true},
		"silence ends with the first word": {script: then([]step{listed, heard}, times(3, asked), []step{heard}, times(3, asked)), changes: []Change{ChangeAlive}, open: true, known: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g, changes := played(t, tc.script)
			must.Eq(t, tc.changes, changes)
			m, known := g.Snapshot().Member("e1")
			must.Eq(t, tc.known, known)
			must.Eq(t, tc.open, known && m.Open())
			must.Eq(t, tc.open, len(g.Snapshot().Executors("faults")) == 1)
		})
	}
}

// TestSettingsStay: a host of the settings is kept whatever the list says.
func TestSettingsStay(t *testing.T) {
	g, err := New(0, []provider.Host{{Name: "d1", Role: provider.RoleEntry}})
	must.NoError(t, err)
	for n := range clock.Millis(60) {
		g.Listed(n*clock.Second, nil)
		g.Asked(n*clock.Second, "d1")
		g.Step(n * clock.Second)
	}
	must.Len(t, 1, g.Snapshot().Daemons())
	must.False(t, g.Snapshot().Daemons()[0].Live())
}

// TestLifeTable walks the table: every phase is reached and none but the last is
// without a way out.
func TestLifeTable(t *testing.T) {
	reached := map[string]bool{string(PhaseNew): true}
	left := map[string]bool{}
	for _, e := range lifeTable {
		reached[e.Dst] = true
		for _, s := range e.Src {
			left[s] = true
		}
	}
	for _, p := range []Phase{PhaseNew, PhaseAlive, PhaseSuspect, PhaseDead, PhaseGone} {
		must.True(t, reached[string(p)], must.Sprint(p))
		must.Eq(t, p != PhaseGone, left[string(p)], must.Sprint(p))
	}
}

// naive is the rule without events: it looks at all that was ever said.
type naive struct {
	listed, listLeaving, ownLeaving bool
	unanswered                      clock.Millis
}

// TestAsNaive: whatever the order of reports, a host is open just where the naive
// rule says so.
func TestAsNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, err := New(0, []provider.Host{executor})
		must.NoError(t, err)
		n := naive{unanswered: never}
		for now := clock.Millis(0); now < 60*clock.Second; now += clock.Second {
			switch rapid.IntRange(0, 5).Draw(t, "report") {
			case 0:
				n.listLeaving = rapid.Bool().Draw(t, "leaving")
				h := executor
				h.Leaving = n.listLeaving
				g.Listed(now, []provider.Host{h})
				n.listed = true
			case 1:
				g.Listed(now, nil)
				n.listLeaving = n.listLeaving && !n.listed
				n.listed = false
			case 2:
				n.ownLeaving = rapid.Bool().Draw(t, "leaving")
				n.unanswered = never
				g.Heard(now, executor, "1", n.ownLeaving)
			default:
				g.Asked(now, executor.Name)
				if n.unanswered == never {
					n.unanswered = now
				}
			}
			g.Step(now)
			m, known := g.Snapshot().Member(executor.Name)
			must.True(t, known)
			silent := n.unanswered != never && now-n.unanswered > DefaultSuspectAfter
			must.Eq(t, !n.listLeaving && !n.ownLeaving && !silent, m.Open())
		}
	})
}

func BenchmarkStep(b *testing.B) {
	for _, hosts := range []int{50, 138, 1100} {
		b.Run(fmt.Sprintf("hosts-%d", hosts), func(b *testing.B) {
			var all []provider.Host
			for n := range hosts {
				all = append(all, provider.Host{Name: fmt.Sprintf("w%04d", n), Role: provider.RoleWorker, DataCentre: "a"})
			}
			g, err := New(0, all)
			must.NoError(b, err)
			b.ReportAllocs()
			now := clock.Millis(0)
			for b.Loop() {
				now += clock.Second / 2
				g.Heard(now, all[0], "1", false)
				g.Step(now)
			}
		})
	}
}
