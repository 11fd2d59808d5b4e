package pricer

import (
	"fmt"
	"math/big"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/schema"
)

func newState(t testing.TB, document string) *declarer.State {
	items, faults := declarer.ParseFile([]byte(document))
	must.Len(t, 0, faults)
	s, o := declarer.NewState().Apply(40, declarer.ChangeOf("ana", declarer.Plan(nil, items, false)))
	must.True(t, o.Accepted(), must.Sprint(o.Err()))
	return s
}

const declarations = `{
	"operators":[{"name":"sorica","currency":"EUR","time-zone":"Europe/Ljubljana"}],
	"data-centres":[{"name":"a","region":"r"},{"name":"b","region":"r"}],
	"prices":[
		{"data-centre":"a","resource":"processors","from":"2026-01-01","hourly-millionths":3123457},
		{"data-centre":"a","resource":"processors","from":"2026-03-16","hourly-millionths":3333333},
		{"data-centre":"a","resource":"memory","from":"2026-01-01","hourly-millionths":412345},
		{"data-centre":"a","resource":"accelerators","from":"2026-01-01","hourly-millionths":98765432},
		{"data-centre":"b","resource":"processors","from":"2026-01-01","hourly-millionths":2999999},
		{"data-centre":"b","resource":"memory","from":"2026-01-01","hourly-millionths":0}]}`

func parseMonth(t testing.TB, text, zone string) Month {
	z, err := time.LoadLocation(zone)
	must.NoError(t, err)
	m, err := ParseMonth(text, z)
	must.NoError(t, err)
	return m
}

func TestMonth(t *testing.T) {
	tests := map[string]struct {
		month, zone string
		start, end  string
		hours       int
		days        int
	}{
		"summer begins": {"2026-03", "Europe/Ljubljana", "2026-02-28T23:00:00Z", "2026-03-31T22:00:00Z", 743, 31},
		"summer ends":   {"2026-10", "Europe/Ljubljana", "2026-09-30T22:00:00Z", "2026-10-31T23:00:00Z", 745, 31},
		"leap year":     {"2028-02", "Europe/Ljubljana", "2028-01-31T23:00:00Z", "2028-02-29T23:00:00Z", 696, 29},
		"year's end":    {"2026-12", "America/Port_of_Spain", "2026-12-01T04:00:00Z", "2027-01-01T04:00:00Z", 744, 31},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m := parseMonth(t, tc.month, tc.zone)
			must.Eq(t, tc.start, m.Start().Time().Format(time.RFC3339))
			must.Eq(t, tc.end, m.End().Time().Format(time.RFC3339))
			must.Eq(t, tc.hours, int((m.End()-m.Start())/clock.Hour))
			must.Len(t, tc.days, m.Days())
			must.Eq(t, m, m.Next().Previous())
			must.Eq(t, m, MonthOf(m.End()-1, m.Zone()))
		})
	}
}

func drawAmounts(t *rapid.T) meter.Amounts {
	var a meter.Amounts
	for f := range a {
		a[f] = rapid.Int64Range(0, 1<<44).Draw(t, "amount")
	}
	return a
}

// TestLinesAddUp checks with random amounts that the lines, groups and parts of a bill add
// up to the total, and that the total equals the one computed with exact fractions and
// rounded once for each resource of a data centre.
func TestLinesAddUp(t *testing.T) {
	table := NewTable(newState(t, declarations))
	m := parseMonth(t, "2026-03", "Europe/Ljubljana")
	days := m.Days()
	rapid.Check(t, func(t *rapid.T) {
		b := NewBuilder(table, m)
		exact := map[string]*big.Rat{}
		for range rapid.IntRange(1, 40).Draw(t, "additions") {
			c := meter.NewCell(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc"), "team", fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "work")))
			at := rapid.SampledFrom(days).Draw(t, "day")
			a := drawAmounts(t)
			b.Add(at, c, a)
			for r := range Resources {
				p, _ := table.PriceAt(c.DataCentre(), r, at)
				n := new(big.Rat).SetFrac(big.NewInt(p.HourlyMillionths()), big.NewInt(1_000_000*r.UnitHour()))
				n.Mul(n, new(big.Rat).SetInt64(a[r]))
				k := c.DataCentre() + r.String()
				if exact[k] == nil {
					exact[k] = new(big.Rat)
				}
				exact[k].Add(exact[k], n)
			}
		}
		bill := b.Bill()
		total := int64(0)
		for _, e := range exact {
			total += roundRat(e)
		}
		must.Eq(t, total, bill.TotalMinor())
		for _, by := range []Grouping{ByTeam, ByWork, ByDataCentre, ByResource} {
			must.Eq(t, total, sum(bill.GroupMinor(by)))
		}
		parts := int64(0)
		for p := range Parts {
			parts += bill.PartMinor(p)
		}
		must.Eq(t, total, parts)
		for _, l := range bill.Lines() {
			must.Eq(t, l.CostMinor(), l.parts[Wasted]+l.parts[Used]+l.parts[Throttled]+l.parts[Idle])
		}
	})
}

func roundRat(r *big.Rat) int64 {
	n, _ := new(big.Float).SetPrec(400).Add(new(big.Float).SetPrec(400).SetRat(r), big.NewFloat(0.5)).Int64()
	return n
}

func sum(groups map[string]int64) int64 {
	total := int64(0)
	for _, n := range groups {
		total += n
	}
	return total
}

func TestApportion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := rapid.Int64Range(-1000, 1_000_000).Draw(t, "whole")
		var weights []*big.Int
		total := int64(0)
		for range rapid.IntRange(1, 9).Draw(t, "parts") {
			w := rapid.Int64Range(0, 50).Draw(t, "weight")
			total += w
			weights = append(weights, big.NewInt(w))
		}
		got := int64(0)
		for n, p := range Apportion(whole, weights) {
			got += p
			if total > 0 {
				off := p*total - whole*weights[n].Int64()
				must.True(t, off > -total && off < total)
			}
		}
		must.Eq(t, whole, got)
	})
}

