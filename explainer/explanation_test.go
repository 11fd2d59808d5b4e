package explainer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
)

type (
	// usage is what a job reserved in a data centre: a number of runs, the hours and
	// cores of each run, and the hours wasted in addition. offset is the time from the
	// start of the month.
	usage struct {
		dataCentre string
		runs       int64
		hours      int64
		cores      int64
		wasted     int64
		offset     clock.Millis
	}
)

const declarations = `{
	"operators":[{"name":"crossguard","currency":"TTD","time-zone":"America/Port_of_Spain"}],
	"data-centres":[{"name":"a","region":"south"},{"name":"b","region":"south"}],
	"teams":[{"name":"planners","quota":{}}],
	"batch-jobs":[{"name":"review","team":"planners","size":{"processors":2,"memory":"4GiB"},"run-time":"1h"}],
	"services":[{"name":"checks","team":"planners","replicas":3,"size":{"processors":2,"memory":"4GiB"},"latency-target":"200ms"}],
	"prices":[
		{"data-centre":"a","resource":"processors","from":"2026-01-01","hourly-millionths":3000000},
		{"data-centre":"a","resource":"memory","from":"2026-01-01","hourly-millionths":500000},
		{"data-centre":"a","resource":"processors","from":"2026-02-01","hourly-millionths":4000000},
		{"data-centre":"b","resource":"processors","from":"2026-01-01","hourly-millionths":5000000},
		{"data-centre":"b","resource":"memory","from":"2026-01-01","hourly-millionths":500000}]}`

func newState(t testing.TB) *declarer.State {
	items, faults := declarer.ParseFile([]byte(declarations))
	must.Len(t, 0, faults)
	s, o := declarer.NewState().Apply(40, declarer.ChangeOf("ana", declarer.Plan(nil, items, false)))
	must.True(t, o.Accepted(), must.Sprint(o.Err()))
	return s
}

func parseMonth(t testing.TB, text string, zone *time.Location) pricer.Month {
	m, err := pricer.ParseMonth(text, zone)
	must.NoError(t, err)
	return m
}

func newBill(table *pricer.Table, m pricer.Month, work string, usages ...usage) *pricer.Bill {
	b := pricer.NewBuilder(table, m)
	for _, h := range usages {
		ms := (h.runs*h.hours + h.wasted) * int64(clock.Hour)
		b.Add(m.Start()+h.offset, meter.NewCell(h.dataCentre, "planners", work), meter.Amounts{
			meter.ReservedProcessors: ms * h.cores * 1000, meter.WastedProcessors: h.wasted * int64(clock.Hour) * h.cores * 1000,
			meter.TaskMillis: ms, meter.Runs: h.runs,
		})
	}
	return b.Bill()
}

func TestCausesOf(t *testing.T) {
	table := pricer.NewTable(newState(t))
	january, february := parseMonth(t, "2026-01", table.Zone()), parseMonth(t, "2026-02", table.Zone())
	base := usage{dataCentre: "a", runs: 100, hours: 2, cores: 2}
	tests := map[string]struct {
		after []usage
		month pricer.Month
		want  map[Kind]int64
	}{
		"no change":        {after: []usage{base}, month: january, want: map[Kind]int64{}},
		"price":            {after: []usage{base}, month: february, want: map[Kind]int64{Price: 400}},
		"volume":           {after: []usage{{dataCentre: "a", runs: 130, hours: 2, cores: 2}}, month: january, want: map[Kind]int64{Volume: 360}},
		"run time":         {after: []usage{{dataCentre: "a", runs: 100, hours: 3, cores: 2}}, month: january, want: map[Kind]int64{RunTime: 600}},
		"size":             {after: []usage{{dataCentre: "a", runs: 100, hours: 2, cores: 1}}, month: january, want: map[Kind]int64{Size: -600}},
		"move":             {after: []usage{{dataCentre: "a", runs: 50, hours: 2, cores: 2}, {dataCentre: "b", runs: 50, hours: 2, cores: 2}}, month: january, want: map[Kind]int64{Move: 400}},
		"eviction":         {after: []usage{{dataCentre: "a", runs: 100, hours: 2, cores: 2, wasted: 10}}, month: january, want: map[Kind]int64{Eviction: 60}},
		"volume and price": {after: []usage{{dataCentre: "a", runs: 130, hours: 2, cores: 2}}, month: february, want: map[Kind]int64{Volume: 360, Price: 520}},
		"ended":            {month: january, want: map[Kind]int64{EndedWork: -1200}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := map[Kind]int64{}
			for _, c := range causesOf(newBill(table, january, "review", base), newBill(table, tc.month, "review", tc.after...)) {
				got[c.Kind()] += c.AmountMinor()
			}
			must.Eq(t, tc.want, got)
		})
	}
}

// TestCausesAddUp checks that the causes add up exactly to the difference between two
// random bills, despite rounding, negative amounts and missing prices.
func TestCausesAddUp(t *testing.T) {
	table := pricer.NewTable(newState(t))
	january, february := parseMonth(t, "2026-01", table.Zone()), parseMonth(t, "2026-02", table.Zone())
	rapid.Check(t, func(t *rapid.T) {
		bills := []*pricer.Bill{drawBill(t, table, january), drawBill(t, table, february)}
		total := int64(0)
		for _, c := range causesOf(bills[0], bills[1]) {
			total += c.AmountMinor()
		}
		must.Eq(t, bills[1].TotalMinor()-bills[0].TotalMinor(), total)
	})
}

func drawBill(t *rapid.T, table *pricer.Table, m pricer.Month) *pricer.Bill {
	b := pricer.NewBuilder(table, m)
	for range rapid.IntRange(0, 12).Draw(t, "cells") {
		c := meter.NewCell(rapid.SampledFrom([]string{"a", "b", "unpriced"}).Draw(t, "place"), "planners", fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "work")))
		var a meter.Amounts
		for f := range a {
			a[f] = rapid.Int64Range(-1000, 1<<44).Draw(t, "amount")
		}
		a[meter.Runs] = rapid.Int64Range(0, 3).Draw(t, "runs")
		b.Add(m.Start(), c, a)
	}
	return b.Bill()
}
