package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestFailingLastingTaskQuarantinesFewWorkers guards against a task that lasts and fails wherever it
// runs, and that has one worker after the other quarantined, so that others wait.
func TestFailingLastingTaskQuarantinesFewWorkers(t *testing.T) {
	for name, workers := range map[string]int{"one worker": 1, "few workers": 3, "more workers": 12} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(workers)
			b.submit(t, "broken", Step{Count: 1, CPU: 100, LongRunning: true})
			ends, most := int64(0), 0
			for range 300 {
				b.clock.Advance(100)
				for _, o := range b.start() {
					ends++
					b.report(o.Worker, nil, endedRun(ends, o, EndFailed))
				}
				n := 0
				for _, w := range b.workers {
					if b.unavailability(w, b.clock.Now()) == quarantined {
						n++
					}
				}
				most = max(most, n)
			}
			must.LessEq(t, 1, most, must.Sprint("workers are quarantined because of one task"))
		})
	}
}

// TestHealthyLastingTaskStartsBesideFailingOne guards against a task that lasts and waits while another,
// which fails wherever it runs, keeps the workers quarantined.
func TestHealthyLastingTaskStartsBesideFailingOne(t *testing.T) {
	for name, workers := range map[string]int{"one worker": 1, "few workers": 3, "more workers": 12} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(workers)
			b.submit(t, "a-broken", Step{Count: 1, CPU: 100, LongRunning: true})
			var ends int64
			fail := func() bool {
				b.clock.Advance(100)
				for _, o := range b.start() {
					if o.Task.Job != "a-broken" {
						return true
					}
					ends++
					b.report(o.Worker, nil, endedRun(ends, o, EndFailed))
				}
				return false
			}
			for range 300 {
				fail()
			}
			b.submit(t, "b-healthy", Step{Count: 1, CPU: 100, LongRunning: true})
			at := b.clock.Now()
			for b.clock.Now()-at <= clock.Minute && !fail() {
			}
			must.LessEq(t, maxTimeWithoutRun, b.clock.Now()-at)
		})
	}
}

// TestFailingLastingTaskIsTriedAtBoundedRate guards against a task that lasts and fails at once, and whose
// starts take the leader's time, and against a delay that outlasts the fault.
func TestFailingLastingTaskIsTriedAtBoundedRate(t *testing.T) {
	const failing = 5 * clock.Minute
	b := newHarness(4)
	b.submit(t, "job", Step{Count: 1, CPU: 100, LongRunning: true})
	var ends int64
	at := b.clock.Now()
	for b.clock.Now()-at < failing {
		b.clock.Advance(100)
		for _, o := range b.start() {
			ends++
			b.report(o.Worker, nil, endedRun(ends, o, EndFailed))
		}
	}
	must.LessEq(t, int64(failing/(2*clock.Second))+10, ends)
	_, waited, _ := b.untilStarted(t, clock.Minute, func(Order) Outcome { return Done })
	must.LessEq(t, maxTimeWithoutRun, waited)
}

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

// TestLastingTaskLeavesWorkersWhereItFails guards against a task that lasts and goes round among empty
// workers on which its runs fail or stall, while others have room.
func TestLastingTaskLeavesWorkersWhereItFails(t *testing.T) {
	tests := map[string]struct {
		bad    int
		stalls bool
		limit  clock.Millis
	}{
		"fails on two":    {bad: 2, limit: maxLastingGap},
		"fails on four":   {bad: 4, limit: maxLastingGap},
		"fails on six":    {bad: 6, limit: maxLastingGap},
		"stalls on two":   {bad: 2, stalls: true, limit: maxLastingGap},
		"stalls on three": {bad: 3, stalls: true, limit: maxLastingGap},
		// The time that a run gets to make progress doubles with each stall.
		"stalls on four": {bad: 4, stalls: true, limit: 2 * maxLastingGap},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(tc.bad + 2)
			b.submit(t, "other", Step{Count: 2, CPU: 4000, PerWorker: 1, LongRunning: true})
			good := map[string]bool{}
			for _, o := range b.start() {
				good[o.Worker] = true
			}
			b.submit(t, "job", Step{Count: 1, CPU: 100, LongRunning: true})
			task, ends := b.findTask("job.0.0.0"), int64(0)
			at := b.clock.Now()
			for b.clock.Now()-at <= clock.Minute && (task.worker == nil || !good[task.worker.info.ID]) {
				b.clock.Advance(100)
				for _, w := range b.sortedWorkers() {
					b.Lease(w.info.ID, w.info.Born)
					active := runsOf(w)
					if good[w.info.ID] || len(active) == 0 {
						b.report(w.info.ID, active)
						continue
					}
					if tc.stalls {
						active[0].Percent = 10
						b.report(w.info.ID, active)
						continue
					}
					ends++
					b.report(w.info.ID, nil, EndedRun{Number: ends, Task: active[0].Task, Attempt: active[0].Attempt, How: EndFailed})
				}
				b.answerOrders(t, append(b.TakeImmediateOrders(), b.placeAndStore()...))
				b.Sweep()
			}
			must.LessEq(t, tc.limit, b.clock.Now()-at)
		})
	}
}
