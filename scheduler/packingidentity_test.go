package scheduler

import (
	"fmt"
	"hash/fnv"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestPlacementsAreAsBeforeWhileAllFindRoom guards against reservations and best fit that change
// anything for a deployment whose tasks all start within roomWait. The digest is that of the placements
// of the scheduler before it had either (c3f8857).
func TestPlacementsAreAsBeforeWhileAllFindRoom(t *testing.T) {
	const former = 7663526921756014765
	m := newMixFleet(t, 100, 400, 13_000)
	h := fnv.New64a()
	runTime := m.runTime
	m.runTime = func(o Order) clock.Millis {
		_, _ = fmt.Fprintln(h, o.Task, o.Worker, m.clock.Now())
		return runTime(o)
	}
	m.submitMix(t, 10*clock.Second, 120, 8)
	must.Less(t, roomWait, m.waitAt('l', 1))
	must.Eq(t, uint64(former), h.Sum64())
}
