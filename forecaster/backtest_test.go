package forecaster

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/pricer"
)

type (
	// guess is what was expected of a month after some of its days.
	guess struct {
		month pricer.Month
		day   int
		ours  Line
		last  int64
		scale float64
		truth int64
	}
)

var (
	backtestDays = []int{1, 10, 20}
	firstSeed    = uint64(300)
	shapes       = map[string]func(testing.TB, uint64) *shape{"crossguard": crossguard, "sorica": sorica}
)

// walkForward plays days up to the end of a number of months and forecasts
// each month after warm-up from what is known then.
func walkForward(t testing.TB, s *shape, months, warmUp int, bands bool, days ...int) []guess {
	var guesses []guess
	first := pricer.MonthOf(s.day, s.zone)
	m := first
	for n := range months {
		begun := len(guesses)
		for day := 1; s.day < m.End(); day++ {
			s.play(t)
			if n >= warmUp && slices.Contains(days, day) {
				guesses = append(guesses, s.guess(m, day, bands))
			}
		}
		truth := pricer.Actual(s.ledger, pricer.NewTable(s.state), m).TotalMinor()
		for g := begun; g < len(guesses); g++ {
			guesses[g].truth = truth
		}
		m = m.Next()
	}
	return guesses
}

func (s *shape) guess(m pricer.Month, day int, bands bool) guess {
	at := New(s.ledger, s.state, s.day+10*clock.Minute)
	f := at.expect(m, at.model, at.table)
	if bands {
		f = at.Forecast(m)
	}
	toDate := float64(f.ToDate().TotalMinor())
	return guess{
		month: m, day: day, ours: f.Whole(),
		last:  pricer.Actual(s.ledger, pricer.NewTable(s.state), m.Previous()).TotalMinor(),
		scale: toDate * float64(m.End()-m.Start()) / float64(s.day-m.Start()),
	}
}

type (
	score struct {
		ours, last, scaled float64
		covered, n         int
		width              float64
	}
)

func scoreOf(guesses []guess, day int) score {
	var ours, last, scaled []float64
	r := score{}
	for _, g := range guesses {
		if g.day != day {
			continue
		}
		truth := float64(g.truth)
		ours = append(ours, math.Abs(float64(g.ours.P50())-truth)/truth)
		last = append(last, math.Abs(float64(g.last)-truth)/truth)
		scaled = append(scaled, math.Abs(g.scale-truth)/truth)
		if g.ours.P10() <= g.truth && g.truth <= g.ours.P90() {
			r.covered++
		}
		r.width += float64(g.ours.P90()-g.ours.P10()) / truth
		r.n++
	}
	r.ours, r.last, r.scaled = median(ours), median(last), median(scaled)
	r.width /= float64(r.n)
	return r
}

func (s score) String() string {
	return fmt.Sprintf("median error %.2f%%, same as last month %.2f%%, to date scaled %.2f%%; band covers %d of %d (%.0f%%), %.1f%% wide",
		100*s.ours, 100*s.last, 100*s.scaled, s.covered, s.n, 100*float64(s.covered)/float64(s.n), 100*s.width)
}

// TestBacktest: on the first day of a month the forecast is off by less than half
// as much as the better of two plain guesses. BenchmarkBacktest has more days,
// months and seeds.
func TestBacktest(t *testing.T) {
	for name, shape := range shapes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			guesses := walkForward(t, shape(t, 1), 15, 3, false, 1)
			r := scoreOf(guesses, 1)
			must.Eq(t, 12, r.n)
			must.Less(t, math.Min(r.last, r.scaled)/2, r.ours)
		})
	}
}

// BenchmarkBacktest plays several years of each shape and gives median errors
// and coverage in percent: go test ./forecaster -run xxx -bench Backtest
// -benchtime 1x.
func BenchmarkBacktest(b *testing.B) {
	for name, shape := range shapes {
		years := make([][]guess, 8)
		var wait sync.WaitGroup
		for seed := range years {
			wait.Go(func() { years[seed] = walkForward(b, shape(b, firstSeed+uint64(seed)), 15, 3, true, backtestDays...) })
		}
		wait.Wait()
		guesses := slices.Concat(years...)
		for _, day := range backtestDays {
			b.Run(fmt.Sprintf("%s/day-%d", name, day), func(b *testing.B) {
				for b.Loop() {
					r := scoreOf(guesses, day)
					b.ReportMetric(100*r.ours, "error-%")
					b.ReportMetric(100*r.last, "last-month-error-%")
					b.ReportMetric(100*r.scaled, "scaled-error-%")
					b.ReportMetric(100*float64(r.covered)/float64(r.n), "coverage-%")
					b.ReportMetric(100*r.width, "width-%")
				}
			})
		}
	}
}
