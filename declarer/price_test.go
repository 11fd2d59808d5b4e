package declarer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

func priceFrom(from, rate string) string {
	return `{"data-centre":"a","resource":"memory","from":"` + from + `","hourly-millionths":` + rate + `}`
}

func TestPastPrices(t *testing.T) {
	s, o := NewState().Apply(0, change(
		item(KindOperator, "crossguard", 0, `{"name":"crossguard","currency":"TTD","time-zone":"America/Port_of_Spain"}`),
		item(KindDataCentre, "a", 0, `{"name":"a","region":"south"}`),
		item(KindPrice, "a.memory.2026-01-01", 0, priceFrom("2026-01-01", "5")),
		item(KindPrice, "a.memory.2026-09-01", 0, priceFrom("2026-09-01", "6"))))
	must.True(t, o.Accepted(), must.Sprint(o.Err()))
	// In Trinidad it is still the 10th of June.
	now := clock.FromTime(time.Date(2026, 6, 11, 3, 0, 0, 0, time.UTC))
	tests := map[string]struct {
		change *schema.Change
		want   coder.Code
	}{
		"from today":          {change(item(KindPrice, "a.memory.2026-06-10", 0, priceFrom("2026-06-10", "7"))), coder.OK},
		"from yesterday":      {change(item(KindPrice, "a.memory.2026-06-09", 0, priceFrom("2026-06-09", "7"))), coder.BadPrice},
		"before every other":  {change(item(KindPrice, "a.memory.2025-06-09", 0, priceFrom("2025-06-09", "7"))), coder.BadPrice},
		"in force, changed":   {change(item(KindPrice, "a.memory.2026-01-01", 1, priceFrom("2026-01-01", "7"))), coder.BadPrice},
		"in force, deleted":   {change(item(KindPrice, "a.memory.2026-01-01", 1, "")), coder.BadPrice},
		"to come, changed":    {change(item(KindPrice, "a.memory.2026-09-01", 1, priceFrom("2026-09-01", "7"))), coder.OK},
		"to come, deleted":    {change(item(KindPrice, "a.memory.2026-09-01", 1, "")), coder.OK},
		"first of a resource": {change(item(KindPrice, "a.processors.2026-01-01", 0, `{"data-centre":"a","resource":"processors","from":"2026-01-01"}`)), coder.OK},
		"something else":      {change(item(KindTeam, "billing", 0, billing)), coder.OK},
		"to come, at a fault": {change(item(KindPrice, "a.memory.2026-09-01", 1, "{")), coder.OK},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := PastPrices(s, tc.change, now)
			must.Eq(t, tc.want, coder.Of(got.Err()))
		})
	}
}
