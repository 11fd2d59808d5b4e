package forecaster

import (
	"fmt"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
)

// Alerts names every team whose expected cost is over its budget, and every
// team for which that is more likely than one in ten.
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
			l.name, how, f.money(t.Budget), f.month, f.money(l.toDate), f.money(l.p50), f.money(l.p90))
		alerts = append(alerts, meter.NewFault(coder.OverBudget, -1, text))
	}
	return alerts
}

func (f *Forecast) money(minor int64) string {
	return pricer.Grouped(minor, f.expected.Currency()) + " " + f.expected.Currency()
}
