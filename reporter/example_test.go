package reporter_test

import (
	"os"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/forecaster"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/reporter"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

const declarations = `{
	"operators":[{"name":"crossguard","currency":"TTD","time-zone":"America/Port_of_Spain"}],
	"data-centres":[{"name":"south-1","region":"south"}],
	"teams":[{"name":"technicians","quota":{},"budget":300000}],
	"services":[{"name":"checks","team":"technicians","replicas":2,"size":{"processors":4,"memory":"8GiB"},"latency-target":"200ms"}],
	"prices":[
		{"data-centre":"south-1","resource":"processors","from":"2026-01-01","hourly-millionths":50000000},
		{"data-centre":"south-1","resource":"memory","from":"2026-01-01","hourly-millionths":5000000}]}`

// The meter turns leases into hourly usage records, the ledger sums these up, and the
// forecaster derives the month's expected cost from the sums and the declarations.
func Example() {
	items, _ := declarer.ParseFile([]byte(declarations))
	state, _ := declarer.NewState().Apply(0, declarer.ChangeOf("ana", declarer.Plan(nil, items, false)))
	ledger := meter.NewLedger(pricer.NewTable(state).Zone())
	month, _ := pricer.ParseMonth("2026-03", ledger.Zone())
	now := month.Start() + 10*clock.Day

	m := meter.New("south-1/0")
	checks := meter.NewWorkload("technicians", "checks", sizer.New(4000, 8*sizer.GiB, 0), true)
	for offset, task := range []string{"checks/0", "checks/1"} {
		m.Apply(int64(offset), month.Start(), &schema.TaskEvent{
			Task: task, Incarnation: 1, State: schema.TaskState_TASK_STATE_STARTING, Reservation: checks.Reservation(),
		})
	}
	offset := int64(0)
	for u := m.Due(now); u != nil; u = m.Due(now) {
		ledger.Add(offset, u)
		m.ApplyUsage(u)
		offset++
	}

	forecast := forecaster.New(ledger, state, now).Forecast(month)
	reporter.ForecastTable(os.Stdout, forecast.Response(pricer.ByTeam, state))
	// Output:
	// 2026-03, in TTD
	//
	// team          to date       P10       P50       P90
	// technicians  1,147.20  2,965.20  3,571.20  4,177.20
	// total        1,147.20  2,965.20  3,571.20  4,177.20
	//
	// To date went for:
	//   wasted 0.00
	//   used 0.00
	//   throttled 0.00
	//   idle 1,147.20
	//
	// Budgets:
	//   GW5006: team technicians is on course to pass its budget of 3,000.00 TTD in 2026-03: 1,147.20 TTD to date, 3,571.20 TTD expected, 4,177.20 TTD at the upper end
	//
	// Left out, or taken for what is missing:
	//   GW5007: there is too little history to know how far forecasts are off
}