func TestPriceChangesWithinAMonth(t *testing.T) {
	table := NewTable(newState(t, declarations))
	m := parseMonth(t, "2026-03", "Europe/Ljubljana")
	c := meter.NewCell("a", "team", "work")
	hour := meter.Amounts{meter.ReservedProcessors: Processors.UnitHour() * 1_000_000}
	tests := map[string]struct {
		at     string
		dc     string
		want   int64
		faults []coder.Code
	}{
		"before the change": {"2026-03-15T22:59:59Z", "a", 3123457, nil},
		"after the change":  {"2026-03-15T23:00:00Z", "a", 3333333, nil},
		"no price yet":      {"2025-12-31T00:00:00Z", "a", 0, []coder.Code{coder.PriceMissing}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			at, err := time.Parse(time.RFC3339, tc.at)
			must.NoError(t, err)
			b := NewBuilder(table, m)
			b.Add(clock.FromTime(at), c, hour)
			bill := b.Bill()
			must.Eq(t, tc.want, bill.TotalMinor())
			var codes []coder.Code
			for _, f := range bill.Faults() {
				codes = append(codes, f.Code())
			}
			must.Eq(t, tc.faults, codes)
			must.Eq(t, hour, bill.Amounts(c))
		})
	}
}

// TestUnusedCommitmentIsBilled checks that commitments are billed by the hour: use above
// the commitment in one hour doesn't offset use below it in another, and an hour without
// records costs the whole commitment.
func TestUnusedCommitmentIsBilled(t *testing.T) {
	s := newState(t, `{
		"operators":[{"name":"sorica","currency":"EUR","time-zone":"Europe/Ljubljana"}],
		"data-centres":[{"name":"a","region":"r"}],
		"prices":[{"data-centre":"a","resource":"processors","from":"2026-01-01","hourly-millionths":1000000,"committed":10}]}`)
	l := meter.NewLedger(NewTable(s).Zone())
	m := parseMonth(t, "2026-03", "Europe/Ljubljana")
	for n, cores := range []int64{4, 25, 0, 10} {
		l.Add(int64(n), &schema.Usage{Shard: "a/0", HourMillis: int64(m.Start()) + int64(n)*int64(clock.Hour), Lines: []*schema.UsageLine{
			{Team: "t", Work: "w", ReservedMillicoreMillis: cores * Processors.UnitHour()},
		}})
	}
	bill := Actual(l, NewTable(s), m)
	must.Eq(t, 10+25+10+10, bill.TotalMinor())
	must.Eq(t, map[string]int64{"w": 39, CommittedUnused: 16}, bill.GroupMinor(ByWork))
	must.Eq(t, 55, bill.PartMinor(Idle))
}

func TestSplitCost(t *testing.T) {
	c := meter.NewCell("a", "t", "w")
	a := meter.Amounts{meter.ReservedProcessors: 100, meter.WastedProcessors: 30, meter.UsedProcessors: 60, meter.ThrottledProcessors: 20}
	must.Eq(t, [Parts]int64{3, 6, 1, 0}, splitCost(10, c, Processors, a))
	a[meter.ThrottledProcessors] = 0
	must.Eq(t, [Parts]int64{3, 6, 0, 1}, splitCost(10, c, Processors, a))
	a[meter.WastedProcessors] = 500
	must.Eq(t, [Parts]int64{10, 0, 0, 0}, splitCost(10, c, Processors, a))
	must.Eq(t, [Parts]int64{0, 7, 0, 0}, splitCost(7, c, Accelerators, meter.Amounts{meter.ReservedAccelerators: 5}))
}
