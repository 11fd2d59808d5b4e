package runner

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestLeavingEndsWithinGrace guards against a process that is killed because it resigned slowly, as
// while the store does not answer, and did not count that time.
func TestLeavingEndsWithinGrace(t *testing.T) {
	const grace = 6 * clock.Second
	tests := map[string]struct{ resigned, drain, shutdown clock.Millis }{
		"resigned at once":               {resigned: 0, drain: drainDelay, shutdown: grace - drainDelay - exitReserve},
		"store is slow":                  {resigned: 700, drain: drainDelay - 700, shutdown: grace - drainDelay - exitReserve},
		"resigning takes all the drain":  {resigned: 3000, drain: 0, shutdown: grace - 3000 - exitReserve},
		"resigning takes the whole time": {resigned: 7000, drain: 0, shutdown: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			drain := drainTime(tc.resigned)
			must.Eq(t, tc.drain, drain)
			must.Eq(t, tc.shutdown, shutdownTime(grace, tc.resigned+drain))
		})
	}
}
