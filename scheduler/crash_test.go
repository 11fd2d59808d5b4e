package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// otherWorker makes another process answer at the address of a worker, which has so been restarted
// under another ID.
func (b *harness) otherWorker(id string) {
	b.WorkerReplaced(id, testWorker(0).Address, 1, 0)
}

// start starts the pending tasks and confirms their runs.
func (b *harness) start() []Order {
	os := b.placeAndStore()
	for _, o := range os {
		b.OrderAnswered(o, Done)
	}
	return os
}

// settleRuns passes a report with the runs of a worker, some time after their start.
func (b *harness) settleRuns(worker string, orders ...Order) {
	b.clock.Advance(proofTime)
	b.report(worker, activeRuns(orders...))
}

func (b *harness) suspicionOf(task string) (crashes, suspicion int) {
	t := b.findTask(task)
	return t.crashes, t.suspicion
}

// TestCrashIsToldFromSilence guards against taking silence, a planned end or a start that was refused
// for a crash.
func TestCrashIsToldFromSilence(t *testing.T) {
	lapse := func(b *harness) {
		b.CallFailed("w0", 1, false)
		b.clock.Advance(2 * defaultLease)
		b.Sweep()
	}
	tests := map[string]struct {
		// lose makes the worker of the run o unusable.
		lose               func(b *harness, o Order)
		crashes, suspicion int
	}{
		"another worker at its address": {lose: func(b *harness, _ Order) { b.otherWorker("w0") }, crashes: 1, suspicion: soleWeight},
		"restarted under its ID": {lose: func(b *harness, _ Order) {
			w := testWorker(0)
			w.Born = 2
			b.UpdateWorker(w)
		}, crashes: 1, suspicion: soleWeight},
		"restarted under its ID, as its answer shows": {lose: func(b *harness, _ Order) {
			b.WorkerReplaced("w0", testWorker(0).Address, 1, 2)
		}, crashes: 1, suspicion: soleWeight},
		"connection refused": {lose: func(b *harness, _ Order) { b.CallFailed("w0", 1, true) }},
		"lease over, registered": {lose: func(b *harness, _ Order) {
			lapse(b)
		}},
		"lease over, not registered": {lose: func(b *harness, _ Order) {
			b.RemoveWorker("w0")
			lapse(b)
		}, suspicion: weakWeight},
		"lease over, had settled": {lose: func(b *harness, o Order) {
			b.settleRuns("w0", o)
			b.RemoveWorker("w0")
			lapse(b)
		}},
		"drained": {lose: func(b *harness, _ Order) {
			w := testWorker(0)
			w.Draining = true
			b.UpdateWorker(w)
			b.otherWorker("w0")
		}},
		"settled before": {lose: func(b *harness, o Order) {
			b.settleRuns("w0", o)
			b.otherWorker("w0")
		}, crashes: 1},
		"listed before it could settle": {lose: func(b *harness, o Order) {
			b.report("w0", activeRuns(o))
			b.otherWorker("w0")
		}, crashes: 1, suspicion: soleWeight},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			b.submit(t, "job", Step{Count: 1, CPU: 100})
			o := b.start()[0]
			tc.lose(b, o)
			crashes, suspicion := b.suspicionOf(o.Task.String())
			must.Eq(t, tc.crashes, crashes)
			must.Eq(t, tc.suspicion, suspicion)
		})
	}
}

// TestRefusedStartIsNoSuspect guards against suspecting a task whose start the next process of its
// worker has refused.
func TestRefusedStartIsNoSuspect(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.placeAndStore()[0]
	b.OrderAnswered(o, WorkerRestarted)
	b.otherWorker("w0")
	crashes, suspicion := b.suspicionOf(o.Task.String())
	must.Eq(t, 0, crashes)
	must.Eq(t, 0, suspicion)
}

// TestLateStartThatCrashesCounts guards against forgetting a run that was given up and whose start is
// carried out afterwards.
func TestLateStartThatCrashesCounts(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.placeAndStore()[0]
	b.OrderAnswered(o, Unclear)
	b.CallFailed("w0", 1, false)
	b.clock.Advance(2 * defaultLease)
	b.Sweep()
	b.otherWorker("w0")
	crashes, suspicion := b.suspicionOf(o.Task.String())
	must.Eq(t, 1, crashes)
	must.Eq(t, weakWeight, suspicion)
}

