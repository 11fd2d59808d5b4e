package explainer

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/schema"
)

// newLedger returns a ledger with hourly records in [from, until): the service at its
// declared size in both data centres, and one run of the job in each of them.
func newLedger(s *declarer.State, from, until clock.Millis) *meter.Ledger {
	l := meter.NewLedger(pricer.NewTable(s).Zone())
	offset := int64(0)
	for h := from; h < until; h += clock.Hour {
		for _, shard := range []string{"a/0", "b/0"} {
			ms := int64(clock.Hour) * 3 / 2
			job := int64(clock.Hour) / 2
			l.Add(offset, &schema.Usage{Shard: shard, HourMillis: int64(h), Lines: []*schema.UsageLine{
				{Team: "planners", Work: "checks", TaskMillis: ms, ReservedMillicoreMillis: 2000 * ms, ReservedMibMillis: 4096 * ms},
				{Team: "planners", Work: "review", TaskMillis: job, Runs: 1, ReservedMillicoreMillis: 2000 * job, ReservedMibMillis: 4096 * job},
			}})
			offset++
		}
	}
	return l
}

func newExplainer(t testing.TB) (*Explainer, pricer.Month) {
	s := newState(t)
	zone := pricer.NewTable(s).Zone()
	m := parseMonth(t, "2026-03", zone)
	now := m.Start() + 10*clock.Day + 7*clock.Hour
	return New(newLedger(s, parseMonth(t, "2026-01", zone).Start(), now), s, now), m
}

func TestExplain(t *testing.T) {
	e, m := newExplainer(t)
	tests := map[string]struct {
		against Against
		kinds   []Kind
	}{
		"last month":    {AgainstLastMonth, []Kind{Volume, Volume}},
		"last forecast": {AgainstLastForecast, nil},
		"plan":          {AgainstPlan, []Kind{NewWork}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			x, err := e.Explain(m, tc.against)
			must.NoError(t, err)
			total := int64(0)
			var kinds []Kind
			for _, c := range x.Causes() {
				total += c.AmountMinor()
				kinds = append(kinds, c.Kind())
				must.SliceNotEmpty(t, c.UsageOffsets())
				must.Eq(t, []int64{40}, c.ConfigOffsets())
			}
			must.Eq(t, x.ToMinor()-x.FromMinor(), total)
			must.Eq(t, tc.kinds, kinds)
			must.Len(t, 0, x.LeftOut())
		})
	}
	_, err := e.Explain(m, "yesterday")
	must.Eq(t, coder.UnknownName, coder.Of(err))
}

func TestWhatIf(t *testing.T) {
	e, m := newExplainer(t)
	version := func(k declarer.Kind, name string) int64 { return e.state.Get(k, name).Version() }
	item := func(k declarer.Kind, name, document string) *schema.Change {
		return &schema.Change{Items: []*schema.ChangeItem{{Kind: string(k), Name: name, ExpectedVersion: version(k, name), Document: []byte(document)}}}
	}
	tests := map[string]struct {
		change    *schema.Change
		want      coder.Code
		kind      Kind
		costsMore bool
	}{
		"data centre drained": {item(declarer.KindDrain, "data-centre.a", `{"name":"data-centre.a"}`), coder.OK, Move, true},
		"smaller size":        {item(declarer.KindBatchJob, "review", `{"name":"review","team":"planners","size":{"processors":1,"memory":"2GiB"},"run-time":"1h"}`), coder.OK, Size, false},
		"longer run time":     {item(declarer.KindBatchJob, "review", `{"name":"review","team":"planners","size":{"processors":2,"memory":"4GiB"},"run-time":"2h"}`), coder.OK, RunTime, true},
		"more replicas":       {item(declarer.KindService, "checks", `{"name":"checks","team":"planners","replicas":4,"size":{"processors":2,"memory":"4GiB"},"latency-target":"200ms"}`), coder.OK, Volume, true},
		"higher price":        {item(declarer.KindPrice, "a.processors.2026-03-15", `{"data-centre":"a","resource":"processors","from":"2026-03-15","hourly-millionths":9000000}`), coder.OK, Price, true},
		"team's quota":        {item(declarer.KindTeam, "planners", `{"name":"planners","quota":{"processors":6.5}}`), coder.OK, Volume, false},
		"price in the past":   {item(declarer.KindPrice, "a.processors.2026-03-01", `{"data-centre":"a","resource":"processors","from":"2026-03-01","hourly-millionths":9000000}`), coder.BadPrice, "", false},
		"unknown team":        {item(declarer.KindBatchJob, "review", `{"name":"review","team":"x","size":{"processors":1,"memory":"2GiB"},"run-time":"1h"}`), coder.UnknownName, "", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			x, err := e.WhatIf(m, tc.change)
			must.Eq(t, tc.want, coder.Of(err))
			if tc.want != coder.OK {
				return
			}
			must.SliceNotEmpty(t, x.Causes())
			must.Eq(t, tc.kind, x.Causes()[0].Kind(), must.Sprint(x.Causes()))
			must.Eq(t, tc.costsMore, x.ToMinor() > x.FromMinor())
			total := int64(0)
			for _, c := range x.Causes() {
				total += c.AmountMinor()
			}
			must.Eq(t, x.ToMinor()-x.FromMinor(), total)
		})
	}
}
