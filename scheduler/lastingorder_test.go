package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// stopJob cancels a job with one run, whose worker reports its end beside the runs that go on.
func (b *harness) stopJob(t *testing.T, o Order, others ...Order) {
	t.Helper()
	must.NoError(t, b.Cancel(o.Task.Job, "", func(error) {}))
	for _, stop := range append(b.storeBatch(b.TakeBatch()), b.TakeImmediateOrders()...) {
		b.OrderAnswered(stop, Done)
	}
	b.report(o.Worker, activeRuns(others...), endedRun(1, o, EndStopped))
	b.clock.Advance(stopBackoff)
}

// startedJobs places and returns the jobs of the runs that start, which their workers confirm.
func (b *harness) startedJobs() []string {
	var ids []string
	for _, o := range b.placeAndStore() {
		b.OrderAnswered(o, Done)
		ids = append(ids, o.Task.Job)
	}
	return ids
}

// TestLongestWaitOfLastingTaskGoesFirst guards against a long-running task that waits while tasks that
// came later take each room which it could use.
func TestLongestWaitOfLastingTaskGoesFirst(t *testing.T) {
	const wait = 10 * clock.Second
	old := Step{Count: 4, CPU: 4000, Memory: 1000, LongRunning: true}
	tests := map[string]struct {
		old, later Step
		// before is called while the old job waits.
		before func(t *testing.T, b *harness) *harness
	}{
		"job of less work":    {old: old, later: Step{Count: 1, CPU: 4000, Memory: 1000}},
		"smaller tasks":       {old: old, later: Step{Count: 1, CPU: 2000, Memory: 1000}},
		"larger tasks":        {old: Step{Count: 4, CPU: 3900, LongRunning: true}, later: Step{Count: 1, CPU: 4000}},
		"more memory":         {old: Step{Count: 4, CPU: 4000, LongRunning: true}, later: Step{Count: 1, CPU: 4000, Memory: 5000}},
		"a gang of one comes": {old: old, later: Step{Count: 1, CPU: 4000, Gang: true}},
		"start was refused": {old: old, later: Step{Count: 1, CPU: 4000}, before: func(t *testing.T, b *harness) *harness {
			w := b.workers["w0"]
			w.info.CPU = 12000
			os := b.placeAndStore()
			must.Len(t, 1, os)
			w.info.CPU = 8000
			b.OrderAnswered(os[0], NoRoom)
			b.clock.Advance(refusalBackoff)
			return b
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			b.submit(t, "full", Step{Count: 1, CPU: 4000, LongRunning: true})
			b.submit(t, "leaves", Step{Count: 1, CPU: 4000, LongRunning: true})
			os := b.placeAndStore()
			must.Len(t, 2, os)
			for _, o := range os {
				b.OrderAnswered(o, Done)
			}
			b.submit(t, "old", tc.old)
			must.SliceEmpty(t, b.placeAndStore())
			b.clock.Advance(wait)
			if tc.before != nil {
				b = tc.before(t, b)
			}
			tc.later.LongRunning = true
			b.submit(t, "later", tc.later)
			must.SliceEmpty(t, b.placeAndStore())
			leaves := slices.IndexFunc(os, func(o Order) bool { return o.Task.Job == "leaves" })
			b.stopJob(t, os[leaves], os[1-leaves])
			must.Eq(t, []string{"old"}, b.startedJobs())
		})
	}
}

// TestLastingTaskKeepsItsTurnOverTakeover guards against a new leader that starts new tasks before those
// that have waited under the former one.
func TestLastingTaskKeepsItsTurnOverTakeover(t *testing.T) {
	b, stored := newHarness(0), map[string][]byte{}
	b.SetRelay(clock.NewRelay(b.clock.Now, 5000, b.clock.Now()))
	b.submit(t, "old", Step{Count: 4, CPU: 8000, LongRunning: true})
	b.Place()
	b.storeInto(stored)
	b.clock.Advance(10 * clock.Second)
	b.submit(t, "later", Step{Count: 1, CPU: 8000, LongRunning: true})
	b.Place()
	b.storeInto(stored)
	n := successor(t, b, stored, clock.Second, testWorker(0))
	n.clock.Advance(clock.Minute)
	n.report("w0", nil)
	must.Eq(t, []string{"old"}, n.startedJobs())
}

