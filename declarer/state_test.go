package declarer

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

const (
	billingTeam = `{"name":"billing","quota":{"processors":10,"memory":"10GiB"}}`
	invoiceJob  = `{"name":"invoice","team":"billing","size":{"processors":1,"memory":"1GiB"},"run-time":"10m"}`
)

// newChange returns a change by the operator ana.
func newChange(items ...*schema.ChangeItem) *schema.Change {
	return &schema.Change{Operator: "ana", Items: items}
}

// newChangeItem returns an item of a change; an empty document deletes the declaration.
func newChangeItem(k Kind, name string, expected int64, document string) *schema.ChangeItem {
	return &schema.ChangeItem{Kind: string(k), Name: name, ExpectedVersion: expected, Delete: document == "", Document: []byte(document)}
}

func TestApply(t *testing.T) {
	team := newChangeItem(KindTeam, "billing", 0, billingTeam)
	tests := map[string]struct {
		before []*schema.Change
		change *schema.Change
		want   coder.Code
	}{
		"new":                 {change: newChange(team), want: coder.OK},
		"job with its team":   {change: newChange(newChangeItem(KindBatchJob, "invoice", 0, invoiceJob), team), want: coder.OK},
		"unknown team":        {change: newChange(newChangeItem(KindBatchJob, "invoice", 0, invoiceJob)), want: coder.UnknownName},
		"stale version":       {before: []*schema.Change{newChange(team)}, change: newChange(team), want: coder.StaleVersion},
		"expected version":    {before: []*schema.Change{newChange(team)}, change: newChange(newChangeItem(KindTeam, "billing", 1, billingTeam)), want: coder.OK},
		"deleted":             {before: []*schema.Change{newChange(team)}, change: newChange(newChangeItem(KindTeam, "billing", 1, "")), want: coder.OK},
		"deleted in use":      {before: []*schema.Change{newChange(team, newChangeItem(KindBatchJob, "invoice", 0, invoiceJob))}, change: newChange(newChangeItem(KindTeam, "billing", 1, "")), want: coder.UnknownName},
		"deleted unknown":     {change: newChange(newChangeItem(KindTeam, "billing", 0, "")), want: coder.NotFound},
		"item twice":          {change: newChange(team, team), want: coder.Duplicate},
		"name differs":        {change: newChange(newChangeItem(KindTeam, "other", 0, billingTeam)), want: coder.BadFormat},
		"unknown kind":        {change: newChange(newChangeItem("group", "billing", 0, billingTeam)), want: coder.UnknownName},
		"malformed":           {change: newChange(newChangeItem(KindTeam, "billing", 0, "{")), want: coder.Malformed},
		"drain of unknown":    {change: newChange(newChangeItem(KindDrain, "data-centre.a", 0, `{"name":"data-centre.a"}`)), want: coder.UnknownName},
		"shards changed":      {before: []*schema.Change{newChange(newChangeItem(KindDataCentre, "a", 0, `{"name":"a","region":"r"}`))}, change: newChange(newChangeItem(KindDataCentre, "a", 1, `{"name":"a","region":"r","shards":2}`)), want: coder.InUse},
		"shards kept":         {before: []*schema.Change{newChange(newChangeItem(KindDataCentre, "a", 0, `{"name":"a","region":"r"}`))}, change: newChange(newChangeItem(KindDataCentre, "a", 1, `{"name":"a","region":"q","shards":1}`)), want: coder.OK},
		"too many shards":     {change: newChange(newChangeItem(KindDataCentre, "a", 0, `{"name":"a","region":"r","shards":65}`)), want: coder.OutOfRange},
		"drain of a host":     {change: newChange(newChangeItem(KindDrain, "host.w1", 0, `{"name":"host.w1"}`)), want: coder.OK},
		"one name, two kinds": {change: newChange(team, newChangeItem(KindBatchJob, "invoice", 0, invoiceJob), newChangeItem(KindWatchJob, "invoice", 0, `{"name":"invoice","team":"billing","size":{"processors":1,"memory":"1GiB"},"period":"1m","tracks":"stock"}`)), want: coder.Duplicate},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			for n, c := range tc.before {
				var o Outcome
				s, o = s.Apply(int64(n), c)
				must.True(t, o.Accepted())
			}
			after, o := s.Apply(7, tc.change)
			must.Eq(t, int64(8), after.Next())
			if tc.want == coder.OK {
				must.True(t, o.Accepted(), must.Sprint(o.Err()))
				return
			}
			must.Eq(t, tc.want, o.Err().Code())
			must.Eq(t, s.Len(), after.Len())
		})
	}
}

