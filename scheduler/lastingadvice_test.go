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

// TestRestartGetsTicketForReservedWorker guards against a long-running task whose policy is not asked
// about the workers with room, because these are reserved for the task itself.
func TestRestartGetsTicketForReservedWorker(t *testing.T) {
	const validity = clock.Minute
	b := newHarness(1)
	q := Queue{Name: "q", Service: testService, MaxAttempts: 2, Slack: 2, Advice: &Advice{Base: 300, PerWorker: 2, Validity: validity}}
	must.NoError(t, b.Submit(Spec{ID: "job", Queue: q, Steps: []Step{{Count: 2, CPU: 4000, Memory: 100, LongRunning: true}}}, func(error) {}))
	must.SliceEmpty(t, b.placeAndStore())
	give := func(c Consultation) {
		v := verdictFor(c, c.Workers...)
		v.Validity = validity
		b.ApplyVerdict(v)
	}
	give(b.nextConsultation(t))
	os := b.placeAndStore()
	must.Len(t, 2, os)
	for _, o := range os {
		b.OrderAnswered(o, Done)
	}
	b.UpdateWorker(testWorker(1))
	b.UpdateWorker(testWorker(2))
	gone := testWorker(0)
	gone.Draining = true
	b.UpdateWorker(gone)
	b.report("w0", nil, endedRun(1, os[0], EndStopped), endedRun(2, os[1], EndStopped))
	started := 0
	for range 30 {
		b.clock.Advance(200)
		for _, o := range b.placeAndStore() {
			b.OrderAnswered(o, Done)
			started++
		}
		if c, ok := b.NextConsultation(); ok {
			give(c)
		}
	}
	must.Eq(t, 2, started, must.Sprint("within 6 s"))
}
