package declarer

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

const (
	billing = `{"name":"billing","quota":{"processors":10,"memory":"10GiB"}}`
	invoice = `{"name":"invoice","team":"billing","size":{"processors":1,"memory":"1GiB"},"run-time":"10m"}`
)

func change(items ...*schema.ChangeItem) *schema.Change {
	return &schema.Change{Operator: "ana", Items: items}
}

func item(k Kind, name string, expected int64, document string) *schema.ChangeItem {
	return &schema.ChangeItem{Kind: string(k), Name: name, ExpectedVersion: expected, Delete: document == "", Document: []byte(document)}
}

func TestApply(t *testing.T) {
	team := item(KindTeam, "billing", 0, billing)
	tests := map[string]struct {
		before []*schema.Change
		change *schema.Change
		want   coder.Code
	}{
		"new":                 {change: change(team), want: coder.OK},
		"together":            {change: change(item(KindBatchJob, "invoice", 0, invoice), team), want: coder.OK},
		"unknown team":        {change: change(item(KindBatchJob, "invoice", 0, invoice)), want: coder.UnknownName},
		"raced":               {before: []*schema.Change{change(team)}, change: change(team), want: coder.StaleVersion},
		"expected":            {before: []*schema.Change{change(team)}, change: change(item(KindTeam, "billing", 1, billing)), want: coder.OK},
		"deleted":             {before: []*schema.Change{change(team)}, change: change(item(KindTeam, "billing", 1, "")), want: coder.OK},
		"deleted in use":      {before: []*schema.Change{change(team, item(KindBatchJob, "invoice", 0, invoice))}, change: change(item(KindTeam, "billing", 1, "")), want: coder.UnknownName},
		"deleted unknown":     {change: change(item(KindTeam, "billing", 0, "")), want: coder.NotFound},
		"twice":               {change: change(team, team), want: coder.Duplicate},
		"name differs":        {change: change(item(KindTeam, "other", 0, billing)), want: coder.BadFormat},
		"unknown kind":        {change: change(item("group", "billing", 0, billing)), want: coder.UnknownName},
		"malformed":           {change: change(item(KindTeam, "billing", 0, "{")), want: coder.Malformed},
		"drain of nothing":    {change: change(item(KindDrain, "data-centre.a", 0, `{"name":"data-centre.a"}`)), want: coder.UnknownName},
		"shards changed":      {before: []*schema.Change{change(item(KindDataCentre, "a", 0, `{"name":"a","region":"r"}`))}, change: change(item(KindDataCentre, "a", 1, `{"name":"a","region":"r","shards":2}`)), want: coder.InUse},
		"shards kept":         {before: []*schema.Change{change(item(KindDataCentre, "a", 0, `{"name":"a","region":"r"}`))}, change: change(item(KindDataCentre, "a", 1, `{"name":"a","region":"q","shards":1}`)), want: coder.OK},
		"too many shards":     {change: change(item(KindDataCentre, "a", 0, `{"name":"a","region":"r","shards":65}`)), want: coder.OutOfRange},
		"drain of a host":     {change: change(item(KindDrain, "host.w1", 0, `{"name":"host.w1"}`)), want: coder.OK},
		"one name, two kinds": {change: change(team, item(KindBatchJob, "invoice", 0, invoice), item(KindWatchJob, "invoice", 0, `{"name":"invoice","team":"billing","size":{"processors":1,"memory":"1GiB"},"period":"1m","tracks":"stock"}`)), want: coder.Duplicate},
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

// TestRacingOperatorsOneWins: of changes that expect the same version exactly
// one is in force, whatever their order and number.
func TestRacingOperatorsOneWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		accepted := 0
		for n := range rapid.IntRange(1, 20).Draw(t, "operators") {
			var o Outcome
			s, o = s.Apply(int64(n), change(item(KindTeam, "billing", 0, billing)))
			if o.Accepted() {
				accepted++
			}
		}
		must.Eq(t, 1, accepted)
		must.Eq(t, int64(1), s.Get(KindTeam, "billing").Version())
	})
}

func TestPlan(t *testing.T) {
	wanted, faults := ParseFile([]byte(`{"teams":[` + billing + `],"batch-jobs":[` + invoice + `]}`))
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

func TestParseFileGivesEveryFault(t *testing.T) {
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
	f.Add([]byte(`{"teams":[` + billing + `],"batch-jobs":[` + invoice + `]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		items, faults := ParseFile(data)
		if len(faults) > 0 {
			return
		}
		NewState().Apply(0, ChangeOf("ana", Plan(nil, items, false)))
	})
}
