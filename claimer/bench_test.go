package claimer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// TestTakeoverDelay bounds the time until a shard has another owner. After its owner dies
// that is a renewal interval, the claim TTL with clock drift, the stagger of three daemons
// and 1 s for two round trips to the log; after its owner leaves, only the stagger and the round
// trips.
func TestTakeoverDelay(t *testing.T) {
	tests := map[string]struct {
		end   func(m *member)
		bound clock.Millis
	}{
		"dies":   {end: func(m *member) { m.dead = true }, bound: DefaultRenewInterval + lengthenForDrift(lengthenForDrift(DefaultClaimTTL)) + 3*DefaultStagger + clock.Second},
		"leaves": {end: func(m *member) { m.Leave() }, bound: 3*DefaultStagger + clock.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var delays []clock.Millis
			for seed := range uint64(50) {
				f := newOwnedFleet(t, seed, 3)
				tc.end(f.owner(t))
				ended := f.now.Now()
				takeover := clock.Millis(0)
				f.run(tc.bound, func() {
					if takeover == 0 && f.ownedShards() == 1 {
						takeover = f.now.Now() - ended
					}
				})
				must.Positive(t, takeover)
				delays = append(delays, takeover)
			}
			slices.Sort(delays)
			t.Logf("median %d ms, worst of %d %d ms, bound %d ms", delays[len(delays)/2], len(delays), delays[len(delays)-1], tc.bound)
		})
	}
}

// TestClaimTraffic guards against claims that use too much of a daemon's network traffic.
// At the size expected in two years, 3 daemons and 4 shards in a data centre, they must
// stay under a tenth of the 23 KB/s that a daemon may use.
func TestClaimTraffic(t *testing.T) {
	const budget = 23_000
	c, err := New("entry-01.maribor-1", 1_790_000_000_000, "maribor-1")
	must.NoError(t, err)
	c.SetShards(4)
	c.SetPeers([]string{Identity("entry-02.maribor-1", 1_790_000_000_000), Identity("entry-03.maribor-1", 1_790_000_000_000)})
	c.MarkCaughtUp(0)
	renewals, promises := 0, 0
	next := provider.Offset(0)
	const rounds = 100
	for n := range rounds {
		now := clock.Millis(n+1) * DefaultRenewInterval
		c.MarkCaughtUp(now)
		a := c.Step(now)
		for _, r := range a.Records() {
			renewals += proto.Size(r)
			must.True(t, c.Observe(now, next, r))
			next++
		}
		for _, p := range a.PromiseCalls() {
			promises += proto.Size(p.Request()) + proto.Size(&schema.PromiseResponse{Granted: true})
		}
	}
	seconds := int(rounds * DefaultRenewInterval / clock.Second)
	t.Logf("renewals of 4 shards: %d bytes/s, promises: %d bytes/s", renewals/seconds, promises/seconds)
	must.Less(t, budget/10, (renewals+2*promises)/seconds)
}

func BenchmarkObserve(b *testing.B) {
	for _, shards := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("shards-%d", shards), func(b *testing.B) {
			c, err := New("p", 1, "a")
			must.NoError(b, err)
			c.SetShards(shards)
			for n := range shards {
				c.Observe(0, provider.Offset(n), &schema.Record{Body: &schema.Record_Claim{Claim: &schema.Claim{Shard: ShardName("a", n), PreviousEpoch: NoEpoch, Holder: "q#1"}}})
			}
			b.ReportAllocs()
			next := int64(shards)
			for b.Loop() {
				n := next % int64(shards)
				r := &schema.Record{Body: &schema.Record_Renewal{Renewal: &schema.Renewal{Shard: ShardName("a", int(n)), Epoch: n, Sequence: (next - n) / int64(shards)}}}
				if !c.Observe(0, provider.Offset(next), r) {
					b.Fatal("renewal is not valid")
				}
				next++
			}
		})
	}
}

func BenchmarkAuthority(b *testing.B) {
	f := newFleet(1, 1, 4)
	f.run(20*clock.Second, func() {})
	m := f.members[0]
	now := f.localTime(m)
	b.ReportAllocs()
	for b.Loop() {
		if _, held := m.Authority("a/0", now); !held {
			b.Fatal("no authority")
		}
	}
}
