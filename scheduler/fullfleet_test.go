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
	// turn is by when a waiting task goes before others: since when it waits, or earlier if it has had a
	// run.
	turn map[TaskName]clock.Millis
	// overtakings are the starts on workers with room for a task that is over a second ahead of them.
	overtakings []string
	// leftOut are the tasks that wait after a round although a worker has room for them.
	leftOut []string
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
		since: map[TaskName]clock.Millis{}, turn: map[TaskName]clock.Millis{}, cancelAt: map[string]clock.Millis{},
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
	f.Report(Report{Worker: w.info.ID, Born: w.info.Born, Clock: f.clock.Now(), Sent: f.clock.Now(), Active: f.activeOn(w.info.ID)})
}

// activeOn returns the runs of a worker, which are at work.
func (f *fullFleet) activeOn(worker string) []ActiveRun {
	as := activeRuns(f.runs[worker]...)
	for i := range as {
		as[i].Percent = 100
	}
	return as
}

// noteWaits notes since when tasks wait.
func (f *fullFleet) noteWaits(now clock.Millis) {
	for j := range f.active {
		j.eachTask(func(o *task) {
			if _, ok := f.since[o.name()]; !ok && o.state == pending {
				f.since[o.name()], f.turn[o.name()] = now, now
				if o.attempt > 0 {
					f.turn[o.name()] -= restartLead
				}
			}
		})
	}
	for n := range f.since {
		if f.findTask(n.String()) == nil || f.jobs[n.Job].phase.final() {
			delete(f.since, n)
		}
	}
}

func (f *fullFleet) carryOut(os []Order) {
	for _, o := range os {
		f.OrderAnswered(o, Done)
		if o.Kind != Start {
			continue
		}
		f.noteOvertaking(o)
		delete(f.since, o.Task)
		f.runs[o.Worker] = append(f.runs[o.Worker], o)
	}
	f.noteRoom()
	for _, o := range os {
		if o.Kind == Stop {
			f.end(o)
		}
	}
}

// noteRoom notes tasks that wait after a round although a worker has room for them.
func (f *fullFleet) noteRoom() {
	for _, w := range f.availableWorkers(f.clock.Now()) {
		free := f.freeOn(w.info.ID)
		for n := range f.since {
			if o := f.findTask(n.String()); o.state == pending && f.cpuOf(n) <= free {
				f.leftOut = append(f.leftOut, fmt.Sprintf("%v waits with room on %s", n, w.info.ID))
				return
			}
		}
	}
}

func (f *fullFleet) freeOn(worker string) int64 {
	free := int64(fullFleetCPU)
	for _, r := range f.runs[worker] {
		free -= f.cpuOf(r.Task)
	}
	return free
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
		Worker: stop.Worker, Born: w.info.Born, Clock: f.clock.Now(), Sent: f.clock.Now(), Active: f.activeOn(stop.Worker),
		Ended: []EndedRun{endedRun(f.numbers[stop.Worker], stop, EndStopped)},
	})
}

func (f *fullFleet) noteOvertaking(o Order) {
	free := f.freeOn(o.Worker)
	for n := range f.since {
		if ahead := f.turn[o.Task] - f.turn[n]; ahead > clock.Second && f.cpuOf(n) <= free {
			f.overtakings = append(f.overtakings, fmt.Sprintf("%v starts where %v fits, whose turn was %d ms before", o.Task, n, ahead))
			return
		}
	}
}

func (f *fullFleet) cpuOf(n TaskName) int64 { return f.jobs[n.Job].spec.Steps[n.Step].CPU }

// loseWorkers replaces a third of the worker processes, which lose their runs.
func (f *fullFleet) loseWorkers() {
	for i := range fullFleetWorkers / 3 {
		n := 3*i + f.random.IntN(3)
		id := fmt.Sprint("w", n)
		f.runs[id], f.numbers[id] = nil, 0
		f.RemoveWorker(id)
		f.CallFailed(id, f.workers[id].info.Born, true)
		f.dropWorker(f.workers[id], "lost")
		f.UpdateWorker(f.worker(n, 2))
	}
}
