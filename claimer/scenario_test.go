package claimer

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/schema"
)

// newOwnedFleet returns a fleet with one shard, which has an owner.
func newOwnedFleet(t *testing.T, seed uint64, members int) *fleet {
	f := newFleet(seed, members, 1)
	f.run(15*clock.Second, func() {})
	must.Eq(t, 1, f.ownedShards())
	return f
}

// owner returns the live member that has authority over the shard.
func (f *fleet) owner(t *testing.T) *member {
	i := slices.IndexFunc(f.members, func(m *member) bool {
		_, held := m.Authority("a/0", f.localTime(m))
		return held && !m.dead
	})
	must.GreaterEq(t, 0, i)
	return f.members[i]
}

// TestLogDown tests that a holder keeps its authority during a log outage only while every
// claimant that it lists promises not to claim, and no longer than the promise limit.
func TestLogDown(t *testing.T) {
	tests := map[string]struct {
		fault func(f *fleet, owner, other *member)
		after clock.Millis
		want  int
	}{
		"all claimants promise":    {after: 10 * clock.Minute, want: 1},
		"beyond the promise limit": {after: DefaultPromiseLimit + clock.Minute, want: 0},
		"one claimant is dead":     {fault: func(_ *fleet, _, o *member) { o.dead = true }, after: 10 * clock.Second, want: 0},
		"one claimant restarted":   {fault: func(f *fleet, _, o *member) { f.boot(o) }, after: 10 * clock.Second, want: 0},
		"cut off one way":          {fault: func(_ *fleet, w, o *member) { w.blockedSenders[o.name] = true }, after: 10 * clock.Second, want: 0},
		"holder paused":            {fault: func(f *fleet, w, _ *member) { w.pausedUntil = f.now.Now() + clock.Hour }, after: 10 * clock.Second, want: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newOwnedFleet(t, 1, 3)
			w := f.owner(t)
			o := f.members[(slices.Index(f.members, w)+1)%3]
			f.log.SetFaults(imitator.LogFaults{Down: true})
			if tc.fault != nil {
				tc.fault(f, w, o)
			}
			f.run(tc.after, func() {})
			must.Eq(t, tc.want, f.ownedShards())
			must.SliceEmpty(t, f.conflicts())
		})
	}
}

// TestHolderRelayedByPeer tests that a holder that reaches the log only through a peer
// keeps its shard in the same epoch.
func TestHolderRelayedByPeer(t *testing.T) {
	f := newOwnedFleet(t, 1, 3)
	w := f.owner(t)
	a, _ := w.Authority("a/0", f.localTime(w))
	w.cutFromLog = true
	f.run(2*DefaultPromiseLimit, func() { must.Eq(t, 1, f.ownedShards()) })
	b, held := w.Authority("a/0", f.localTime(w))
	must.True(t, held)
	must.Eq(t, a.Epoch(), b.Epoch())
}

// TestUnlistedClaimant tests that a process that the claim doesn't list may claim an
// expired shard without further delay, but with a ClearAt that allows for an earlier
// holder that keeps its authority up to the promise limit. The next holder inherits this
// ClearAt. Once it has passed, the next holder after a release has no ClearAt in the future.
func TestUnlistedClaimant(t *testing.T) {
	f := newOwnedFleet(t, 1, 2)
	for _, m := range f.members {
		f.boot(m)
	}
	f.run(12*clock.Second, func() {})
	w := f.owner(t)
	a, _ := w.Authority("a/0", f.localTime(w))
	must.Greater(t, f.localTime(w)+DefaultPromiseLimit/2, a.ClearAt())

	w.dead = true
	f.run(12*clock.Second, func() {})
	w = f.owner(t)
	b, _ := w.Authority("a/0", f.localTime(w))
	must.Greater(t, f.localTime(w)+DefaultPromiseLimit/2, b.ClearAt())

	for _, m := range f.members {
		if m.dead {
			f.boot(m)
		}
	}
	f.run(DefaultPromiseLimit, func() {})
	w.Leave()
	f.run(5*clock.Second, func() {})
	must.True(t, w.AllReleased())
	w = f.owner(t)
	c, _ := w.Authority("a/0", f.localTime(w))
	must.LessEq(t, f.localTime(w), c.ClearAt())
}

// TestLeave tests that a leaving holder loses its authority immediately, and that another
// daemon owns the shard within 3 s, before the claim would have expired.
func TestLeave(t *testing.T) {
	f := newOwnedFleet(t, 1, 3)
	w := f.owner(t)
	w.Leave()
	must.Eq(t, 0, f.ownedShards())
	must.False(t, w.AllReleased())
	f.run(3*clock.Second, func() {})
	must.True(t, w.AllReleased())
	must.Eq(t, 1, f.ownedShards())
}

// TestPromiseRefused tests that a process promises only for itself and for the newest claim
// that it has read or a later one, and not while a claim of its own is pending.
func TestPromiseRefused(t *testing.T) {
	tests := map[string]struct {
		prepare func(c *Claimer)
		request *schema.PromiseRequest
		want    bool
	}{
		"granted":           {request: &schema.PromiseRequest{Epoch: 0, Claimant: "q#1"}, want: true},
		"not yet read":      {request: &schema.PromiseRequest{Epoch: 9, Claimant: "q#1"}, want: true},
		"another process":   {request: &schema.PromiseRequest{Epoch: 0, Claimant: "q#2"}},
		"older claim":       {prepare: func(c *Claimer) { c.Observe(1, 1, claimBy("r", 0, 0)) }, request: &schema.PromiseRequest{Epoch: 0, Claimant: "q#1"}},
		"released":          {prepare: func(c *Claimer) { c.Observe(1, 1, releaseIn(0)) }, request: &schema.PromiseRequest{Epoch: 0, Claimant: "q#1"}},
		"own claim pending": {prepare: func(c *Claimer) { c.MarkCaughtUp(100_000); c.Step(100_000) }, request: &schema.PromiseRequest{Epoch: 0, Claimant: "q#1"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c, err := New("q", 1, "a")
			must.NoError(t, err)
			c.SetShards(1)
			c.Observe(0, 0, claimBy("p", -1, 0))
			if tc.prepare != nil {
				tc.prepare(c)
			}
			tc.request.Shard = "a/0"
			must.Eq(t, tc.want, c.Promise(1, tc.request).GetGranted())
		})
	}
}
