package scheduler

import (
	"fmt"
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

// TestSuspectsAreTriedAlone guards against a suspect that takes other tasks with it or brings them under
// suspicion, and against suspects that stay alone once they are cleared.
func TestSuspectsAreTriedAlone(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 3, CPU: 100})
	first := b.start()
	must.Len(t, 3, first)
	for i := 1; i <= 4; i++ {
		b.UpdateWorker(testWorker(i))
	}
	b.otherWorker("w0")
	b.submit(t, "other", Step{Count: 8, CPU: 100})
	perWorker := map[string][]Order{}
	for range 24 {
		for _, o := range b.start() {
			perWorker[o.Worker] = append(perWorker[o.Worker], o)
		}
		for id, w := range b.workers {
			must.False(t, w.isOnTrial() && w.unsettledRuns() > 1, must.Sprint("a suspect shares "+id))
		}
		b.clock.Advance(proofTime)
		for w, os := range perWorker {
			b.report(w, activeRuns(os...))
		}
	}
	must.MapLen(t, 4, perWorker, must.Sprint("workers stay reserved for trials"))
	for _, o := range first {
		task := b.findTask(o.Task.String())
		must.Eq(t, running, task.state, must.Sprint("a suspect waits although it could be tried"))
		must.Eq(t, 0, task.suspicion, must.Sprint("a suspect that has settled is not cleared"))
	}
}

// unsettledRuns returns the number of runs that have not settled.
func (w *worker) unsettledRuns() int {
	n := 0
	for _, t := range w.tasks {
		if !t.settled {
			n++
		}
	}
	return n
}

// TestTrialInFullFleet guards against a suspect that waits for an empty worker where there will be none,
// or for the trials of others.
func TestTrialInFullFleet(t *testing.T) {
	// Three workers try nine suspects, one at a time each, with a report each 50 ms.
	const manyLongest = maxTrialWait + 3*(proofTime+50)
	tests := map[string]struct {
		step Step
		// longest bounds the wait of all suspects together.
		longest clock.Millis
	}{
		"one that ends":  {step: Step{Count: 1, CPU: 600}, longest: emptyingTime},
		"one that lasts": {step: Step{Count: 1, CPU: 600, LongRunning: true}, longest: emptyingTime},
		"many that end":  {step: Step{Count: 9, CPU: 600}, longest: manyLongest},
		"many that last": {step: Step{Count: 9, CPU: 600, LongRunning: true}, longest: manyLongest},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(3)
			b.submit(t, "full", Step{Count: 9, CPU: 2000, LongRunning: true})
			active := map[string][]Order{}
			for _, o := range b.start() {
				active[o.Worker] = append(active[o.Worker], o)
			}
			b.UpdateWorker(testWorker(3))
			b.submit(t, "job", tc.step)
			for _, o := range b.start() {
				must.Eq(t, "w3", o.Worker)
			}
			b.otherWorker("w3")
			waited, placed := clock.Millis(0), 0
			for ; placed < tc.step.Count; waited += 50 {
				must.LessEq(t, tc.longest, waited, must.Sprint("a suspect waits for too long"))
				for w, os := range active {
					b.report(w, activeRuns(os...))
				}
				for _, o := range b.start() {
					active[o.Worker] = append(active[o.Worker], o)
					placed++
				}
				b.clock.Advance(50)
			}
			must.GreaterEq(t, min(tc.longest, maxTrialWait), waited, must.Sprint("the test does not reach the bound"))
		})
	}
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

