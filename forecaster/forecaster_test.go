package forecaster

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/schema"
)

const baseDocument = `{
	"operators":[{"name":"sorica","currency":"EUR","time-zone":"Europe/Ljubljana"}],
	"data-centres":[{"name":"a","region":"r"},{"name":"b","region":"r"}],
	"teams":[{"name":"t","quota":{},"budget":400000}],
	"services":[{"name":"s","team":"t","replicas":4,"size":{"processors":2,"memory":"4GiB"},"latency-target":"200ms"}],
	"batch-jobs":[{"name":"roster","team":"t","size":{"processors":4,"memory":"2GiB"},"run-time":"5h","calendar":{"every":"week","day":3,"hour":2}}],
	"prices":[
		{"data-centre":"a","resource":"processors","from":"2026-01-01","hourly-millionths":50000000},
		{"data-centre":"a","resource":"memory","from":"2026-01-01","hourly-millionths":1000000},
		{"data-centre":"b","resource":"processors","from":"2026-01-01","hourly-millionths":60000000},
		{"data-centre":"b","resource":"memory","from":"2026-01-01","hourly-millionths":1000000}]}`

// stateOf returns the state after declaring all items of a settings document.
func stateOf(t testing.TB, document string) *declarer.State {
	items, faults := declarer.ParseFile([]byte(document))
	must.Len(t, 0, faults)
	s, o := declarer.NewState().Apply(0, declarer.ChangeOf("ana", declarer.Plan(nil, items, false)))
	must.True(t, o.Accepted(), must.Sprint(o.Err()))
	return s
}

func parseTime(t testing.TB, text string) clock.Millis {
	at, err := time.Parse(time.RFC3339, text)
	must.NoError(t, err)
	return clock.FromTime(at)
}

// steadyLedger returns a ledger in which the service reserves what it declares in
// [from, until), half of it in each data centre. Hours for which keep is false have no
// record.
func steadyLedger(s *declarer.State, from, until clock.Millis, keep func(shard string, hour clock.Millis) bool) *meter.Ledger {
	l := meter.NewLedger(pricer.NewTable(s).Zone())
	offset := int64(0)
	for h := from; h < until; h += clock.Hour {
		for _, shard := range []string{"a/0", "b/0"} {
			ms := 2 * int64(clock.Hour)
			u := &schema.Usage{Shard: shard, HourMillis: int64(h), Lines: []*schema.UsageLine{
				{Team: "t", Work: "s", TaskMillis: ms, ReservedMillicoreMillis: 2000 * ms, ReservedMibMillis: 4096 * ms},
			}}
			if keep(shard, h) {
				l.Add(offset, u)
			}
			offset++
		}
	}
	return l
}

func keepAll(string, clock.Millis) bool { return true }

func codesOf(faults []meter.Fault) []coder.Code {
	var codes []coder.Code
	for _, f := range faults {
		codes = append(codes, f.Code())
	}
	return codes
}

// serviceCost returns the cost of the service in a month: 4 cores and 8 GiB in each data
// centre for all hours.
func serviceCost(m pricer.Month) int64 {
	hours := int64((m.End() - m.Start()) / clock.Hour)
	return hours * (4*50 + 4*60 + 8 + 8)
}

