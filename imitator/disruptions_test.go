package imitator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
)

// TestLimitOfTaskThatLasts checks the time by which a task has to run again whose run ends 20 s after
// the start.
func TestLimitOfTaskThatLasts(t *testing.T) {
	const end = 20 * clock.Second
	tests := map[string]struct {
		// disruptions have the times, in ms after the start, at which one begins and ends.
		disruptions [][2]clock.Millis
		want        clock.Millis
	}{
		"no disruption":               {want: end + 9000},
		"disruption long before":      {disruptions: [][2]clock.Millis{{1000, 21_900}}, want: end + 9000},
		"disruption in the calm time": {disruptions: [][2]clock.Millis{{1000, 22_500}}, want: 29_500},
		"disruption at the limit":     {disruptions: [][2]clock.Millis{{29_000, 29_100}}, want: 36_100},
		"disruption after the limit":  {disruptions: [][2]clock.Millis{{29_001, 30_000}}, want: end + 9000},
		"disruptions in series":       {disruptions: [][2]clock.Millis{{35_000, 35_000}, {28_000, 28_500}, {21_000, 23_000}}, want: 42_000},
		"calm time between two":       {disruptions: [][2]clock.Millis{{36_000, 36_000}, {28_000, 28_500}}, want: 35_500},
		"overlapping disruptions":     {disruptions: [][2]clock.Millis{{10_000, 40_000}, {15_000, 25_000}}, want: 47_000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var d imitator.Disruptions
				start := clock.System()
				for _, s := range tt.disruptions {
					go func() {
						time.Sleep(s[0].Duration())
						end := d.Begin()
						time.Sleep((s[1] - s[0]).Duration())
						end()
					}()
				}
				time.Sleep(time.Minute)
				must.Eq(t, tt.want, d.Limit(start+end)-start)
			})
		})
	}
}

// TestNoLimitDuringDisruption checks that nothing is demanded before a disruption has ended.
func TestNoLimitDuringDisruption(t *testing.T) {
	var d imitator.Disruptions
	d.Begin()
	must.Eq(t, clock.Never, d.Limit(clock.System()))
}
