package sharer

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

func newSharer(t *testing.T, opts ...Option) *Sharer {
	t.Helper()
	s, err := New(opts...)
	must.NoError(t, err)
	return s
}

func cores(n int64) sizer.Size { return sizer.New(n*1000, n*sizer.GiB, 0) }

func TestOrder(t *testing.T) {
	batch := func(id, team string, priority int, submitted clock.Millis) Request {
		return NewRequest(id, team, team, TierBatch, cores(1), priority, submitted, clock.Never, 0, 0)
	}
	const now = 200 * clock.Minute
	tests := map[string]struct {
		held     map[string]int64
		requests []Request
		want     []int
	}{
		"tier first":      {requests: []Request{batch("a", "x", 100, now), NewRequest("b", "x", "j", TierService, cores(1), 0, now, clock.Never, 0, 0)}, want: []int{1, 0}},
		"priority":        {requests: []Request{batch("a", "x", 10, now), batch("b", "y", 90, now)}, want: []int{1, 0}},
		"age overtakes":   {requests: []Request{batch("a", "x", 90, now), batch("b", "y", 0, 0)}, want: []int{1, 0}},
		"least share":     {held: map[string]int64{"x": 5}, requests: []Request{batch("a", "x", 50, now), batch("b", "y", 50, now)}, want: []int{1, 0}},
		"deadline raises": {requests: []Request{batch("a", "x", 50, now), NewRequest("b", "y", "j", TierBatch, cores(1), 40, now, now+clock.Minute, clock.Minute, 0)}, want: []int{1, 0}},
		"smallest job": {requests: []Request{
			NewRequest("a", "x", "j", TierBatch, cores(1), 50, now, clock.Never, 0, 9),
			NewRequest("b", "x", "k", TierBatch, cores(1), 50, now, clock.Never, 0, 3),
		}, want: []int{1, 0}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSharer(t)
			for _, team := range []string{"x", "y"} {
				s.SetQuota(team, cores(10))
				s.Hold(team, cores(tc.held[team]))
			}
			turns := s.Order(now, tc.requests)
			var got []int
			for i, more := turns.Next(); more; i, more = turns.Next() {
				got = append(got, i)
			}
			must.Eq(t, tc.want, got)
		})
	}
}

// 280 teams have more waiting tasks than are placed. The same number of tasks must be placed
// for each team.
func TestOrderIsFair(t *testing.T) {
	s := newSharer(t)
	var requests []Request
	for i := range 280 {
		team := string(rune('a'+i%26)) + string(rune('a'+i/26))
		s.SetQuota(team, cores(100))
		for n := range 5 + i%7 {
			requests = append(requests, NewRequest(team+string(rune('0'+n)), team, team, TierBatch, cores(1), 50, 0, clock.Never, 0, 0))
		}
	}
	turns := s.Order(0, requests)
	served := map[string]int{}
	for range 280 * 4 {
		i, more := turns.Next()
		must.True(t, more)
		served[requests[i].team]++
		s.Hold(requests[i].team, requests[i].size)
	}
	for team, n := range served {
		must.Eq(t, 4, n, must.Sprint(team))
	}
}

func TestQuota(t *testing.T) {
	r := NewRequest("a", "x", "j", TierBatch, cores(2), 0, 0, clock.Never, 0, 0)
	u := NewRequest("a", "x", "j", TierUrgent, cores(2), 0, 0, clock.Never, 0, 0)
	tests := map[string]struct {
		opts          []Option
		quota         int64
		batch, urgent bool
	}{
		"within":          {quota: 4, batch: true, urgent: true},
		"over":            {quota: 3},
		"over, borrowing": {opts: []Option{WithBorrowing()}, quota: 3, batch: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSharer(t, tc.opts...)
			s.SetQuota("x", cores(tc.quota))
			s.Hold("x", cores(2))
			must.Eq(t, tc.batch, s.AdmitsRequest(r))
			must.Eq(t, tc.urgent, s.AdmitsRequest(u))
			s.Hold("x", cores(2))
			must.Eq(t, tc.quota < 4, s.OverQuota("x"))
		})
	}
}

// For any weights, the parts of a quota must be non-negative and add up to the quota.
func TestQuotaSplitAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := sizer.New(rapid.Int64Range(0, 1<<40).Draw(t, "c"), rapid.Int64Range(0, 1<<50).Draw(t, "m"), rapid.Int64Range(0, 2200).Draw(t, "a"))
		weights := rapid.SliceOfN(rapid.Int64Range(0, 1000), 1, 9).Draw(t, "weights")
		weights[0]++
		var sum sizer.Size
		for _, p := range SplitQuota(quota, weights) {
			must.False(t, p.IsNegative())
			sum = sum.Add(p)
		}
		must.Eq(t, quota, sum)
	})
}