func TestForecastSteadyUsage(t *testing.T) {
	s := stateOf(t, strings.Replace(baseDocument, `"roster","team":"t"`, `"roster","team":"t","tasks":1`, 1))
	l := steadyLedger(s, parseTime(t, "2026-01-10T00:00:00Z"), parseTime(t, "2026-03-20T07:00:00Z"), keepAll)
	f := New(l, s, parseTime(t, "2026-03-20T07:10:00Z"))
	tests := map[string]struct {
		month      string
		rosterRuns int64
		codes      []coder.Code
	}{
		// One Wednesday is left, the 25th. Clocks go forward on the 29th.
		"this month": {"2026-03", 1, []coder.Code{coder.HistoryShort}},
		// 70 days of history are too few for a backtest with this lead time.
		"next month": {"2026-04", 5, []coder.Code{coder.HistoryShort, coder.HistoryShort}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m, err := f.ParseMonth(tc.month)
			must.NoError(t, err)
			r := f.Forecast(m)
			rosterCost := tc.rosterRuns * (20*55 + 10)
			must.Eq(t, serviceCost(m)+rosterCost, r.Total().P50())
			must.Eq(t, map[string]int64{"s": serviceCost(m), "roster": rosterCost}, r.Expected().GroupMinor(pricer.ByWork))
			must.Eq(t, tc.codes, codesOf(r.LeftOut()))
		})
	}
	must.Eq(t, "2026-04", mustParse(t, f, "").String())
	_, err := f.ParseMonth("April")
	must.Eq(t, coder.BadFormat, coder.Of(err))
}

func mustParse(t testing.TB, f *Forecaster, month string) pricer.Month {
	m, err := f.ParseMonth(month)
	must.NoError(t, err)
	return m
}

func TestPastMonthHasNoBand(t *testing.T) {
	s := stateOf(t, baseDocument)
	l := steadyLedger(s, parseTime(t, "2026-01-31T23:00:00Z"), parseTime(t, "2026-03-20T07:00:00Z"), keepAll)
	f := New(l, s, parseTime(t, "2026-03-20T07:10:00Z"))
	r := f.Forecast(mustParse(t, f, "2026-02"))
	w := r.Total()
	must.Eq(t, serviceCost(r.Month()), w.P50())
	must.Eq(t, [3]int64{w.P50(), w.P50(), w.P50()}, [3]int64{w.ToDate(), w.P10(), w.P90()})
	must.Len(t, 0, r.LeftOut())
}

// TestMissingRecords checks that the missing records of a data centre that is cut off are
// estimated and reported as a fault, and that they widen the band. Without the estimate the
// forecast would drop.
func TestMissingRecords(t *testing.T) {
	s := stateOf(t, baseDocument)
	now := parseTime(t, "2026-03-20T07:00:00Z")
	tests := map[string]struct {
		keep  func(shard string, hour clock.Millis) bool
		codes []coder.Code
		wider bool
	}{
		"none": {keep: keepAll, codes: []coder.Code{coder.HistoryShort}},
		"late by an hour": {keep: func(shard string, h clock.Millis) bool {
			return shard == "a/0" || h < now-clock.Hour
		}, codes: []coder.Code{coder.HistoryShort}},
		"cut off for two days": {keep: func(shard string, h clock.Millis) bool {
			return shard == "a/0" || h < now-2*clock.Day
		}, codes: []coder.Code{coder.UsageMissing, coder.HistoryShort}, wider: true},
		"gap of two days": {keep: func(shard string, h clock.Millis) bool {
			return shard == "a/0" || h < now-5*clock.Day || h >= now-3*clock.Day
		}, codes: []coder.Code{coder.UsageMissing, coder.HistoryShort}, wider: true},
	}
	complete := New(steadyLedger(s, now-60*clock.Day, now, keepAll), s, now).Forecast(pricer.MonthOf(now, loadZone(t)))
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := New(steadyLedger(s, now-60*clock.Day, now, tc.keep), s, now)
			r := f.Forecast(f.CurrentMonth())
			must.Eq(t, tc.codes, codesOf(r.LeftOut()))
			off := float64(r.Total().P50()-complete.Total().P50()) / float64(complete.Total().P50())
			must.Between(t, -0.002, off, 0.002)
			must.Eq(t, tc.wider, r.Total().P90()-r.Total().P50() > complete.Total().P90()-complete.Total().P50())
		})
	}
}

func loadZone(t testing.TB) *time.Location {
	z, err := time.LoadLocation("Europe/Ljubljana")
	must.NoError(t, err)
	return z
}

