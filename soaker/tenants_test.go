package soaker

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/scheduler"
)

func testTenants() *tenants {
	k := &Soak{log: imitator.NewKeyedLog(storeLatency, nil)}
	k.pool = imitator.NewPool(1, 1, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 1, scheduler.EndDone }, nil)
	return newTenants(k)
}

// tasks returns n running tasks of each of the given jobs.
func tasks(n int, jobs ...string) (all []scheduler.TaskName) {
	for _, j := range jobs {
		for i := range n {
			all = append(all, scheduler.TaskName{Job: j, Index: i})
		}
	}
	return all
}

func violationCount(s *tenants) (n int) {
	for _, vs := range s.violations {
		n += len(vs)
	}
	return n
}

// TestCapCheck guards against a check of caps that counts other jobs, or that reports what may be running
// by a cap that was in force until recently.
func TestCapCheck(t *testing.T) {
	tests := map[string]struct {
		// lowered is how long ago the cap of tenant 0 was lowered from 3000 to 2000, -1 if it was not.
		lowered clock.Millis
		running []scheduler.TaskName
		over    int
	}{
		"nothing":                  {lowered: -1},
		"at the cap":               {lowered: -1, running: tasks(3, tenantJob(0, 1))},
		"a task beyond the cap":    {lowered: -1, running: tasks(2, tenantJob(0, 1), tenantJob(0, 2))},
		"beyond what is tolerated": {lowered: -1, running: tasks(5, tenantJob(0, 1)), over: 1},
		"two tenants":              {lowered: -1, running: tasks(4, tenantJob(0, 1), tenantJob(1, 1))},
		"both beyond":              {lowered: -1, running: tasks(8, tenantJob(0, 1), tenantJob(1, 1)), over: 2},
		"other jobs":               {lowered: -1, running: tasks(30, "00000000000000ab", deadlyID(1))},
		"just lowered":             {running: tasks(4, tenantJob(0, 1))},
		"lowered, runs may last":   {lowered: configApply + capWindow - 1, running: tasks(4, tenantJob(0, 1))},
		"lowered long ago":         {lowered: configApply + capWindow, running: tasks(4, tenantJob(0, 1)), over: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := testTenants()
				time.Sleep(time.Minute)
				if tt.lowered >= 0 {
					s.config.change(0, func(c *configTenant) { c.Cap.CPU = 2000 })
					time.Sleep(tt.lowered.Duration())
				}
				s.checkCaps(tt.running)
				must.Eq(t, tt.over, s.counts.OverCap)
				must.Eq(t, tt.over, violationCount(s))
			})
		})
	}
}

// TestKeyCheck checks which answers to a call are violations, after a key was withdrawn or returned.
func TestKeyCheck(t *testing.T) {
	const unauthorized, refused = http.StatusUnauthorized, http.StatusServiceUnavailable
	tests := map[string]struct {
		// withdrawn is when the key was withdrawn, returned when it was returned, sent when the
		// call was sent, disturbed when a fault ended, in ms after the start; 0 for never.
		withdrawn, returned, sent, disturbed clock.Millis
		status                               int
		violations                           int
	}{
		"in force":                           {sent: 20_000, status: http.StatusOK},
		"in force, refused":                  {sent: 20_000, status: unauthorized, violations: 1},
		"in force, refused amid a fault":     {sent: 20_000, disturbed: 20_000, status: unauthorized, violations: 1},
		"in force, refused for load":         {sent: 20_000, status: refused},
		"just withdrawn":                     {withdrawn: 20_000, sent: 22_999, status: http.StatusOK},
		"withdrawn":                          {withdrawn: 20_000, sent: 23_000, status: http.StatusOK, violations: 1},
		"withdrawn, job unknown":             {withdrawn: 20_000, sent: 23_000, status: http.StatusGone, violations: 1},
		"withdrawn, refused":                 {withdrawn: 20_000, sent: 23_000, status: unauthorized},
		"withdrawn, refused at once":         {withdrawn: 20_000, sent: 20_001, status: unauthorized},
		"withdrawn, a fault at the time":     {withdrawn: 20_000, disturbed: 21_000, sent: 23_000, status: http.StatusOK},
		"withdrawn, a fault soon before":     {withdrawn: 20_000, disturbed: 16_500, sent: 23_000, status: http.StatusOK},
		"withdrawn, a fault long before":     {withdrawn: 20_000, disturbed: 15_500, sent: 23_000, status: http.StatusOK, violations: 1},
		"just returned":                      {withdrawn: 10_000, returned: 20_000, sent: 22_999, status: unauthorized},
		"just returned, accepted":            {withdrawn: 10_000, returned: 20_000, sent: 20_001, status: http.StatusOK},
		"returned":                           {withdrawn: 10_000, returned: 20_000, sent: 23_000, status: unauthorized, violations: 1},
		"returned, accepted":                 {withdrawn: 10_000, returned: 20_000, sent: 23_000, status: http.StatusOK},
		"withdrawn and returned just before": {withdrawn: 19_000, returned: 20_000, sent: 21_000, status: unauthorized},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, start := testTenants(), clock.System()
				key := tenantKey(0, changingKey)
				for at := clock.Millis(0); at <= tt.sent; at++ {
					if at > 0 && (at == tt.withdrawn || at == tt.returned) {
						s.config.change(0, func(c *configTenant) { s.setKey(c, 0, at == tt.returned) })
					}
					if at > 0 && at == tt.disturbed {
						s.k.disruptions.Begin()()
					}
					time.Sleep(time.Millisecond)
				}
				s.judge(http.MethodGet, 0, key, "a", tt.status, start+tt.sent)
				must.Eq(t, tt.violations, violationCount(s))
			})
		})
	}
}
