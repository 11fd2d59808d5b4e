package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

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
			p, err := next.Phase("job", "q", "")
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
		p, err := b.Phase("job", "q", "")
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
			p, err := b.Phase("job", "q", "")
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
	p, err := b.Phase("job", "q", "")
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
	p, err := b.Phase("job", "q", "")
	must.NoError(t, err)
	must.NotEq(t, Failed, p)
}