// TestCrashEvidence checks what a crash says of a task.
func TestCrashEvidence(t *testing.T) {
	const now = clock.Minute
	suspect := sharedWeight
	tests := map[string]struct {
		task      task
		onTrial   bool
		beside    bool
		reserved  bool
		unsettled int
		common    bool
		want      evidence
	}{
		"the only one that had not settled":   {task: task{state: running}, unsettled: 1, want: evidence{true, soleWeight, "sole"}},
		"one of several":                      {task: task{state: running}, unsettled: 2, want: evidence{true, sharedWeight, "shared"}},
		"settled lately":                      {task: task{state: running, settled: true, confirmedAt: now - lateCrashTime + 1}, unsettled: 1, want: evidence{true, 0, "settled"}},
		"settled long ago":                    {task: task{state: running, settled: true, confirmedAt: now - lateCrashTime}, unsettled: 1, want: evidence{false, 0, "settled"}},
		"others lost":                         {task: task{state: running}, unsettled: 1, common: true, want: evidence{true, weakWeight, "others-lost"}},
		"others lost, settled":                {task: task{state: running, settled: true, confirmedAt: now - proofTime}, common: true, want: evidence{kind: "settled"}},
		"unconfirmed":                         {task: task{state: placed, placedAt: now - minRestartTime}, unsettled: 1, want: evidence{true, weakWeight, "unconfirmed"}},
		"unconfirmed, others lost":            {task: task{state: placed}, unsettled: 1, common: true, want: evidence{false, weakWeight, "unconfirmed"}},
		"placed after the crash":              {task: task{state: placed, placedAt: now - minRestartTime + 1}, unsettled: 1, want: evidence{}},
		"placed by a former leader":           {task: task{state: placed, inherited: true, placedAt: now}, unsettled: 1, want: evidence{true, weakWeight, "inherited"}},
		"former leader, others lost":          {task: task{state: placed, inherited: true}, unsettled: 1, common: true, want: evidence{false, weakWeight, "inherited"}},
		"former leader, others lost, known":   {task: task{state: placed, inherited: true, suspicion: 1}, unsettled: 1, common: true, want: evidence{true, weakWeight, "inherited"}},
		"on trial":                            {task: task{state: running, suspicion: suspect, placedAt: now - promptCrashTime}, onTrial: true, unsettled: 1, want: evidence{true, soleWeight, "on-trial"}},
		"on trial, not at once":               {task: task{state: running, suspicion: suspect, placedAt: now - promptCrashTime - 1}, onTrial: true, unsettled: 1, want: evidence{true, sharedWeight, "on-trial-in-doubt"}},
		"on trial, others lost":               {task: task{state: running, suspicion: suspect}, onTrial: true, unsettled: 1, common: true, want: evidence{true, weakWeight, "others-lost"}},
		"on trial, unconfirmed":               {task: task{state: placed, suspicion: suspect}, onTrial: true, unsettled: 1, want: evidence{true, weakWeight, "unconfirmed"}},
		"on trial, placed after the crash":    {task: task{state: placed, suspicion: suspect, placedAt: now}, onTrial: true, want: evidence{}},
		"on trial, placed by a former leader": {task: task{state: placed, suspicion: suspect, inherited: true}, onTrial: true, unsettled: 1, want: evidence{true, sharedWeight, "inherited"}},
		"beside a trial":                      {task: task{state: placed, inherited: true}, beside: true, unsettled: 2, want: evidence{kind: "beside-a-trial"}},
		"beside a worker's reservation":       {task: task{state: running}, reserved: true, unsettled: 1, want: evidence{true, soleWeight, "sole"}},
		"left over from the process before":   {task: task{unresolvedSince: 1, state: placed}, want: evidence{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := &worker{}
			tc.task.worker = w
			if tc.onTrial {
				w.trial = &tc.task
			}
			if tc.reserved {
				job := &job{spec: Spec{Steps: []Step{{Count: 1}}}}
				w.trial = &task{suspicion: suspect, trialWorker: w, occurrence: &occurrence{job: job}}
			}
			if tc.beside {
				w.trial = &task{suspicion: suspect, worker: w}
			}
			must.Eq(t, tc.want, tc.task.crashEvidence(w, loss{at: now, now: now, unsettled: tc.unsettled, commonCause: tc.common}), must.Cmp(cmp.AllowUnexported(evidence{})))
		})
	}
}

// TestStartsOnEndedProcessConvictNobody guards against giving up a task because it was placed again and
// again on processes that had ended before.
func TestStartsOnEndedProcessConvictNobody(t *testing.T) {
	b := newHarness(0)
	b.submit(t, "job", Step{Count: 2, CPU: 100})
	for i := range 2 * convictionCrashes {
		w := testWorker(i)
		b.UpdateWorker(w)
		must.Len(t, 2, b.placeAndStore())
		// The poll that finds another process there is answered before the starts are.
		b.clock.Advance(50)
		b.otherWorker(w.ID)
	}
	crashes, suspicion := b.suspicionOf("job.0.0.0")
	must.Eq(t, 0, crashes)
	must.Eq(t, 0, suspicion)
}

// TestCrashBetweenLeadersCounts guards against forgetting a crash after which the worker was back under
// its ID before the next leader was elected.
func TestCrashBetweenLeadersCounts(t *testing.T) {
	first, o := recordOfRun(t, "first", 1)
	second, _ := recordOfRun(t, "second", 2)
	tests := map[string]struct {
		registry []WorkerInfo
		records  []Record
	}{
		"the registry shows the next process":          {registry: registryOf(2), records: []Record{first}},
		"another record names the next process":        {registry: registryOf(1), records: []Record{first, second}},
		"another record named the next process before": {registry: registryOf(1), records: []Record{second, first}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b, _ := takeOver(t, tc.registry, tc.records...)
			crashes, suspicion := b.suspicionOf(o.Task.String())
			must.Eq(t, 1, crashes)
			must.Eq(t, weakWeight, suspicion)
		})
	}
}

// TestEndedProcessIsNotUsedAgain guards against an old registry entry that brings back a process which
// is known to have ended.
func TestEndedProcessIsNotUsedAgain(t *testing.T) {
	b := newHarness(1)
	b.otherWorker("w0")
	b.UpdateWorker(testWorker(0))
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("placed on a process that has ended"))
	next := testWorker(0)
	next.Born = 2
	b.UpdateWorker(next)
	must.Len(t, 1, b.placeAndStore())
}