// TestCrashesAreStoredBeforeNextStart guards against a leader that begins the count of crashes anew.
func TestCrashesAreStoredBeforeNextStart(t *testing.T) {
	b := newHarness(1)
	stored := map[string][]byte{}
	keep := func(b *harness) []Order {
		b.Place()
		batch := b.TakeBatch()
		if batch == nil {
			return nil
		}
		for _, r := range batch.Records {
			stored[r.Key] = r.Value
		}
		return b.storeBatch(batch)
	}
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := keep(b)[0]
	for crashes := 1; ; crashes++ {
		// The worker crashes before its leader has noted anything of the run, and the leader ends.
		next := newHarness(0)
		next.clock.Advance(clock.Millis(crashes) * clock.Minute)
		crashed, spare := testWorker(0), testWorker(1)
		crashed.ID, spare.ID = o.Worker, fmt.Sprintf("spare%d", crashes)
		next.UpdateWorker(crashed)
		next.UpdateWorker(spare)
		next.Inherit(LeaseBound(next.clock.Now(), defaultLease))
		for k, v := range stored {
			must.NoError(t, next.Load(k, v, LeaseBound(next.clock.Now(), defaultLease)))
		}
		next.report(spare.ID, nil)
		next.WorkerReplaced(o.Worker, crashed.Address, 1, 0)
		orders := keep(next)
		if len(orders) == 0 {
			p, err := next.Phase("job", "q")
			must.NoError(t, err)
			must.Eq(t, Failed, p)
			must.LessEq(t, convictionCrashes, crashes)
			return
		}
		must.Less(t, convictionCrashes, crashes, must.Sprint("the task is started over and over"))
		o = orders[0]
	}
}

// TestLossOfManyWorkersConvictsNobody guards against giving up tasks because a rack loses power, also
// again and again.
func TestLossOfManyWorkersConvictsNobody(t *testing.T) {
	const workers = 2 * commonCauseWorkers
	b := newHarness(workers)
	b.submit(t, "job", Step{Count: 3 * workers, CPU: 1000, LongRunning: true})
	b.start()
	for round := range 3 {
		var lost []string
		for id := range b.workers {
			b.CallFailed(id, 1, true)
			lost = append(lost, id)
		}
		for i := range workers {
			w := testWorker(i)
			w.ID = fmt.Sprintf("r%d-%d", round, i)
			b.UpdateWorker(w)
		}
		for _, id := range lost {
			b.otherWorker(id)
		}
		os := map[string][]Order{}
		for range 40 {
			for _, o := range b.start() {
				os[o.Worker] = append(os[o.Worker], o)
			}
			for w := range os {
				b.settleRuns(w, os[w]...)
			}
		}
		p, err := b.Phase("job", "q")
		must.NoError(t, err)
		must.Eq(t, Running, p)
		for _, task := range b.jobs["job"].occurrences[0].steps[0] {
			must.Eq(t, running, task.state)
		}
	}
}

