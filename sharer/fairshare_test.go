package sharer

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/sizer"
)

// TestShare guards against fair shares that count teams which neither hold nor wait for anything:
// these would hold others below what is theirs.
func TestShare(t *testing.T) {
	tests := map[string]struct {
		weights, held map[string]int64
		waiting       []string
		want          map[string]float64
	}{
		"alone":            {weights: map[string]int64{"a": 1, "b": 9}, held: map[string]int64{"a": 50}, want: map[string]float64{"a": 0.5, "b": 0}},
		"with a waiting":   {weights: map[string]int64{"a": 1, "b": 9}, held: map[string]int64{"a": 50}, waiting: []string{"b"}, want: map[string]float64{"a": 5, "b": 0}},
		"by weight":        {weights: map[string]int64{"a": 1, "b": 3}, held: map[string]int64{"a": 25, "b": 75}, want: map[string]float64{"a": 1, "b": 1}},
		"without a weight": {weights: map[string]int64{"a": 1}, held: map[string]int64{"a": 10, "x": 90}, want: map[string]float64{"a": 0.1, "x": 0}},
		"weight of 0":      {weights: map[string]int64{"a": 0, "b": 1}, held: map[string]int64{"b": 100}, waiting: []string{"a"}, want: map[string]float64{"a": 0, "b": 1.000001}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSharer(t)
			s.SetRoom(sizer.New(100_000, 1000*sizer.GiB, 0))
			for team, w := range tc.weights {
				s.SetWeight(team, float64(w))
			}
			for team, n := range tc.held {
				s.Hold(team, cores(n))
			}
			for _, team := range tc.waiting {
				s.SetWaiting(team, true)
			}
			for team, want := range tc.want {
				must.InDelta(t, want, s.Share(team), 1e-9, must.Sprint(team))
			}
		})
	}
}

// TestStartsWithin guards against a count of starts that stops before the team has its fair share,
// or goes on after it: the counted starts must end at the share at most, one more must be beyond it.
// The teams come and go at random, so the sum of the weights must not drift either.
func TestStartsWithin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, err := New()
		must.NoError(t, err)
		s.SetRoom(sizer.New(rapid.Int64Range(0, 1e6).Draw(t, "room"), 1000*sizer.GiB, rapid.Int64Range(0, 8).Draw(t, "accelerators")))
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			team := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "team"))
			switch rapid.IntRange(0, 2).Draw(t, "change") {
			case 0:
				s.SetWeight(team, rapid.Float64Range(-1, 50).Draw(t, "weight"))
			case 1:
				s.Hold(team, sizer.New(rapid.Int64Range(0, 1e5).Draw(t, "held"), 0, 0))
			case 2:
				s.SetWaiting(team, rapid.Bool().Draw(t, "waiting"))
			}
		}
		s.SetWeight("0", 5)
		s.SetWaiting("0", true)
		size := sizer.New(rapid.Int64Range(0, 1e5).Draw(t, "size"), sizer.GiB, rapid.Int64Range(0, 1).Draw(t, "gpu"))
		n, held := s.StartsWithin("0", size, 50), s.Held("0")
		for range n {
			s.Hold("0", size)
		}
		if n > 1 || n == 1 && !held.IsZero() {
			must.LessEq(t, 1+1e-3, s.Share("0"))
		}
		if n < 50 {
			s.Hold("0", size)
			must.Greater(t, 1-1e-3, s.Share("0"))
		}
		var sum int64
		for _, a := range s.teams {
			if a.active() {
				sum += a.weight
			}
		}
		must.Eq(t, sum, s.activeWeight)
	})
}
