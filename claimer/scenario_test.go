package claimer

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/schema"
)

// settled gives a fleet in which every shard has an owner.
func settled(t *testing.T, seed uint64, members int) *fleet {
	f := newFleet(seed, members, 1)
	f.run(15*clock.Second, func() {})
	must.Eq(t, 1, f.owned())
	return f
}

func (f *fleet) owner(t *testing.T) *member {
	i := slices.IndexFunc(f.members, func(m *member) bool {
		_, held := m.Authority("a/0", f.local(m))
		return held && !m.dead
	})
	must.GreaterEq(t, 0, i)
	return f.members[i]
}

// TestLogDown: the holder goes on while every claimant that it lists has
// promised, and no longer.
func TestLogDown(t *testing.T) {
	tests := map[string]struct {
		disturb func(f *fleet, owner, other *member)
		after   clock.Millis
		want    int
	}{
		"all promise":                 {after: 10 * clock.Minute, want: 1},
		"up to the limit":             {after: DefaultPromiseLimit + clock.Minute, want: 0},
		"one claimant is gone":        {disturb: func(_ *fleet, _, o *member) { o.dead = true }, after: 10 * clock.Second, want: 0},
		"one claimant is another now": {disturb: func(f *fleet, _, o *member) { f.boot(o) }, after: 10 * clock.Second, want: 0},
		"cut off one way":             {disturb: func(_ *fleet, w, o *member) { w.deaf[o.name] = true }, after: 10 * clock.Second, want: 0},
		"holder paused":               {disturb: func(f *fleet, w, _ *member) { w.pausedUntil = f.now.Now() + clock.Hour }, after: 10 * clock.Second, want: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := settled(t, 1, 3)
			w := f.owner(t)
			o := f.members[(slices.Index(f.members, w)+1)%3]
			f.log.SetFaults(imitator.LogFaults{Down: true})
			if tc.disturb != nil {
				tc.disturb(f, w, o)
			}
			f.run(tc.after, func() {})
			must.Eq(t, tc.want, f.owned())
			must.SliceEmpty(t, f.conflicts())
		})
	}
}

// TestRelayed: a holder that reaches the log through a peer keeps its shard.
func TestRelayed(t *testing.T) {
	f := settled(t, 1, 3)
	w := f.owner(t)
	a, _ := w.Authority("a/0", f.local(w))
	w.cutFromLog = true
	f.run(2*DefaultPromiseLimit, func() { must.Eq(t, 1, f.owned()) })
	b, held := w.Authority("a/0", f.local(w))
	must.True(t, held)
	must.Eq(t, a.Epoch(), b.Epoch())
}

// TestNewcomer: a process that the claim doesn't list takes a lapsed shard at
// once, but for a while takes it that an earlier holder may give orders.
func TestNewcomer(t *testing.T) {
	f := settled(t, 1, 2)
	for _, m := range f.members {
		f.boot(m)
	}
	f.run(12*clock.Second, func() {})
	w := f.owner(t)
	a, _ := w.Authority("a/0", f.local(w))
	must.Greater(t, f.local(w)+DefaultPromiseLimit/2, a.ClearAt())

	w.dead = true
	f.run(12*clock.Second, func() {})
	w = f.owner(t)
	b, _ := w.Authority("a/0", f.local(w))
	must.Greater(t, f.local(w)+DefaultPromiseLimit/2, b.ClearAt())

	for _, m := range f.members {
		if m.dead {
			f.boot(m)
		}
	}
	f.run(DefaultPromiseLimit, func() {})
	w.Leave()
	f.run(5*clock.Second, func() {})
	must.True(t, w.Left())
	w = f.owner(t)
	c, _ := w.Authority("a/0", f.local(w))
	must.LessEq(t, f.local(w), c.ClearAt())
}

// TestLeave: a holder that leaves has no authority at once, and its shard has
// another owner without a lapse.
func TestLeave(t *testing.T) {
	f := settled(t, 1, 3)
	w := f.owner(t)
	w.Leave()
	must.Eq(t, 0, f.owned())
	must.False(t, w.Left())
	f.run(3*clock.Second, func() {})
	must.True(t, w.Left())
	must.Eq(t, 1, f.owned())
}

// TestPromiseRefused: a process promises only for itself, for the newest claim
// that it knows, and while no claim of its own may count.
func TestPromiseRefused(t *testing.T) {
	tests := map[string]struct {
		prepare func(c *Claimer)
		request *schema.PromiseRequest
		want    bool
	}{
		"granted":          {request: &schema.PromiseRequest{Epoch: 0, Claimant: "q#1"}, want: true},
		"not yet read":     {request: &schema.PromiseRequest{Epoch: 9, Claimant: "q#1"}, want: true},
		"another process":  {request: &schema.PromiseRequest{Epoch: 0, Claimant: "q#2"}},
		"older claim":      {prepare: func(c *Claimer) { c.Observe(1, 1, claimOf("r", 0, 0)) }, request: &schema.PromiseRequest{Epoch: 0, Claimant: "q#1"}},
		"released":         {prepare: func(c *Claimer) { c.Observe(1, 1, releaseOf(0)) }, request: &schema.PromiseRequest{Epoch: 0, Claimant: "q#1"}},
		"claim on its way": {prepare: func(c *Claimer) { c.CaughtUp(100_000); c.Step(100_000) }, request: &schema.PromiseRequest{Epoch: 0, Claimant: "q#1"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c, err := New("q", 1, "a")
			must.NoError(t, err)
			c.SetShards(1)
			c.Observe(0, 0, claimOf("p", -1, 0))
			if tc.prepare != nil {
				tc.prepare(c)
			}
			tc.request.Shard = "a/0"
			must.Eq(t, tc.want, c.Promise(1, tc.request).GetGranted())
		})
	}
}