func TestNoRecentRecords(t *testing.T) {
	s := stateOf(t, baseDocument)
	now := parseTime(t, "2026-03-20T07:00:00Z")
	f := New(steadyLedger(s, now-60*clock.Day, now-clock.Day, keepAll), s, now)
	r := f.Forecast(f.CurrentMonth())
	must.Eq(t, []coder.Code{coder.UsageMissing, coder.HistoryShort}, codesOf(r.LeftOut()))
	must.Eq(t, serviceCost(f.CurrentMonth()), r.Expected().GroupMinor(pricer.ByWork)["s"])
}

func TestMissingPrice(t *testing.T) {
	s := stateOf(t, strings.ReplaceAll(baseDocument, `{"data-centre":"b","resource":"memory","from":"2026-01-01"`, `{"data-centre":"b","resource":"memory","from":"2026-03-10"`))
	now := parseTime(t, "2026-03-20T07:00:00Z")
	f := New(steadyLedger(s, now-60*clock.Day, now, keepAll), s, now)
	r := f.Forecast(f.CurrentMonth())
	must.Eq(t, coder.PriceMissing, r.LeftOut()[0].Code())
	must.StrContains(t, r.LeftOut()[0].String(), "no price of memory in b on 2026-03-01")
}

func TestAlerts(t *testing.T) {
	now := parseTime(t, "2026-03-20T07:00:00Z")
	tests := map[string]struct {
		budget string
		want   string
	}{
		"no budget":     {"0", ""},
		"within budget": {"400000", ""},
		"on course":     {"300000", "is on course to pass"},
		"passed":        {"100000", "has passed"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := stateOf(t, strings.Replace(baseDocument, "400000", tc.budget, 1))
			f := New(steadyLedger(s, now-60*clock.Day, now, keepAll), s, now)
			alerts := f.Forecast(f.CurrentMonth()).Alerts(s)
			if tc.want == "" {
				must.Len(t, 0, alerts)
				return
			}
			must.Len(t, 1, alerts)
			must.Eq(t, coder.OverBudget, alerts[0].Code())
			must.StrContains(t, alerts[0].String(), tc.want)
		})
	}
}

// TestForecastWithoutData checks that a forecast without declarations and usage is 0, not a
// failure, and that a forecast without usage is made from the declarations.
func TestForecastWithoutData(t *testing.T) {
	now := parseTime(t, "2026-03-20T07:00:00Z")
	f := New(meter.NewLedger(time.UTC), declarer.NewState(), now)
	must.Eq(t, 0, f.Forecast(f.CurrentMonth()).Total().P90())
	s := stateOf(t, baseDocument)
	f = New(meter.NewLedger(loadZone(t)), s, now)
	r := f.Forecast(f.CurrentMonth().Next())
	must.Eq(t, serviceCost(r.Month()), r.Expected().GroupMinor(pricer.ByWork)["s"])
	must.Greater(t, r.Total().P50(), r.Total().P90())
}

func TestResponse(t *testing.T) {
	s := stateOf(t, baseDocument)
	now := parseTime(t, "2026-03-20T07:00:00Z")
	f := New(steadyLedger(s, now-60*clock.Day, now, keepAll), s, now)
	r := f.Forecast(f.CurrentMonth()).Response(pricer.ByDataCentre, s)
	lines, parts := int64(0), int64(0)
	for _, l := range r.GetLines() {
		lines += l.GetP50Minor()
	}
	for _, p := range r.GetParts() {
		parts += p.GetAmountMinor()
	}
	must.Eq(t, r.GetP50Minor(), lines)
	must.Eq(t, r.GetToDateMinor(), parts)
	must.Len(t, 31, r.GetDays())
	last := r.GetDays()[30]
	must.Eq(t, [3]int64{r.GetP10Minor(), r.GetP50Minor(), r.GetP90Minor()}, [3]int64{last.GetP10Minor(), last.GetP50Minor(), last.GetP90Minor()})
	must.True(t, r.GetDays()[18].GetKnown())
	must.False(t, r.GetDays()[19].GetKnown())
}
