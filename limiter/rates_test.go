package limiter

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
)

const (
	testWindow    = 5 * clock.Second
	testExcess    = 0.1
	testTolerance = 20
)

// checkWindows fails if any window has more accepted jobs than the bound.
func checkWindows(t must.T, accepted []clock.Millis, rate float64) {
	t.Helper()
	bound := rate*5*(1+testExcess) + testTolerance
	for i, first := 0, 0; i < len(accepted); i++ {
		for accepted[first] <= accepted[i]-testWindow {
			first++
		}
		must.LessEq(t, bound, float64(i-first+1), must.Sprint("jobs in the window that ends at", accepted[i]))
	}
}

// TestRatesBound guards against windows with more jobs than the bound, and against a second refusal
// of a caller that returns when it was told. Callers with slots may return at any time while these
// are valid, all at once or never, too early, and others keep coming in bursts.
func TestRatesBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 12).Draw(t, "rate")
		r := NewRates(testWindow, testExcess, testTolerance)
		r.SetRates(map[string]float64{"a": rate})
		var accepted []clock.Millis
		due := map[string]clock.Millis{}
		var ids []string
		now, jobs := clock.Millis(1_000_000), 0
		ask := func(id string) {
			at, told := due[id]
			after, ok := r.Admit("a", id, now)
			if told && now >= at && now <= at+slotValidity {
				must.True(t, ok, must.Sprint("refused a second time"))
			}
			delete(due, id)
			if ok {
				accepted = append(accepted, now)
				return
			}
			must.Positive(t, after)
			must.LessEq(t, maxRetryAfter, after)
			if _, reserved := r.tenants["a"].slotOf[id]; reserved {
				due[id] = now + after
				ids = append(ids, id)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 2500).Draw(t, "gap"))
			for range rapid.IntRange(0, 60).Draw(t, "new") {
				jobs++
				ask(fmt.Sprint(jobs))
			}
			returning := rapid.IntRange(0, 3).Draw(t, "returning")
			for i, id := range ids {
				if _, told := due[id]; told && returning > 0 && i%returning == 0 && (returning > 1 || now >= due[id]) {
					ask(id)
				}
			}
			must.LessEq(t, maxSlots, len(r.tenants["a"].slots))
			must.Eq(t, len(r.tenants["a"].slots), len(r.tenants["a"].slotOf))
		}
		checkWindows(t, accepted, rate)
	})
}

// TestRatesOfOthers guards against tenants that influence each other: what a tenant is answered must
// be the same beside another that floods.
func TestRatesOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alone, beside := NewRates(testWindow, testExcess, testTolerance), NewRates(testWindow, testExcess, testTolerance)
		alone.SetRates(map[string]float64{"a": 3})
		beside.SetRates(map[string]float64{"a": 3, "b": 18})
		now := clock.Millis(1_000_000)
		for i := range rapid.IntRange(1, 150).Draw(t, "jobs") {
			now += clock.Millis(rapid.IntRange(0, 300).Draw(t, "gap"))
			for n := range rapid.IntRange(0, 40).Draw(t, "flood") {
				beside.Admit("b", fmt.Sprint(i, n), now)
				beside.Asked("b", now)
			}
			id := fmt.Sprint(rapid.IntRange(0, 100).Draw(t, "id"))
			wantAfter, want := alone.Admit("a", id, now)
			after, ok := beside.Admit("a", id, now)
			must.Eq(t, want, ok)
			must.Eq(t, wantAfter, after)
		}
	})
}

// TestRatesOfSteadyTenant guards against refusals within the rate: jobs at the plain rate, evenly or
// all jobs of a window at once, are all accepted, and a burst up to the bound is too.
func TestRatesOfSteadyTenant(t *testing.T) {
	tests := map[string]struct {
		burst int
		gap   clock.Millis
	}{
		"evenly":             {burst: 1, gap: 100},
		"a window at once":   {burst: 50, gap: testWindow},
		"the bound at once":  {burst: 75, gap: testWindow},
		"a second's at once": {burst: 10, gap: clock.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRates(testWindow, testExcess, testTolerance)
			r.SetRates(map[string]float64{"a": 10})
			now := clock.Millis(1_000_000)
			for i := range 200 {
				for n := range tc.burst {
					_, ok := r.Admit("a", fmt.Sprint(i, "-", n), now)
					must.True(t, ok)
				}
				now += tc.gap
			}
		})
	}
}

