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
		text := fmt.Sprintf("team %s %s its budget of %d in %s: %d to date, %d expected, %d at the upper end", l.name, how, t.Budget, f.month, l.toDate, l.p50, l.p90)
		alerts = append(alerts, meter.NewFault(coder.OverBudget, -1, text))
	}
	return alerts
}
