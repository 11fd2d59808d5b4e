package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// fullFleet plays a fleet that is nearly full of long-running tasks: jobs come and are cancelled all the
// while.
type fullFleet struct {
	*harness
	random    *rand.Rand
	submitted int
	runs      map[string][]Order
	numbers   map[string]int64
	since     map[TaskName]clock.Millis
	cancelAt  map[string]clock.Millis
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
			id := fmt.Sprintf("job%04d", f.submitted)
			f.submitted++
			f.submit(t, id, Step{Count: 6 + f.random.IntN(5), CPU: int64(2000 + f.random.IntN(3100)), Memory: 100, LongRunning: true})
			f.cancelAt[id] = now + clock.Millis(f.random.ExpFloat64()*float64(fullFleetStay))
		}
		for _, id := range slices.Sorted(maps.Keys(f.cancelAt)) {
			if f.cancelAt[id] <= now {
				delete(f.cancelAt, id)
				must.NoError(t, f.Cancel(id, "", func(error) {}))
			}
		}
		for _, w := range f.sortedWorkers() {
			f.reportWorker(w)
		}
		f.Sweep()
		f.noteWaits(now)
		f.carryOut(append(f.TakeImmediateOrders(), f.placeAndStore()...))
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
		if f.findTask(n.String()) == nil || f.jobs[n.Job].phase.final() {
			delete(f.since, n)
			continue
		}
		f.longest = max(f.longest, now-since)
	}
}

func (f *fullFleet) carryOut(os []Order) {
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

func (f *fullFleet) cpuOf(n TaskName) int64 { return f.jobs[n.Job].spec.Steps[n.Step].CPU }

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
