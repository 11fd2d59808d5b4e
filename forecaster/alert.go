package forecaster

import (
	"fmt"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
)

// Alerts returns a fault for each team whose cost at the upper end of the band (P90) is
// above its budget. Teams without a budget are left out.
func (f *Forecast) Alerts(s *declarer.State) []meter.Fault {
	var alerts []meter.Fault
	for _, l := range f.Lines(pricer.ByTeam) {
		t, declared := s.Team(l.name)
		if !declared || t.Budget == 0 || l.p90 <= t.Budget {
			continue
		}
		how := "may pass"
		if l.p50 > t.Budget {
			how = "is on course to pass"
		}
		if l.toDate > t.Budget {
			how = "has passed"
		}
		text := fmt.Sprintf("team %s %s its budget of %s in %s: %s to date, %s expected, %s at the upper end",
			l.name, how, f.formatMoney(t.Budget), f.month, f.formatMoney(l.toDate), f.formatMoney(l.p50), f.formatMoney(l.p90))
		alerts = append(alerts, meter.NewFault(coder.OverBudget, -1, text))
	}
	return alerts
}

func (f *Forecast) formatMoney(minor int64) string {
	return pricer.Grouped(minor, f.expected.Currency()) + " " + f.expected.Currency()
}
