package sizer

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestFits(t *testing.T) {
	room := New(4000, 1<<30, 2)
	tests := map[string]struct {
		size Size
		want bool
	}{
		"exact":                {size: room, want: true},
		"one millicore over":   {size: New(4001, 1, 0), want: false},
		"one byte over":        {size: New(1, 1<<30+1, 0), want: false},
		"one accelerator over": {size: New(1, 1, 3), want: false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tc.want, tc.size.Fits(room))
		})
	}
}

func TestSaturatesOnOverflow(t *testing.T) {
	big := New(math.MaxInt64, 1, 1)
	must.Eq(t, int64(math.MaxInt64), big.Add(big).Millicores())
	must.Eq(t, int64(math.MaxInt64), New(2, 2, 2).Times(math.MaxInt64).MemoryBytes())
}

func TestSubUndoesAdd(t *testing.T) {
	part := rapid.Int64Range(0, 1<<50)
	rapid.Check(t, func(t *rapid.T) {
		a := New(part.Draw(t, "ac"), part.Draw(t, "am"), part.Draw(t, "aa"))
		b := New(part.Draw(t, "bc"), part.Draw(t, "bm"), part.Draw(t, "ba"))
		must.Eq(t, a, a.Add(b).Sub(b))
	})
}
