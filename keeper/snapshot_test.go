package keeper

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/provider"
)

// TestSnapshotEqualsReplay compares a keeper that replayed the whole log with one
// restored from a snapshot taken part way.
func TestSnapshotEqualsReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChaos(t, rapid.Uint64().Draw(t, "seed"), defectNone)
		t.Repeat(c.actions(t))
		c.repairAndFinish(t)
		for _, centre := range []string{testCentre, otherCentre} {
			replayed := c.addNodeIn(centre, centre+"-replayed")
			partial := c.addNodeIn(centre, centre+"-partial")
			partial.readTo(c.rng.Int64N(c.log.Appends() + 1))
			restored := c.addNodeIn(centre, centre+"-restored")
			restored.restore(partial)
			replayed.tail()
			restored.tail()
			want, ok := replayed.keeper.State()
			must.True(t, ok)
			got, ok := restored.keeper.State()
			must.True(t, ok)
			must.True(t, proto.Equal(want, got), must.Sprintf("restored %v\ndiffers from replayed %v", got, want))
		}
	})
}

// readTo applies each stream up to an offset.
func (n *node) readTo(end int64) {
	for _, e := range n.read(provider.StreamOf(n.centre), &n.nextEvent) {
		if int64(e.Offset) >= end {
			n.nextEvent = min(n.nextEvent, e.Offset)
			continue
		}
		n.applyEvent(e)
	}
	for _, e := range n.read(provider.StreamIntents, &n.nextIntent) {
		if int64(e.Offset) >= end {
			n.nextIntent = min(n.nextIntent, e.Offset)
			continue
		}
		n.keeper.ApplyIntent(n.register.Apply(e.Offset, decode(e.Data)))
	}
}
