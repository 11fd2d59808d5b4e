package runner

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/scheduler"
)

// TestRepeatedReadKeepsWaveTime guards against a time limit that begins anew when the operator's records are read again.
func TestRepeatedReadKeepsWaveTime(t *testing.T) {
	s := waveTimes{}
	read := func(now clock.Millis, ids ...string) []clock.Millis {
		ws := make([]scheduler.Wave, len(ids))
		for i, id := range ids {
			ws[i].ID = id
		}
		s.stamp(ws, now)
		seen := make([]clock.Millis, len(ws))
		for i := range ws {
			seen[i] = ws[i].SeenAt
		}
		return seen
	}
	must.Eq(t, []clock.Millis{1000}, read(1000, "1"))
	must.Eq(t, []clock.Millis{1000, 5000}, read(5000, "1", "2"))
	must.Eq(t, []clock.Millis{5000}, read(6000, "2"))
	must.Eq(t, []clock.Millis{7000, 5000}, read(7000, "1", "2"), must.Sprint("a wave that was withdrawn and requested again"))
}
