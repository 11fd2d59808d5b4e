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
	// prediction is a forecast of a month made on one of its days, two naive
	// predictions to compare it with (last month's cost, and the cost to date scaled to
	// the whole month), and the actual cost.
	prediction struct {
		month        pricer.Month
		day          int
		forecast     Line
		lastMonth    int64
		scaledToDate float64
		actual       int64
	}
)

var (
	backtestDays = []int{1, 10, 20}
	firstSeed    = uint64(300)
	scenarios    = map[string]func(testing.TB, uint64) *simulation{"crossguard": crossguard, "sorica": sorica}
)

// walkForward simulates a number of months and forecasts each month after the first warmUp
// months on the given days of the month, from the data known by then. The forecasts have a
// band only if bands is set.
func walkForward(t testing.TB, s *simulation, months, warmUp int, bands bool, days ...int) []prediction {
	var predictions []prediction
	first := pricer.MonthOf(s.day, s.zone)
	m := first
	for n := range months {
		// firstOfMonth is the index of the month's first prediction.
		firstOfMonth := len(predictions)
		for day := 1; s.day < m.End(); day++ {
			s.simulateDay(t)
			if n >= warmUp && slices.Contains(days, day) {
				predictions = append(predictions, s.predict(m, day, bands))
			}
		}
		actual := pricer.Actual(s.ledger, pricer.NewTable(s.state), m).TotalMinor()
		for i := firstOfMonth; i < len(predictions); i++ {
			predictions[i].actual = actual
		}
		m = m.Next()
	}
	return predictions
}

func (s *simulation) predict(m pricer.Month, day int, bands bool) prediction {
	forecaster := New(s.ledger, s.state, s.day+10*clock.Minute)
	f := forecaster.pointForecast(m, forecaster.model, forecaster.table)
	if bands {
		f = forecaster.Forecast(m)
	}
	toDate := float64(f.ToDate().TotalMinor())
	return prediction{
		month: m, day: day, forecast: f.Total(),
		lastMonth:    pricer.Actual(s.ledger, pricer.NewTable(s.state), m.Previous()).TotalMinor(),
		scaledToDate: toDate * float64(m.End()-m.Start()) / float64(s.day-m.Start()),
	}
}

type (
	// score holds the median relative errors of the forecasts and of the naive
	// predictions, the number of actual costs in the band, and the band's mean width
	// relative to the actual cost.
	score struct {
		forecast, lastMonth, scaled float64
		covered, n                  int
		width                       float64
	}
)

// scoreOf scores the predictions that were made on a day of the month.
func scoreOf(predictions []prediction, day int) score {
	var forecast, lastMonth, scaled []float64
	r := score{}
	for _, p := range predictions {
		if p.day != day {
			continue
		}
		actual := float64(p.actual)
		forecast = append(forecast, math.Abs(float64(p.forecast.P50())-actual)/actual)
		lastMonth = append(lastMonth, math.Abs(float64(p.lastMonth)-actual)/actual)
		scaled = append(scaled, math.Abs(p.scaledToDate-actual)/actual)
		if p.forecast.P10() <= p.actual && p.actual <= p.forecast.P90() {
			r.covered++
		}
		r.width += float64(p.forecast.P90()-p.forecast.P10()) / actual
		r.n++
	}
	r.forecast, r.lastMonth, r.scaled = median(forecast), median(lastMonth), median(scaled)
	r.width /= float64(r.n)
	return r
}

func (s score) String() string {
	return fmt.Sprintf("median error %.2f%%, same as last month %.2f%%, to date scaled %.2f%%; band covers %d of %d (%.0f%%), %.1f%% wide",
		100*s.forecast, 100*s.lastMonth, 100*s.scaled, s.covered, s.n, 100*float64(s.covered)/float64(s.n), 100*s.width)
}

// TestBacktest checks that the median error of forecasts on the first day of a month is less
// than half that of the better of two naive predictions. BenchmarkBacktest covers more days,
// months and seeds.
func TestBacktest(t *testing.T) {
	for name, build := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			predictions := walkForward(t, build(t, 1), 15, 3, false, 1)
			r := scoreOf(predictions, 1)
			must.Eq(t, 12, r.n)
			must.Less(t, math.Min(r.lastMonth, r.scaled)/2, r.forecast)
		})
	}
}

// BenchmarkBacktest simulates each scenario with several seeds and reports median errors and
// the coverage of the band in percent:
//
//	go test ./forecaster -run xxx -bench Backtest -benchtime 1x
func BenchmarkBacktest(b *testing.B) {
	for name, build := range scenarios {
		bySeed := make([][]prediction, 8)
		var wait sync.WaitGroup
		for seed := range bySeed {
			wait.Go(func() { bySeed[seed] = walkForward(b, build(b, firstSeed+uint64(seed)), 15, 3, true, backtestDays...) })
		}
		wait.Wait()
		predictions := slices.Concat(bySeed...)
		for _, day := range backtestDays {
			b.Run(fmt.Sprintf("%s/day-%d", name, day), func(b *testing.B) {
				for b.Loop() {
					r := scoreOf(predictions, day)
					b.ReportMetric(100*r.forecast, "error-%")
					b.ReportMetric(100*r.lastMonth, "last-month-error-%")
					b.ReportMetric(100*r.scaled, "scaled-error-%")
					b.ReportMetric(100*float64(r.covered)/float64(r.n), "coverage-%")
					b.ReportMetric(100*r.width, "width-%")
				}
			})
		}
	}
}
