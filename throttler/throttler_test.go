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
		"calm":                {pressure: 0.9, candidates: []Candidate{NewCandidate("a", 1, 0, 1000)}},
		"throttle first":      {pressure: 1.4, candidates: []Candidate{NewCandidate("a", 0.5, 0, 1000), NewCandidate("b", 0.9, 0, 1000)}, want: []Action{{worker: "w", task: "b", permille: 500}}},
		"as many as needed":   {pressure: 1.6, candidates: []Candidate{NewCandidate("a", 0.5, 0, 1000), NewCandidate("b", 0.9, 0, 1000), NewCandidate("c", 0.1, 0, 1000)}, want: []Action{{worker: "w", task: "b", permille: 500}, {worker: "w", task: "a", permille: 500}}},
		"then more":           {pressure: 2, candidates: []Candidate{NewCandidate("a", 0.5, 0, 500)}, want: []Action{{worker: "w", task: "a", permille: 200}}},
		"then the least lost": {pressure: 1.3, candidates: []Candidate{NewCandidate("a", 0.5, 900, 200), NewCandidate("b", 0.4, 3, 200)}, want: []Action{{worker: "w", task: "b", evict: true}}},
		"harmless is left":    {pressure: 2, candidates: []Candidate{NewCandidate("a", 0, 0, 1000)}},
		"none to act on":      {pressure: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := newThrottler(t).Step(clock.Hour, []View{NewView("w", tc.pressure, clock.Hour, tc.candidates)})
			must.Eq(t, tc.want, got)
		})
	}
}

// TestWaitsForItsEffect goes on showing old samples after an action: nothing
// more is done until one shows the time after it.
func TestWaitsForItsEffect(t *testing.T) {
	th := newThrottler(t)
	c := []Candidate{NewCandidate("a", 1, 0, 1000), NewCandidate("b", 1, 0, 1000)}
	must.Len(t, 2, th.Step(1000, []View{NewView("w", 9, 900, c)}))
	for now := clock.Millis(2000); now < 100_000; now += 1000 {
		must.Len(t, 0, th.Step(now, []View{NewView("w", 9, 1000+defaultSettle-1, c)}))
	}
	must.True(t, th.Mitigating("w"))
	must.Len(t, 2, th.Step(100_000, []View{NewView("w", 9, 1000+defaultSettle, c)}))
}

func TestRelaxesAfterCalm(t *testing.T) {
	th := newThrottler(t)
	must.Len(t, 1, th.Step(1000, []View{NewView("w", 2, 1000, []Candidate{NewCandidate("a", 1, 0, 500)})}))
	c := []Candidate{NewCandidate("a", 1, 0, 200)}
	now := 1000 + defaultSettle
	must.Len(t, 0, th.Step(now, []View{NewView("w", 0.1, now, c)}))
	must.Len(t, 0, th.Step(now+defaultCalm-1, []View{NewView("w", 0.1, now+defaultCalm-1, c)}))
	got := th.Step(now+defaultCalm, []View{NewView("w", 0.1, now+defaultCalm, c)})
	must.Eq(t, []Action{{worker: "w", task: "a", permille: 500}}, got)
	must.True(t, th.Mitigating("w"))
}

// TestEvictionBudget has every worker need an eviction at once.
func TestEvictionBudget(t *testing.T) {
	th := newThrottler(t)
	var views []View
	for i := range 50 {
		views = append(views, NewView("w"+strconv.Itoa(i), 3, clock.Hour, []Candidate{NewCandidate("t"+strconv.Itoa(i), 1, 0, 200)}))
	}
	must.Len(t, 5, th.Step(clock.Hour, views))
	must.Len(t, 0, th.Step(clock.Hour+1, views))
	must.Len(t, 5, th.Step(clock.Hour+defaultWindow, views))
}

// TestNoSwing closes the loop with samples that come late: the pressure follows
// the share of one task, and the share does not go up and down for ever.
func TestNoSwing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lag := clock.Millis(rapid.Int64Range(0, 60_000).Draw(rt, "lag"))
		alone := rapid.Float64Range(0, 0.6).Draw(rt, "alone")
		relief := rapid.Float64Range(0.5, 3).Draw(rt, "relief")
		th := newThrottler(t)
		shares := []int{1000}
		share := func(at clock.Millis) int { return shares[max(min(int(at/clock.Second), len(shares)-1), 0)] }
		changes := 0
		for now := clock.Second; now < 20*clock.Minute; now += clock.Second {
			current := shares[len(shares)-1]
			seen := now - lag
			pressure := alone + relief*float64(share(seen))/1000
			next := current
			for _, a := range th.Step(now, []View{NewView("w", pressure, seen, []Candidate{NewCandidate("a", relief, 0, current)})}) {
				changes++
				next = a.Permille()
				if a.Evict() {
					return
				}
			}
			shares = append(shares, next)
		}
		must.LessEq(rt, 2*int(20*clock.Minute/(defaultCalm+lag+defaultSettle))+2, changes)
	})
}