// TestRacingOperatorsOneWins checks that if several changes expect the same version,
// only the first is accepted. Otherwise operators could overwrite each other's changes
// unnoticed.
func TestRacingOperatorsOneWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		accepted := 0
		for n := range rapid.IntRange(1, 20).Draw(t, "operators") {
			var o Outcome
			s, o = s.Apply(int64(n), newChange(newChangeItem(KindTeam, "billing", 0, billingTeam)))
			if o.Accepted() {
				accepted++
			}
		}
		must.Eq(t, 1, accepted)
		must.Eq(t, int64(1), s.Get(KindTeam, "billing").Version())
	})
}

func TestPlan(t *testing.T) {
	wanted, faults := ParseFile([]byte(`{"teams":[` + billingTeam + `],"batch-jobs":[` + invoiceJob + `]}`))
	must.Len(t, 0, faults)
	steps := Plan(nil, wanted, true)
	must.Len(t, 2, steps)
	s, o := NewState().Apply(3, ChangeOf("ana", steps))
	must.True(t, o.Accepted(), must.Sprint(o.Err()))
	must.Len(t, 0, Plan(s.Items(""), wanted, true))
	steps = Plan(s.Items(""), wanted[:1], true)
	must.Len(t, 1, steps)
	must.True(t, steps[0].Deletes())
	s, o = s.Apply(4, ChangeOf("ana", steps))
	must.True(t, o.Accepted(), must.Sprint(o.Err()))
	must.Eq(t, 1, s.Len())
}

func TestParseFileReportsEveryError(t *testing.T) {
	_, faults := ParseFile([]byte(`{
		"operators":[{"name":"sorica","currency":"euro","time-zone":"Mars/Base"}],
		"teams":[{"name":"Bad Name"},{"name":"a"},{"name":"a"}],
		"services":[{"name":"s","team":"a","size":{"processors":1},"latency-target":"0s","replicas":-1}],
		"batch-jobs":[{"name":"b","team":"a","size":{"processors":1,"memory":"1GiB"},"run-time":"1m","calendar":{"every":"fortnight","hour":24,"terms":[{"from":"x","until":"2026-01-01"}]}}],
		"prices":[{"data-centre":"maribor-1","resource":"air","from":"2026-13-01","hourly-millionths":-1}]}`))
	codes := map[string]coder.Code{}
	for _, f := range faults {
		codes[f.Path()] = f.Code()
	}
	must.Eq(t, map[string]coder.Code{
		"$.operators[0].currency":                coder.BadFormat,
		"$.operators[0].time-zone":               coder.BadFormat,
		"$.teams[0].name":                        coder.BadFormat,
		"$.teams[2].name":                        coder.Duplicate,
		"$.services[0].replicas":                 coder.OutOfRange,
		"$.services[0].size.memory":              coder.Missing,
		"$.services[0].latency-target":           coder.OutOfRange,
		"$.batch-jobs[0].calendar.every":         coder.BadFormat,
		"$.batch-jobs[0].calendar.hour":          coder.OutOfRange,
		"$.batch-jobs[0].calendar.terms[0].from": coder.BadFormat,
		"$.prices[0].resource":                   coder.BadFormat,
		"$.prices[0].from":                       coder.BadFormat,
		"$.prices[0].hourly-millionths":          coder.OutOfRange,
	}, codes)
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(`{"teams":[` + billingTeam + `],"batch-jobs":[` + invoiceJob + `]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		items, faults := ParseFile(data)
		if len(faults) > 0 {
			return
		}
		NewState().Apply(0, ChangeOf("ana", Plan(nil, items, false)))
	})
}