// TestTaskThatCrashesLateIsGivenUp guards against a task that crashes its workers after it has settled.
func TestTaskThatCrashesLateIsGivenUp(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	for crashes := 1; ; crashes++ {
		os := b.start()
		if len(os) == 0 {
			p, err := b.Phase("job", "q")
			must.NoError(t, err)
			must.Eq(t, Failed, p)
			must.Eq(t, convictionCrashes, crashes-1)
			return
		}
		must.LessEq(t, convictionCrashes, crashes)
		b.settleRuns(os[0].Worker, os[0])
		w := testWorker(crashes)
		b.UpdateWorker(w)
		b.otherWorker(os[0].Worker)
	}
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

// TestSuspectsAreTriedUnderOverload guards against suspects that wait behind all jobs which may still
// meet their objective, once they have waited for a trial in vain.
func TestSuspectsAreTriedUnderOverload(t *testing.T) {
	const suspects = 8
	b := newHarness(1)
	b.submit(t, "suspected", Step{Count: suspects, CPU: 600, Estimate: 100})
	must.Len(t, suspects, b.start())
	for i := 1; i <= 3; i++ {
		b.UpdateWorker(testWorker(i))
	}
	b.otherWorker("w0")
	active := map[string][]Order{}
	placed := 0
	for waited := clock.Millis(0); placed < suspects; waited += 50 {
		must.LessEq(t, 2*maxTrialWait, waited, must.Sprint("a suspect waits for too long"))
		// The other jobs are far more than the workers can do, and not late.
		b.submit(t, fmt.Sprintf("load%d", waited), Step{Count: 12, CPU: 2000, Estimate: 10_000})
		for _, o := range b.start() {
			active[o.Worker] = append(active[o.Worker], o)
			if o.Task.Job == "suspected" {
				placed++
			}
		}
		b.clock.Advance(50)
		for w, os := range active {
			if waited%500 != 0 || len(os) == 0 {
				b.report(w, activeRuns(os...))
				continue
			}
			active[w] = os[1:]
			b.report(w, activeRuns(os[1:]...), endedRun(b.workers[w].lastEnd+1, os[0], EndDone))
		}
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

// TestTrialLeavesRoomKeptForLastingTask guards against suspects that take, one after the other, the room
// that a worker is kept for so that a task that lasts can start there.
func TestTrialLeavesRoomKeptForLastingTask(t *testing.T) {
	const suspects = 6
	b := newHarness(1)
	b.submit(t, "suspected", Step{Count: suspects, CPU: 1000})
	must.Len(t, suspects, b.start())
	b.UpdateWorker(testWorker(1))
	b.RemoveWorker("w0")
	b.submit(t, "load", Step{Count: 4, CPU: 2000, Estimate: 100})
	active := map[string][]Order{}
	for _, o := range b.start() {
		active[o.Worker] = append(active[o.Worker], o)
	}
	b.submit(t, "lasting", Step{Count: 1, CPU: 7000, LongRunning: true})
	must.SliceEmpty(t, b.start())
	b.otherWorker("w0")
	for waited := clock.Millis(0); ; waited += 100 {
		must.LessEq(t, clock.Second, waited, must.Sprint("the room of the task that lasts is taken"))
		for _, o := range b.start() {
			active[o.Worker] = append(active[o.Worker], o)
			if o.Task.Job == "lasting" {
				return
			}
		}
		b.clock.Advance(100)
		for w, os := range active {
			if len(os) > 0 && os[0].Task.Job == "load" {
				active[w] = os[1:]
				b.report(w, activeRuns(os[1:]...), endedRun(b.workers[w].lastEnd+1, os[0], EndDone))
				continue
			}
			b.report(w, activeRuns(os...))
		}
	}
}

// TestLastingTaskKeepsNoWorkerToItself guards against a task that lasts and has been there at several
// crashes, and that keeps a whole worker from other tasks while it works on.
func TestLastingTaskKeepsNoWorkerToItself(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 1000, LongRunning: true})
	for i := 1; i <= 2*convictionCrashes; i++ {
		o := b.start()[0]
		b.settleRuns(o.Worker, o)
		b.clock.Advance(lateCrashTime)
		b.report(o.Worker, activeRuns(o))
		if i == 2*convictionCrashes {
			break
		}
		b.UpdateWorker(testWorker(i))
		b.otherWorker(o.Worker)
	}
	b.submit(t, "other", Step{Count: 1, CPU: 1000})
	must.Len(t, 1, b.start(), must.Sprint("nothing is placed beside a task that has worked for a while"))
	p, err := b.Phase("job", "q")
	must.NoError(t, err)
	must.Eq(t, Running, p)
}

// TestFlappingWorkerConvictsNobody guards against giving up a task that was tried on a worker which
// crashes again and again by itself.
func TestFlappingWorkerConvictsNobody(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 2, CPU: 100})
	must.Len(t, 2, b.start())
	restart := func(born int64) {
		w := testWorker(0)
		w.Born = born
		b.UpdateWorker(w)
		b.Report(Report{Worker: "w0", Born: born, Clock: 1, Sent: b.clock.Now() + 1})
		b.clock.Advance(100)
	}
	restart(2)
	must.Len(t, 1, b.start())
	restart(3)
	b.placeAndStore()
	p, err := b.Phase("job", "q")
	must.NoError(t, err)
	must.NotEq(t, Failed, p)
}

// TestTrialAvoidsWorkerThatHasJustCrashed guards against a trial on the one empty worker, of which a
// crash would say nothing, if another has little to lose.
func TestTrialAvoidsWorkerThatHasJustCrashed(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 2, CPU: 100})
	must.Len(t, 2, b.start())
	other := testWorker(1)
	other.Address = "127.0.0.1:2"
	b.UpdateWorker(other)
	b.RemoveWorker("w0")
	b.submit(t, "other", Step{Count: 3, CPU: 2000})
	others := b.start()
	must.Len(t, 3, others)
	for _, o := range others {
		must.Eq(t, "w1", o.Worker)
	}
	b.settleRuns("w1", others...)
	next := testWorker(0)
	next.ID = "w0-next"
	b.UpdateWorker(next)
	b.otherWorker("w0")
	b.clock.Advance(100)
	for _, o := range b.start() {
		must.Eq(t, "w1", o.Worker)
	}
	must.True(t, b.workers["w1"].isOnTrial())
}
