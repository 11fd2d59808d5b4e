package journaler

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

func chunks(s Snapshot) []*schema.SnapshotChunk {
	var all []*schema.SnapshotChunk
	for _, r := range s.Records(0, "d1") {
		all = append(all, r.GetSnapshot())
	}
	return all
}

// TestAssemblerFindsNewestWhole reads the chunks of two snapshots in random order and
// twice each, with or without a chunk of one snapshot missing. The result must be the
// newest whole snapshot, byte for byte.
func TestAssemblerFindsNewestWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		older := NewSnapshot("shard a", "d1", 10, bytes.Repeat([]byte("o"), rapid.IntRange(0, 3*ChunkBytes).Draw(t, "older")))
		newer := NewSnapshot("shard a", "d2", 20, bytes.Repeat([]byte("n"), rapid.IntRange(0, 3*ChunkBytes).Draw(t, "newer")))
		other := NewSnapshot("shard b", "d1", 30, []byte("x"))
		all := append(append(chunks(older), chunks(newer)...), chunks(other)...)
		all = append(all, all...)
		lost := rapid.SampledFrom([]string{"", older.id, newer.id}).Draw(t, "lost")
		a := NewAssembler("shard a")
		for _, c := range rapid.Permutation(all).Draw(t, "order") {
			if c.GetId() == lost && c.GetIndex() == 0 {
				continue
			}
			a.Add(c)
		}
		want := newer
		if lost == newer.id {
			want = older
		}
		got, whole := a.Newest()
		must.True(t, whole)
		must.Eq(t, want.Base(), got.Base())
		must.True(t, bytes.Equal(want.Data(), got.Data()))
	})
}

func TestAssemblerRejectsCorruptData(t *testing.T) {
	s := NewSnapshot("shard a", "d1", 10, []byte("state"))
	c := chunks(s)[0]
	c.Data = []byte("stale")
	a := NewAssembler("shard a")
	must.False(t, a.Add(c))
	_, whole := a.Newest()
	must.False(t, whole)
}

func TestStartAfterGap(t *testing.T) {
	tests := map[string]struct {
		base   provider.Offset
		oldest provider.Offset
		want   provider.Offset
		code   coder.Code
	}{
		"log is complete":                   {base: -1, oldest: 0, want: 0},
		"first records discarded":           {base: -1, oldest: 5, want: 5, code: coder.LogHole},
		"snapshot after the oldest record":  {base: 9, oldest: 5, want: 9},
		"snapshot at the oldest record":     {base: 5, oldest: 5, want: 5},
		"snapshot before the oldest record": {base: 4, oldest: 5, want: 5, code: coder.LogHole},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			a := NewAssembler("k")
			if tc.base >= 0 {
				must.True(t, a.Add(chunks(NewSnapshot("k", "d1", tc.base, nil))[0]))
			}
			from, err := a.Start(tc.oldest)
			must.Eq(t, tc.want, from)
			must.Eq(t, tc.code, coder.Of(err))
		})
	}
}

func TestSchedule(t *testing.T) {
	s := NewSchedule(8*clock.Hour, 100, 0)
	must.False(t, s.Due(2*clock.Hour-1))
	must.True(t, s.Due(2*clock.Hour))
	s.SnapshotWritten(2 * clock.Hour)
	must.False(t, s.Due(2*clock.Hour))
	s.Count(100)
	must.True(t, s.Due(2*clock.Hour))
}
