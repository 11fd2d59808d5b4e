package timekeeper

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

func TestTimekeeper(t *testing.T) {
	tests := map[string]struct {
		// turns are the times between turns, rest is the time since the last one.
		turns        []clock.Millis
		rest         clock.Millis
		lost, recent clock.Millis
	}{
		"in time":                     {turns: []clock.Millis{100, 100, 90}, rest: 50},
		"one late turn":               {turns: []clock.Millis{100, 700, 100}, lost: 600, recent: 479},
		"late turns":                  {turns: []clock.Millis{300, 500}, lost: 600, recent: 400},
		"overdue":                     {turns: []clock.Millis{100}, rest: 2100, lost: 2000, recent: 2000},
		"the delay is soon forgotten": {turns: []clock.Millis{600, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100}, lost: 500, recent: 51},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := clock.NewManual(5000)
			k := New(100, c.Now)
			for _, d := range tt.turns {
				c.Advance(d)
				k.Turn()
			}
			c.Advance(tt.rest)
			must.Eq(t, tt.lost, k.Lost())
			must.Eq(t, tt.recent, k.Recent())
		})
	}
}
