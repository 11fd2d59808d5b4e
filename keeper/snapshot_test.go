package keeper

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/provider"
)

// TestSnapshotStandsForItsRecords compares a keeper that read everything with
// one that began from a snapshot taken on the way.
func TestSnapshotStandsForItsRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChaos(t, rapid.Uint64().Draw(t, "seed"), breachNone)
		t.Repeat(c.actions(t))
		c.settle(t)
		for _, centre := range []string{testCentre, otherCentre} {
			whole := c.addIn(centre, centre+"-whole")
			half := c.addIn(centre, centre+"-half")
			half.readTo(c.rng.Int64N(c.log.Appends() + 1))
			later := c.addIn(centre, centre+"-later")
			later.restore(half)
			whole.tail()
			later.tail()
			want, ok := whole.keeper.State()
			must.True(t, ok)
			got, ok := later.keeper.State()
			must.True(t, ok)
			must.True(t, proto.Equal(want, got), must.Sprintf("%v\nis not\n%v", got, want))
		}
	})
}

// readTo applies the streams up to an offset of each.
func (n *node) readTo(end int64) {
	for _, e := range n.read(provider.StreamOf(n.centre), &n.events) {
		if int64(e.Offset) >= end {
			n.events = min(n.events, e.Offset)
			continue
		}
		n.event(e)
	}
	for _, e := range n.read(provider.StreamIntents, &n.intents) {
		if int64(e.Offset) >= end {
			n.intents = min(n.intents, e.Offset)
			continue
		}
		n.keeper.ApplyIntent(n.register.Apply(e.Offset, decode(e.Data)))
	}
}