// TestLastingTasksOfOneStepWaitApart guards against a task that has lost its run a moment ago and goes
// before other jobs because another task of its step has waited longer.
func TestLastingTasksOfOneStepWaitApart(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "pair", Step{Count: 2, CPU: 8000, LongRunning: true})
	first := b.placeOne(t)
	b.clock.Advance(5 * clock.Second)
	b.submit(t, "single", Step{Count: 2, CPU: 8000, LongRunning: true})
	must.SliceEmpty(t, b.placeAndStore())
	b.clock.Advance(5 * clock.Second)
	// The task of the pair that runs loses its run and waits from now on.
	w := testWorker(0)
	w.Draining = true
	b.UpdateWorker(w)
	b.report("w0", nil, endedRun(1, first, EndStopped))
	must.SliceEmpty(t, b.placeAndStore())
	b.clock.Advance(clock.Second)
	var started []string
	for i := range 4 {
		b.UpdateWorker(testWorker(i + 1))
		started = append(started, b.placeOne(t).Task.Job)
	}
	must.Eq(t, []string{"pair", "single", "single", "pair"}, started)
}

// placeOne runs a round of placing that starts one run, which its worker confirms.
func (b *harness) placeOne(t *testing.T) Order {
	t.Helper()
	os := b.placeAndStore()
	must.Len(t, 1, os)
	b.OrderAnswered(os[0], Done)
	return os[0]
}

// fullFleet plays a fleet that is nearly full of long-running tasks: jobs come and are cancelled all the
// while.
type fullFleet struct {
	*harness
	random   *rand.Rand
	jobs     int
	runs     map[string][]Order
	numbers  map[string]int64
	since    map[TaskName]clock.Millis
	cancelAt map[string]clock.Millis
	// overtakings are the starts on workers with room for a task that has waited over a second longer.
	overtakings []string
	longest     clock.Millis
}

const (
	fullFleetWorkers = 30
	fullFleetCPU     = 16_000
	// fullFleetStay is the mean time from the submission of a job to its cancellation, fullFleetInterval the
	// time between submissions: on average the tasks need 0.93 of the processors.
	fullFleetStay     = 30 * clock.Second
	fullFleetInterval = 1900 * clock.Millis(1)
)

func newFullFleet(seed uint64) *fullFleet {
	f := &fullFleet{
		harness: newHarness(0), random: rand.New(rand.NewPCG(seed, 1)), runs: map[string][]Order{}, numbers: map[string]int64{},
		since: map[TaskName]clock.Millis{}, cancelAt: map[string]clock.Millis{},
	}
	for i := range fullFleetWorkers {
		f.UpdateWorker(f.worker(i, 1))
	}
	return f
}

func (f *fullFleet) worker(i int, born int64) WorkerInfo {
	w := testWorker(i)
	w.CPU, w.Memory, w.Born = fullFleetCPU, 64_000, born
	w.DataCentre = fmt.Sprint("dc", i%4)
	return w
}

func (f *fullFleet) play(t *testing.T, d clock.Millis) {
	t.Helper()
	for end := f.clock.Now() + d; f.clock.Now() < end; {
		f.clock.Advance(100)
		now := f.clock.Now()
		if now%fullFleetInterval < 100 {
			id := fmt.Sprintf("job%04d", f.jobs)
			f.jobs++
			f.submit(t, id, Step{Count: 6 + f.random.IntN(5), CPU: int64(2000 + f.random.IntN(3100)), Memory: 100, LongRunning: true})
			f.cancelAt[id] = now + clock.Millis(f.random.ExpFloat64()*float64(fullFleetStay))
		}
		for id, at := range f.cancelAt {
			if at <= now {
				delete(f.cancelAt, id)
				must.NoError(t, f.Cancel(id, "", func(error) {}))
			}
		}
		for _, w := range f.sortedWorkers() {
			f.reportWorker(w)
		}
		f.Sweep()
		f.noteWaits(now)
		f.carryOut(append(f.TakeImmediateOrders(), f.placeAndStore()...), now)
	}
}

