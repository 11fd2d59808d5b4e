package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestPolicyIsAskedOnceForStepThatWaitsInParts guards against a consultation for each wait period of the tasks of
// a step, which ask the same and leave no place in the queue for other steps.
func TestPolicyIsAskedOnceForStepThatWaitsInParts(t *testing.T) {
	b := newHarness(30)
	q := Queue{Name: "q", Service: testService, MaxAttempts: 2, Slack: 2, Advice: &Advice{Base: 300, PerWorker: 2, Validity: clock.Minute}}
	for _, id := range []string{"a", "b"} {
		must.NoError(t, b.Submit(Spec{ID: id, Queue: q, Steps: []Step{{Count: 20, CPU: 100, Memory: 100, LongRunning: true}}}, func(error) {}))
	}
	b.jobs["a"].eachTask(func(o *task) { o.waitingSince = b.clock.Now() - clock.Millis(20-o.index)*clock.Second })
	must.SliceEmpty(t, b.placeAndStore())
	var steps []string
	for c, ok := b.NextConsultation(); ok; c, ok = b.NextConsultation() {
		steps = append(steps, c.Step)
	}
	must.Eq(t, []string{"a.0.0", "b.0.0"}, steps)
}
