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

// runScript runs one step of the script a second, each followed by Step, and returns the
// kinds of all events.
func runScript(t *testing.T, script []func(g *Gatherer, now clock.Millis)) (*Gatherer, []Change) {
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

// TestSources checks the state of a host when the list, the host's own reports and its
// answers to requests disagree, for each way in which they can.
func TestSources(t *testing.T) {
	type step = func(g *Gatherer, now clock.Millis)
	listed := func(g *Gatherer, now clock.Millis) { g.ApplyHostList(now, []provider.Host{executor}) }
	leaving := func(g *Gatherer, now clock.Millis) {
		l := executor
		l.Leaving = true
		g.ApplyHostList(now, []provider.Host{l})
	}
	empty := func(g *Gatherer, now clock.Millis) { g.ApplyHostList(now, nil) }
	heard := func(g *Gatherer, now clock.Millis) { g.RecordContact(now, executor, "1", false) }
	asked := func(g *Gatherer, now clock.Millis) { g.RecordRequest(now, "e1") }
	repeat := func(n int, s step) []step {
		var all []step
		for range n {
			all = append(all, s)
		}
		return all
	}
	concat := func(parts ...[]step) []step {
		var all []step
		for _, p := range parts {
			all = append(all, p...)
		}
		return all
	}
	tests := map[string]struct {
		script      []step
		changes     []Change
		acceptsWork bool
		known       bool
	}{
		"listed":                          {script: []step{listed}, acceptsWork: true, known: true},
		"not in list":                     {script: []step{heard}, changes: []Change{ChangeAlive}, acceptsWork: true, known: true},
		"list drops a live host":          {script: concat([]step{listed}, repeat(20, func(g *Gatherer, now clock.Millis) { heard(g, now); empty(g, now) })), changes: []Change{ChangeAlive}, acceptsWork: true, known: true},
		"list drops a silent host":        {script: concat([]step{listed, heard}, repeat(13, empty)), changes: []Change{ChangeAlive, ChangeGone}},
		"list has a dead host":            {script: concat([]step{listed, heard}, repeat(13, func(g *Gatherer, now clock.Millis) { listed(g, now); asked(g, now) })), changes: []Change{ChangeAlive, ChangeSuspected, ChangeDied}, known: true},
		"never answered":                  {script: concat([]step{listed}, repeat(13, asked)), changes: []Change{ChangeSuspected, ChangeDied}, known: true},
		"suspected":                       {script: concat([]step{listed, heard}, repeat(6, asked)), changes: []Change{ChangeAlive, ChangeSuspected}, known: true},
		"no requests":                     {script: concat([]step{listed, heard}, repeat(30, nil)), changes: []Change{ChangeAlive}, acceptsWork: true, known: true},
		"dead host answers":               {script: concat([]step{listed, heard}, repeat(13, asked), []step{heard}), changes: []Change{ChangeAlive, ChangeSuspected, ChangeDied, ChangeAlive}, acceptsWork: true, known: true},
		"list says leaving":               {script: []step{listed, heard, leaving}, changes: []Change{ChangeAlive, ChangeLeaving}, known: true},
		"host says leaving":               {script: []step{listed, func(g *Gatherer, now clock.Millis) { g.RecordContact(now, executor, "1", true) }, listed}, changes: []Change{ChangeAlive, ChangeLeaving}, known: true},
		"list withdraws leaving":          {script: []step{heard, leaving, listed}, changes: []Change{ChangeAlive, ChangeLeaving, ChangeReturned}, acceptsWork: true, known: true},
		"restarted":                       {script: []step{heard, func(g *Gatherer, now clock.Millis) { g.RecordContact(now, executor, "2", false) }}, changes: []Change{ChangeAlive, ChangeRestarted}, acceptsWork: true, known: true},
		"list unavailable":                {script: concat([]step{leaving, heard}, repeat(30, nil)), changes: []Change{ChangeLeaving, ChangeAlive}, known: true},
		"host says leaving and list lags": {script: []step{listed, func(g *Gatherer, now clock.Millis) { g.RecordContact(now, executor, "1", true) }, listed, listed}, changes: []Change{ChangeAlive, ChangeLeaving}, known: true},
		"address changed in list": {script: []step{listed, heard, func(g *Gatherer, now clock.Millis) {
			m := executor
			m.Address = "10.0.0.9:80"
			g.ApplyHostList(now, []provider.Host{m})
		}}, changes: []Change{ChangeAlive}, acceptsWork: true, known: true},
		"answer ends the silence": {script: concat([]step{listed, heard}, repeat(3, asked), []step{heard}, repeat(3, asked)), changes: []Change{ChangeAlive}, acceptsWork: true, known: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g, changes := runScript(t, tc.script)
			must.Eq(t, tc.changes, changes)
			m, known := g.Snapshot().Member("e1")
			must.Eq(t, tc.known, known)
			must.Eq(t, tc.acceptsWork, known && m.AcceptsWork())
			must.Eq(t, tc.acceptsWork, len(g.Snapshot().Executors("faults")) == 1)
		})
	}
}

// A host of the settings must be kept when the list doesn't contain it and it doesn't
// answer.
func TestHostsInSettingsAreKept(t *testing.T) {
	g, err := New(0, []provider.Host{{Name: "d1", Role: provider.RoleEntry}})
	must.NoError(t, err)
	for n := range clock.Millis(60) {
		g.ApplyHostList(n*clock.Second, nil)
		g.RecordRequest(n*clock.Second, "d1")
		g.Step(n * clock.Second)
	}
	must.Len(t, 1, g.Snapshot().Daemons())
	must.False(t, g.Snapshot().Daemons()[0].AliveOrSuspect())
}

// Every phase must be reachable, and every phase but gone must have a transition to another.
func TestLifecycleTransitions(t *testing.T) {
	reached := map[string]bool{string(PhaseNew): true}
	left := map[string]bool{}
	for _, e := range transitions {
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

// referenceModel is a simple second implementation of Member.AcceptsWork, without a state
// machine: it keeps only the last report of each source.
type referenceModel struct {
	listed, leavingInList, selfReportedLeaving bool
	unanswered                                 clock.Millis
}

// For random sequences of reports, a host must accept work exactly when the reference model
// says so.
func TestMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, err := New(0, []provider.Host{executor})
		must.NoError(t, err)
		n := referenceModel{unanswered: allAnswered}
		for now := clock.Millis(0); now < 60*clock.Second; now += clock.Second {
			switch rapid.IntRange(0, 5).Draw(t, "report") {
			case 0:
				n.leavingInList = rapid.Bool().Draw(t, "leaving")
				h := executor
				h.Leaving = n.leavingInList
				g.ApplyHostList(now, []provider.Host{h})
				n.listed = true
			case 1:
				g.ApplyHostList(now, nil)
				n.leavingInList = n.leavingInList && !n.listed
				n.listed = false
			case 2:
				n.selfReportedLeaving = rapid.Bool().Draw(t, "leaving")
				n.unanswered = allAnswered
				g.RecordContact(now, executor, "1", n.selfReportedLeaving)
			default:
				g.RecordRequest(now, executor.Name)
				if n.unanswered == allAnswered {
					n.unanswered = now
				}
			}
			g.Step(now)
			m, known := g.Snapshot().Member(executor.Name)
			must.True(t, known)
			silent := n.unanswered != allAnswered && now-n.unanswered > DefaultSuspectAfter
			must.Eq(t, !n.leavingInList && !n.selfReportedLeaving && !silent, m.AcceptsWork())
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
				g.RecordContact(now, all[0], "1", false)
				g.Step(now)
			}
		})
	}
}
