package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestLastingTaskStartsBesideLongProbe guards against a task that lasts and waits for the end of the
// single run that a worker gets after its quarantine.
func TestLastingTaskStartsBesideLongProbe(t *testing.T) {
	b := newHarness(1)
	b.workers["w0"].failures, b.workers["w0"].failedAt = quarantineScore, b.clock.Now()
	b.clock.Advance(quarantineTime)
	b.submit(t, "probe", Step{Count: 1, CPU: 100, Estimate: clock.Minute})
	probe := b.start()
	must.SliceLen(t, 1, probe)
	b.submit(t, "job", Step{Count: 1, CPU: 100, LongRunning: true})
	percent := 0
	at := b.clock.Now()
	for b.clock.Now()-at <= clock.Minute {
		b.clock.Advance(500)
		percent++
		b.Lease("w0", 1)
		b.report("w0", []ActiveRun{{Task: probe[0].Task.String(), Attempt: probe[0].Attempt, Percent: percent}})
		if len(b.start()) > 0 {
			break
		}
		b.Sweep()
	}
	must.LessEq(t, maxLastingGap, b.clock.Now()-at)
}
