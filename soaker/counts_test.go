package soaker

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
)

// TestFloors checks that a soak test that tested nothing does not pass.
func TestFloors(t *testing.T) {
	fine := Counts{Accepted: 90, CalmAccepted: 8, Completed: 90, Workers: imitator.PoolCounts{Starts: 180, AckedEnds: 16, Restarts: 1}, LateOrders: 1, Killed: 1, Faults: 6, Gaps: 7}
	tests := map[string]struct {
		duration clock.Millis
		change   func(*Counts)
		want     []string
	}{
		"fine":                  {duration: 10 * clock.Second, change: func(*Counts) {}},
		"short, without faults": {duration: clock.Second, change: func(c *Counts) { c.Workers.Restarts, c.LateOrders, c.Killed, c.Faults = 0, 0, 0, 0 }},
		"dead daemons": {duration: clock.Second, change: func(c *Counts) { *c = Counts{} }, want: []string{
			"below the floor: jobs accepted before the faults: 0, at least 8 expected", "below the floor: jobs completed: 0, at least 8 expected",
			"below the floor: runs started: 0, at least 16 expected", "below the floor: ends acknowledged: 0, at least 16 expected",
			"below the floor: times that tasks which last were without a run: 0, at least 7 expected",
		}},
		"completed without runs":          {duration: clock.Second, change: func(c *Counts) { c.Workers.Starts = 179 }, want: []string{"below the floor: runs started: 179, at least 180 expected"}},
		"nothing acknowledged":            {duration: clock.Second, change: func(c *Counts) { c.Workers.AckedEnds = 0 }, want: []string{"below the floor: ends acknowledged: 0, at least 16 expected"}},
		"no restarts":                     {duration: 10 * clock.Second, change: func(c *Counts) { c.Workers.Restarts = 0 }, want: []string{"below the floor: worker restarts: 0, at least 1 expected"}},
		"no late orders":                  {duration: 10 * clock.Second, change: func(c *Counts) { c.LateOrders = 0 }, want: []string{"below the floor: late orders: 0, at least 1 expected"}},
		"no daemons killed":               {duration: 20 * clock.Second, change: func(c *Counts) { c.Faults, c.Workers.Restarts = 12, 2 }, want: []string{"below the floor: daemons killed: 1, at least 2 expected"}},
		"no task that lasts lost its run": {duration: clock.Second, change: func(c *Counts) { c.Gaps = 6 }, want: []string{"below the floor: times that tasks which last were without a run: 6, at least 7 expected"}},
		"tenants without effect": {duration: clock.Second, change: func(c *Counts) { c.Tenants = &TenantCounts{} }, want: []string{
			"below the floor: jobs of tenants accepted: 0, at least 2 expected", "below the floor: key changes: 0, at least 2 expected",
			"below the floor: calls with an unknown key refused: 0, at least 2 expected", "below the floor: calls with a withdrawn key refused: 0, at least 2 expected",
			"below the floor: calls with a key in force accepted: 0, at least 2 expected", "below the floor: most held by a tenant: 0, at least 3000 expected",
		}},
		"few faults": {duration: 10 * clock.Second, change: func(c *Counts) { c.Faults = 5 }, want: []string{"below the floor: faults injected: 5, at least 6 expected"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := fine
			tc.change(&c)
			must.Eq(t, tc.want, c.belowFloors(Settings{CalmDuration: 3 * clock.Second, FaultDuration: tc.duration}))
		})
	}
}
