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

// TestDeathToNextClaim: the shard of a daemon that dies has another owner
// within the lapse, the margin, the stagger of the others and two rounds to
// the log; that of one that leaves, without the lapse.
func TestDeathToNextClaim(t *testing.T) {
	tests := map[string]struct {
		end   func(m *member)
		bound clock.Millis
	}{
		"dies":   {end: func(m *member) { m.dead = true }, bound: DefaultRenewEvery + more(more(DefaultLapse)) + 3*DefaultStagger + clock.Second},
		"leaves": {end: func(m *member) { m.Leave() }, bound: 3*DefaultStagger + clock.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var delays []clock.Millis
			for seed := range uint64(50) {
				f := settled(t, seed, 3)
				tc.end(f.owner(t))
				ended := f.now.Now()
				back := clock.Millis(0)
				f.run(tc.bound, func() {
					if back == 0 && f.owned() == 1 {
						back = f.now.Now() - ended
					}
				})
				must.Positive(t, back)
				delays = append(delays, back)
			}
			slices.Sort(delays)
			t.Logf("median %d ms, worst of %d %d ms, bound %d ms", delays[len(delays)/2], len(delays), delays[len(delays)-1], tc.bound)
		})
	}
}

// TestControlBytes: what claims cost a daemon at the two-year size, 3 daemons
// and 4 shards in a data centre, is under a tenth of its 23 KB a second.
func TestControlBytes(t *testing.T) {
	const budget = 23_000
	c, err := New("entry-01.maribor-1", 1_790_000_000_000, "maribor-1")
	must.NoError(t, err)
	c.SetShards(4)
	c.SetPeers([]string{Identity("entry-02.maribor-1", 1_790_000_000_000), Identity("entry-03.maribor-1", 1_790_000_000_000)})
	c.CaughtUp(0)
	renewals, promises := 0, 0
	next := provider.Offset(0)
	const rounds = 100
	for n := range rounds {
		now := clock.Millis(n+1) * DefaultRenewEvery
		c.CaughtUp(now)
		a := c.Step(now)
		for _, r := range a.Records() {
			renewals += proto.Size(r)
			must.True(t, c.Observe(now, next, r))
			next++
		}
		for _, p := range a.Asks() {
			promises += proto.Size(p.Request()) + proto.Size(&schema.PromiseResponse{Granted: true})
		}
	}
	seconds := int(rounds * DefaultRenewEvery / clock.Second)
	t.Logf("renewals of 4 shards %d bytes a second, promises %d", renewals/seconds, promises/seconds)
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
					b.Fatal("doesn't count")
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
	now := f.local(m)
	b.ReportAllocs()
	for b.Loop() {
		if _, held := m.Authority("a/0", now); !held {
			b.Fatal("no authority")
		}
	}
}