// TestRatesUnderFlood measures the load of a tenant that sends ten times its rate for a minute. It
// guards against callers that are told a time and refused again, and against a flood that leaves the
// tenant less than its plain rate although its callers return when told.
func TestRatesUnderFlood(t *testing.T) {
	const rate, seconds = 18, 60
	r := NewRates(testWindow, testExcess, testTolerance)
	r.SetRates(map[string]float64{"a": rate})
	returns := map[clock.Millis][]string{}
	var accepted []clock.Millis
	again := 0
	for now := clock.Millis(0); now < seconds*clock.Second; now += 5 {
		ids := returns[now]
		back := len(ids)
		if now%50 == 0 {
			for n := range 10 * rate / 20 {
				ids = append(ids, fmt.Sprint(now, "-", n))
			}
		}
		for i, id := range ids {
			after, ok := r.Admit("a", id, now)
			switch _, reserved := r.tenants["a"].slotOf[id]; {
			case ok:
				accepted = append(accepted, now)
			case i < back:
				again++
			case reserved:
				at := (now + after + 4) / 5 * 5
				returns[at] = append(returns[at], id)
			}
		}
	}
	must.Zero(t, again)
	checkWindows(t, accepted, rate)
	must.GreaterEq(t, rate*seconds, len(accepted))
	t.Logf("accepted %d of %d, %.1f a second", len(accepted), 10*rate*seconds, float64(len(accepted))/seconds)
}

// TestRatesOfCallersThatDoNotReturn guards against a tenant that is refused all, as slots are reserved
// for callers that never return. The load: ten times the rate for a minute, each job once.
func TestRatesOfCallersThatDoNotReturn(t *testing.T) {
	const rate, seconds = 18, 60
	r := NewRates(testWindow, testExcess, testTolerance)
	r.SetRates(map[string]float64{"a": rate})
	accepted := 0
	for now := clock.Millis(0); now < seconds*clock.Second; now += 50 {
		for n := range 10 * rate / 20 {
			if _, ok := r.Admit("a", fmt.Sprint(now, "-", n), now); ok {
				accepted++
			}
		}
	}
	must.GreaterEq(t, rate*seconds*9/10, accepted)
	t.Logf("accepted %.1f a second", float64(accepted)/seconds)
}

// TestRatesCount guards against a takeover that gives a tenant its whole window again: jobs that were
// accepted before count from their own times.
func TestRatesCount(t *testing.T) {
	r := NewRates(testWindow, testExcess, testTolerance)
	r.SetRates(map[string]float64{"a": 10})
	const now = clock.Millis(1_000_000)
	for i := range 80 {
		r.Count("a", fmt.Sprint(i), now-clock.Millis(i*100), now)
	}
	accepted := 0
	for i := range 100 {
		if _, ok := r.Admit("a", fmt.Sprint("n", i), now); ok {
			accepted++
		}
	}
	must.Eq(t, 75-50, accepted)
	_, ok := r.Admit("a", "next", now+testWindow)
	must.False(t, ok, must.Sprint("the slots of refused jobs are taken"))
	r.SetRates(map[string]float64{"b": 1})
	_, ok = r.Admit("a", "without a rate", now)
	must.True(t, ok)
}

// TestRatesBeyond guards against a tenant that counts as sending too much after it has stopped.
func TestRatesBeyond(t *testing.T) {
	r := NewRates(testWindow, testExcess, testTolerance)
	r.SetRates(map[string]float64{"a": 5, "b": 0.1})
	now := clock.Millis(1_000_000)
	for range 5 {
		r.Asked("a", now)
		r.Asked("unknown", now)
	}
	r.Asked("b", now)
	must.False(t, r.Beyond("a", now))
	must.False(t, r.Beyond("b", now))
	must.False(t, r.Beyond("unknown", now))
	r.Asked("a", now+500)
	must.True(t, r.Beyond("a", now+500))
	must.False(t, r.Beyond("a", now+1000))
}

// BenchmarkRatesFlood measures an answer to a tenant that sends ten times its rate.
func BenchmarkRatesFlood(b *testing.B) {
	r := NewRates(testWindow, testExcess, testTolerance)
	r.SetRates(map[string]float64{"a": 18})
	ids := make([]string, 4096)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
	}
	now, n := clock.Millis(1_000_000), 0
	for b.Loop() {
		n++
		if n%2 == 0 {
			now += 11
		}
		r.Admit("a", ids[n%len(ids)], now)
	}
}
