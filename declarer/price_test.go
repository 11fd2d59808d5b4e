package declarer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

func priceDocument(from, rate string) string {
	return `{"data-centre":"a","resource":"memory","from":"` + from + `","hourly-millionths":` + rate + `}`
}

func TestPastPrices(t *testing.T) {
	s, o := NewState().Apply(0, newChange(
		newChangeItem(KindOperator, "crossguard", 0, `{"name":"crossguard","currency":"TTD","time-zone":"America/Port_of_Spain"}`),
		newChangeItem(KindDataCentre, "a", 0, `{"name":"a","region":"south"}`),
		newChangeItem(KindPrice, "a.memory.2026-01-01", 0, priceDocument("2026-01-01", "5")),
		newChangeItem(KindPrice, "a.memory.2026-09-01", 0, priceDocument("2026-09-01", "6"))))
	must.True(t, o.Accepted(), must.Sprint(o.Err()))
	// Today is the 10th of June in the operator's time zone, though the 11th in UTC.
	now := clock.FromTime(time.Date(2026, 6, 11, 3, 0, 0, 0, time.UTC))
	tests := map[string]struct {
		change *schema.Change
		want   coder.Code
	}{
		"from today":          {newChange(newChangeItem(KindPrice, "a.memory.2026-06-10", 0, priceDocument("2026-06-10", "7"))), coder.OK},
		"from yesterday":      {newChange(newChangeItem(KindPrice, "a.memory.2026-06-09", 0, priceDocument("2026-06-09", "7"))), coder.BadPrice},
		"before every other":  {newChange(newChangeItem(KindPrice, "a.memory.2025-06-09", 0, priceDocument("2025-06-09", "7"))), coder.BadPrice},
		"in force, changed":   {newChange(newChangeItem(KindPrice, "a.memory.2026-01-01", 1, priceDocument("2026-01-01", "7"))), coder.BadPrice},
		"in force, deleted":   {newChange(newChangeItem(KindPrice, "a.memory.2026-01-01", 1, "")), coder.BadPrice},
		"future, changed":     {newChange(newChangeItem(KindPrice, "a.memory.2026-09-01", 1, priceDocument("2026-09-01", "7"))), coder.OK},
		"future, deleted":     {newChange(newChangeItem(KindPrice, "a.memory.2026-09-01", 1, "")), coder.OK},
		"first of a resource": {newChange(newChangeItem(KindPrice, "a.processors.2026-01-01", 0, `{"data-centre":"a","resource":"processors","from":"2026-01-01"}`)), coder.OK},
		"not a price":         {newChange(newChangeItem(KindTeam, "billing", 0, billingTeam)), coder.OK},
		"future, invalid":     {newChange(newChangeItem(KindPrice, "a.memory.2026-09-01", 1, "{")), coder.OK},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := CheckPastPrices(s, tc.change, now)
			must.Eq(t, tc.want, coder.Of(got.Err()))
		})
	}
}
