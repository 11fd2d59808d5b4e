package replicator

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// TestHeartbeatBytes checks that heartbeats between 24 daemons use under half of the 23
// KB a second that each daemon may send and receive.
func TestHeartbeatBytes(t *testing.T) {
	const budget, peers = 23_000, 23
	f := newFleet(1, 2, 2)
	f.run(10*clock.Second, func() {})
	view := f.members[0].View(f.local(f.members[0]))
	request := proto.Size(&schema.ExchangeRequest{Daemon: "entry-01.maribor-1", DataCentre: "maribor-1", Incarnation: 1_790_000_000_000, View: view, Shards: []*schema.OwnedShard{{Shard: "maribor-1/0", Epoch: 1 << 40}, {Shard: "maribor-1/1", Epoch: 1 << 40}}})
	perSecond := 2 * 2 * peers * request * int(clock.Second/exchangeEvery)
	t.Logf("a request or answer %d bytes, %d bytes a second with %d peers, both ways", request, perSecond, peers)
	must.Less(t, budget/2, perSecond)
}

func BenchmarkApply(b *testing.B) {
	for _, items := range []int{50, 500, 5000} {
		b.Run(fmt.Sprintf("items-%d", items), func(b *testing.B) {
			r := newReplica()
			r.members = map[string]string{"p#1": "a"}
			for n := range items {
				r, _ = r.apply(encodedChange(b, fmt.Sprintf("t%d", n)))
			}
			must.Eq(b, items, r.state.Len())
			data := encodedChange(b, "one-more")
			b.ReportAllocs()
			for b.Loop() {
				r.apply(data)
			}
		})
	}
}

func BenchmarkStartAllowed(b *testing.B) {
	f := newFleet(1, 1, 1)
	f.run(5*clock.Second, func() {})
	now := f.local(f.members[0])
	b.ReportAllocs()
	for b.Loop() {
		if !f.members[0].StartAllowed(now) {
			b.Fatal("not allowed")
		}
	}
}

func encodedChange(b *testing.B, name string) []byte {
	c := team(name, 0)
	c.Process = "p#1"
	data, err := proto.Marshal(&schema.Record{Id: name, Body: &schema.Record_Change{Change: c}})
	must.NoError(b, err)
	return data
}

func FuzzRead(f *testing.F) {
	f.Add([]byte{})
	data, err := proto.Marshal(&schema.Record{Body: &schema.Record_Snapshot{Snapshot: &schema.SnapshotChunk{Count: 1}}})
	must.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := New("x#1", "x", "a", 0)
		must.NoError(t, err)
		entries := []provider.Entry{{Offset: 3, Data: data}, {Offset: 4, Data: data}}
		_, _ = r.ApplyPage(0, 0, provider.Page{Entries: entries, Oldest: 3, Next: 5})
		r.replica = &replica{state: r.replica.state.Skip(2), members: map[string]string{}}
		r.recovery = nil
		_, _ = r.ApplyPage(0, 0, provider.Page{Entries: entries, Oldest: 3, Next: 5})
	})
}
