package throttler

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
)

func newThrottler(t *testing.T, opts ...Option) *Throttler {
	t.Helper()
	th, err := New(opts...)
	must.NoError(t, err)
	return th
}

func TestStep(t *testing.T) {
	tests := map[string]struct {
		pressure   float64
		candidates []Candidate
		want       []Action
	}{
		"below threshold":       {pressure: 0.9, candidates: []Candidate{NewCandidate("a", 1, 0, 1000)}},
		"throttle first":        {pressure: 1.4, candidates: []Candidate{NewCandidate("a", 0.5, 0, 1000), NewCandidate("b", 0.9, 0, 1000)}, want: []Action{{worker: "w", task: "b", permille: 500}}},
		"several tasks":         {pressure: 1.6, candidates: []Candidate{NewCandidate("a", 0.5, 0, 1000), NewCandidate("b", 0.9, 0, 1000), NewCandidate("c", 0.1, 0, 1000)}, want: []Action{{worker: "w", task: "b", permille: 500}, {worker: "w", task: "a", permille: 500}}},
		"throttle further":      {pressure: 2, candidates: []Candidate{NewCandidate("a", 0.5, 0, 500)}, want: []Action{{worker: "w", task: "a", permille: 200}}},
		"evict least lost work": {pressure: 1.3, candidates: []Candidate{NewCandidate("a", 0.5, 900, 200), NewCandidate("b", 0.4, 3, 200)}, want: []Action{{worker: "w", task: "b", evict: true}}},
		"no contribution":       {pressure: 2, candidates: []Candidate{NewCandidate("a", 0, 0, 1000)}},
		"no candidates":         {pressure: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := newThrottler(t).Step(clock.Hour, []View{NewView("w", tc.pressure, clock.Hour, tc.candidates)})
			must.Eq(t, tc.want, got)
		})
	}
}

// TestWaitsForEffect passes samples that end before an action has settled. Acting on them
// would throttle more tasks than needed, so Step must return no action until a sample ends
// defaultSettleTime after the first one.
func TestWaitsForEffect(t *testing.T) {
	th := newThrottler(t)
	c := []Candidate{NewCandidate("a", 1, 0, 1000), NewCandidate("b", 1, 0, 1000)}
	must.Len(t, 2, th.Step(1000, []View{NewView("w", 9, 900, c)}))
	for now := clock.Millis(2000); now < 100_000; now += 1000 {
		must.Len(t, 0, th.Step(now, []View{NewView("w", 9, 1000+defaultSettleTime-1, c)}))
	}
	must.True(t, th.Mitigating("w"))
	must.Len(t, 2, th.Step(100_000, []View{NewView("w", 9, 1000+defaultSettleTime, c)}))
}

func TestRelaxesAfterLowPressure(t *testing.T) {
	th := newThrottler(t)
	must.Len(t, 1, th.Step(1000, []View{NewView("w", 2, 1000, []Candidate{NewCandidate("a", 1, 0, 500)})}))
	c := []Candidate{NewCandidate("a", 1, 0, 200)}
	now := 1000 + defaultSettleTime
	must.Len(t, 0, th.Step(now, []View{NewView("w", 0.1, now, c)}))
	must.Len(t, 0, th.Step(now+defaultRelaxAfter-1, []View{NewView("w", 0.1, now+defaultRelaxAfter-1, c)}))
	got := th.Step(now+defaultRelaxAfter, []View{NewView("w", 0.1, now+defaultRelaxAfter, c)})
	must.Eq(t, []Action{{worker: "w", task: "a", permille: 500}}, got)
	must.True(t, th.Mitigating("w"))
}

// TestEvictionBudget overloads every worker at once. The evictions within each window must
// stay within the allowed share of the workers.
func TestEvictionBudget(t *testing.T) {
	th := newThrottler(t)
	var views []View
	for i := range 50 {
		views = append(views, NewView("w"+strconv.Itoa(i), 3, clock.Hour, []Candidate{NewCandidate("t"+strconv.Itoa(i), 1, 0, 200)}))
	}
	must.Len(t, 5, th.Step(clock.Hour, views))
	must.Len(t, 0, th.Step(clock.Hour+1, views))
	must.Len(t, 5, th.Step(clock.Hour+defaultEvictionWindow, views))
}

// TestNoOscillation passes delayed samples of a pressure that depends on one task's share.
// Reacting to samples from before the last change would make the share oscillate, so the
// number of changes is bounded.
func TestNoOscillation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lag := clock.Millis(rapid.Int64Range(0, 60_000).Draw(rt, "lag"))
		basePressure := rapid.Float64Range(0, 0.6).Draw(rt, "base pressure")
		contribution := rapid.Float64Range(0.5, 3).Draw(rt, "contribution")
		th := newThrottler(t)
		shares := []int{1000}
		share := func(at clock.Millis) int { return shares[max(min(int(at/clock.Second), len(shares)-1), 0)] }
		changes := 0
		for now := clock.Second; now < 20*clock.Minute; now += clock.Second {
			current := shares[len(shares)-1]
			sampledUntil := now - lag
			pressure := basePressure + contribution*float64(share(sampledUntil))/1000
			next := current
			for _, a := range th.Step(now, []View{NewView("w", pressure, sampledUntil, []Candidate{NewCandidate("a", contribution, 0, current)})}) {
				changes++
				next = a.Permille()
				if a.IsEviction() {
					return
				}
			}
			shares = append(shares, next)
		}
		must.LessEq(rt, 2*int(20*clock.Minute/(defaultRelaxAfter+lag+defaultSettleTime))+2, changes)
	})
}