func (f *fullFleet) reportWorker(w *worker) {
	f.Report(Report{Worker: w.info.ID, Born: w.info.Born, Clock: f.clock.Now(), Sent: f.clock.Now(), Active: activeRuns(f.runs[w.info.ID]...)})
}

// noteWaits notes since when tasks wait.
func (f *fullFleet) noteWaits(now clock.Millis) {
	for j := range f.active {
		j.eachTask(func(o *task) {
			if _, ok := f.since[o.name()]; !ok && o.state == pending {
				f.since[o.name()] = now
			}
		})
	}
	for n, since := range f.since {
		if f.findTask(n.String()) == nil || f.Scheduler.jobs[n.Job].phase.final() {
			delete(f.since, n)
			continue
		}
		f.longest = max(f.longest, now-since)
	}
}

func (f *fullFleet) carryOut(os []Order, now clock.Millis) {
	for _, o := range os {
		if o.Kind == Stop {
			f.end(o)
		}
	}
	for _, o := range os {
		f.OrderAnswered(o, Done)
		if o.Kind != Start {
			continue
		}
		f.noteOvertaking(o)
		delete(f.since, o.Task)
		f.runs[o.Worker] = append(f.runs[o.Worker], o)
	}
}

func (f *fullFleet) end(stop Order) {
	rs := f.runs[stop.Worker]
	i := slices.IndexFunc(rs, func(o Order) bool { return o.Task == stop.Task && o.Attempt == stop.Attempt })
	if i < 0 {
		return
	}
	f.runs[stop.Worker] = slices.Delete(rs, i, i+1)
	f.numbers[stop.Worker]++
	w := f.workers[stop.Worker]
	f.Report(Report{
		Worker: stop.Worker, Born: w.info.Born, Clock: f.clock.Now(), Sent: f.clock.Now(), Active: activeRuns(f.runs[stop.Worker]...),
		Ended: []EndedRun{endedRun(f.numbers[stop.Worker], stop, EndStopped)},
	})
}

func (f *fullFleet) noteOvertaking(o Order) {
	free := int64(fullFleetCPU)
	for _, r := range f.runs[o.Worker] {
		free -= f.cpuOf(r.Task)
	}
	for n, since := range f.since {
		if since+clock.Second < f.since[o.Task] && f.cpuOf(n) <= free {
			f.overtakings = append(f.overtakings, fmt.Sprintf("%v goes before %v, which has waited %d ms longer", o.Task, n, f.since[o.Task]-since))
			return
		}
	}
}

func (f *fullFleet) cpuOf(n TaskName) int64 { return f.Scheduler.jobs[n.Job].spec.Steps[n.Step].CPU }

// loseWorkers replaces a third of the worker processes, which lose their runs.
func (f *fullFleet) loseWorkers() {
	for i := range fullFleetWorkers / 3 {
		id := fmt.Sprint("w", 3*i+f.random.IntN(3))
		f.runs[id], f.numbers[id] = nil, 0
		f.RemoveWorker(id)
		f.CallFailed(id, f.workers[id].info.Born, true)
		f.dropWorker(f.workers[id], "lost")
		f.UpdateWorker(f.worker(3*i, 2))
	}
}

// TestFullFleetStartsLongestWaits guards against tasks that have lost their runs and wait for as long as
// new jobs come, in a fleet that is full of tasks which last.
func TestFullFleetStartsLongestWaits(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFullFleet(seed)
			f.play(t, 60*clock.Second)
			f.SetEvacuated([]string{"dc0"})
			f.play(t, 6*clock.Second)
			f.loseWorkers()
			f.play(t, 15*clock.Second)
			f.SetEvacuated(nil)
			f.play(t, 10*clock.Second)
			t.Logf("longest wait %d ms", f.longest)
			must.SliceEmpty(t, f.overtakings)
		})
	}
}
