package placer

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/quarantiner"
	"galenawharf.example/galenawharf/sizer"
)

func newPlacer(t testing.TB, opts ...Option) *Placer {
	t.Helper()
	p, err := New(opts...)
	must.NoError(t, err)
	return p
}

// sizeGiB returns a size with memory in GiB.
func sizeGiB(cores, memory, accelerators int64) sizer.Size {
	return sizer.New(cores*1000, memory*sizer.GiB, accelerators)
}

// workerOf returns a worker whose free size is its capacity less its residents.
func workerOf(name, rack string, capacity sizer.Size, residents ...Task) Worker {
	free := capacity
	for _, r := range residents {
		free = free.Sub(r.size)
	}
	return NewWorker(name, "a", rack, capacity, free, residents, false)
}

func batchOf(id string, size sizer.Size, opts ...TaskOption) Task {
	return NewTask(id, "team", "job-"+id, "batch", Batch, size, opts...)
}

func serviceOf(id string, size sizer.Size) Task {
	return NewTask(id, "team", "checks", "check", Service, size)
}

func TestPlace(t *testing.T) {
	whole := sizeGiB(32, 125, 0)
	tests := map[string]struct {
		waiting []Task
		workers []Worker
		want    map[string]string
	}{
		"prefers the fuller worker": {
			waiting: []Task{batchOf("1", sizeGiB(2, 2, 0))},
			workers: []Worker{workerOf("x", "r", whole), workerOf("y", "r", whole, batchOf("0", sizeGiB(16, 60, 0)))},
			want:    map[string]string{"1": "y"},
		},
		"needs free memory": {
			waiting: []Task{batchOf("1", sizeGiB(1, 100, 0))},
			workers: []Worker{workerOf("x", "r", whole, batchOf("0", sizeGiB(1, 60, 0))), workerOf("y", "r", whole)},
			want:    map[string]string{"1": "y"},
		},
		"spares workers with accelerators": {
			waiting: []Task{batchOf("1", sizeGiB(2, 2, 0)), batchOf("2", sizeGiB(2, 2, 2))},
			workers: []Worker{workerOf("x", "r", sizeGiB(32, 125, 2)), workerOf("y", "r", whole)},
			want:    map[string]string{"1": "y", "2": "x"},
		},
		"prefers the fewest accelerators that fit": {
			waiting: []Task{batchOf("1", sizeGiB(2, 2, 1))},
			workers: []Worker{workerOf("x", "r", sizeGiB(32, 125, 4)), workerOf("y", "r", sizeGiB(32, 125, 1))},
			want:    map[string]string{"1": "y"},
		},
		"spreads replicas": {
			waiting: []Task{serviceOf("1", sizeGiB(2, 2, 0)), serviceOf("2", sizeGiB(2, 2, 0))},
			workers: []Worker{workerOf("x", "r", whole, serviceOf("0", sizeGiB(2, 2, 0))), workerOf("y", "r", whole), workerOf("z", "s", whole)},
			want:    map[string]string{"1": "z", "2": "y"},
		},
		"reserves room for urgent work": {
			waiting: []Task{batchOf("1", sizeGiB(1, 1, 0)), serviceOf("2", sizeGiB(1, 1, 0))},
			workers: []Worker{workerOf("x", "r", whole, batchOf("0", sizeGiB(30, 60, 0)))},
			want:    map[string]string{"2": "x"},
		},
		"tasks as large as a worker": {
			waiting: []Task{batchOf("1", sizeGiB(32, 1, 0)), batchOf("2", sizeGiB(1, 125, 0))},
			workers: []Worker{workerOf("x", "r", whole, batchOf("0", sizeGiB(1, 1, 0))), workerOf("y", "r", whole), workerOf("z", "r", whole)},
			want:    map[string]string{"1": "y", "2": "z"},
		},
		"skips closed workers": {
			waiting: []Task{serviceOf("1", sizeGiB(1, 1, 0))},
			workers: []Worker{NewWorker("x", "a", "r", whole, whole, nil, true)},
			want:    map[string]string{},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := map[string]string{}
			for _, d := range newPlacer(t, Without(Interference)).Place(clock.Hour, tc.waiting, tc.workers) {
				got[d.Task()] = d.Worker()
			}
			must.Eq(t, tc.want, got)
		})
	}
}

// TestNeverOverCapacity places random tasks over several rounds and carries out some of
// the decisions. The tasks placed on a worker must never exceed its capacity, as they would
// if the index kept a stale free size.
func TestNeverOverCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPlacer(t)
		free := map[string]sizer.Size{}
		residents := map[string][]Task{}
		revisions := map[string]int64{}
		capacity := sizeGiB(16, 60, 2)
		n := rapid.IntRange(1, 20).Draw(rt, "workers")
		for i := range n {
			free["w"+strconv.Itoa(i)] = capacity
		}
		for call := range 8 {
			var waiting []Task
			for i := range rapid.IntRange(0, 30).Draw(rt, "tasks") {
				size := sizeGiB(rapid.Int64Range(1, 16).Draw(rt, "c"), rapid.Int64Range(1, 60).Draw(rt, "m"), rapid.Int64Range(0, 2).Draw(rt, "a"))
				k := rapid.SampledFrom([]Kind{Service, Exclusive, Watch, Batch}).Draw(rt, "kind")
				waiting = append(waiting, NewTask(fmt.Sprintf("%d/%d", call, i), "t", "j", "c", k, size))
			}
			var workers []Worker
			for i := range n {
				name := "w" + strconv.Itoa(i)
				workers = append(workers, NewWorker(name, "a", "r"+strconv.Itoa(i%3), capacity, free[name], residents[name], false).WithRevision(revisions[name]+1))
			}
			decided := map[string]sizer.Size{}
			for _, d := range p.Place(clock.Millis(call+1)*clock.Second, waiting, workers) {
				if len(d.Victims()) > 0 {
					continue
				}
				decided[d.Worker()] = decided[d.Worker()].Add(d.Size())
				must.True(rt, decided[d.Worker()].Fits(free[d.Worker()]))
				if rapid.Bool().Draw(rt, "executed") {
					residents[d.Worker()] = append(residents[d.Worker()], NewTask(d.Task(), "t", "j", "c", Batch, d.Size()))
				}
			}
			for name, r := range residents {
				left := capacity
				for _, x := range r {
					left = left.Sub(x.size)
				}
				must.False(rt, left.IsNegative())
				free[name] = left
				revisions[name] = int64(len(r))
			}
		}
	})
}

// TestPlacesWhatFirstFitPlaces places single urgent tasks. If first fit finds room, Place
// must find room too, without evictions, although it examines a bounded number of
// workers.
func TestPlacesWhatFirstFitPlaces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPlacer(t)
		var workers []Worker
		for i := range rapid.IntRange(1, 80).Draw(rt, "workers") {
			used := sizeGiB(rapid.Int64Range(0, 15).Draw(rt, "c"), rapid.Int64Range(0, 59).Draw(rt, "m"), 0)
			workers = append(workers, workerOf("w"+strconv.Itoa(i), "r", sizeGiB(16, 60, 0), batchOf(strconv.Itoa(i), used)))
		}
		size := sizeGiB(rapid.Int64Range(1, 16).Draw(rt, "tc"), rapid.Int64Range(1, 60).Draw(rt, "tm"), 0)
		waiting := []Task{NewTask("u", "t", "j", "c", Exclusive, size)}
		baseline := FirstFit(1, waiting, workers)
		got := p.Place(1, waiting, workers)
		if len(baseline) > 0 {
			must.Len(rt, 1, got)
			must.Len(rt, 0, got[0].Victims())
		}
	})
}

func TestPreemptsForUrgentWork(t *testing.T) {
	const now = clock.Hour
	old := batchOf("old", sizeGiB(16, 60, 0), WithStarted(0))
	recent := batchOf("recent", sizeGiB(16, 60, 0), WithStarted(now-clock.Second))
	saved := batchOf("saved", sizeGiB(16, 60, 0), WithStarted(0), WithCheckpoint(now))
	tests := map[string]struct {
		opts    []Option
		waiting Task
		want    []string
	}{
		"least lost work": {waiting: serviceOf("s", sizeGiB(8, 8, 0)), want: []string{"saved"}},
		"several victims": {waiting: serviceOf("s", sizeGiB(32, 120, 0)), want: []string{"saved", "recent"}},
		"batch task":      {waiting: batchOf("b", sizeGiB(8, 8, 0))},
		"mechanism off":   {opts: []Option{Without(Preemption)}, waiting: serviceOf("s", sizeGiB(8, 8, 0))},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			workers := []Worker{workerOf("x", "r", sizeGiB(32, 120, 0), old, old), workerOf("y", "r", sizeGiB(32, 120, 0), recent, saved)}
			got := newPlacer(t, tc.opts...).Place(now, []Task{tc.waiting}, workers)
			if tc.want == nil {
				must.Len(t, 0, got)
				return
			}
			must.Len(t, 1, got)
			must.Eq(t, "y", got[0].Worker())
			must.Eq(t, tc.want, got[0].Victims())
		})
	}
}

// TestLargeTaskIsNotStarved keeps small tasks arriving on full workers. They take all
// room as it becomes free, so a large task starts only if a worker is held for it.
func TestLargeTaskIsNotStarved(t *testing.T) {
	for name, tc := range map[string]struct {
		opts []Option
		want bool
	}{"holding on": {want: true}, "holding off": {opts: []Option{Without(Holding)}}} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tc.want, largeTaskStarts(newPlacer(t, tc.opts...)))
		})
	}
}

// largeTaskStarts reports whether the large task starts within an hour. The deadline of a
// running small task is the time at which it ends.
func largeTaskStarts(p *Placer) bool {
	capacity := sizeGiB(16, 60, 0)
	running := map[string][]Task{}
	for i := range 10 {
		w := []string{"x", "y"}[i%2]
		running[w] = append(running[w], batchOf("first"+strconv.Itoa(i), sizeGiB(3, 4, 0), WithDeadline(clock.Millis(i+1)*10*clock.Second)))
	}
	next := 0
	for now := clock.Second; now < clock.Hour; now += 10 * clock.Second {
		waiting := []Task{batchOf("large", sizeGiB(12, 40, 0), WithSubmitted(1))}
		for range 2 {
			next++
			waiting = append(waiting, batchOf(strconv.Itoa(next), sizeGiB(3, 4, 0), WithPriority(100), WithSubmitted(now)))
		}
		for w, tasks := range running {
			var left []Task
			for _, t := range tasks {
				if now < t.deadline {
					left = append(left, t)
				}
			}
			running[w] = left
		}
		workers := []Worker{workerOf("x", "r", capacity, running["x"]...), workerOf("y", "r", capacity, running["y"]...)}
		for _, d := range p.Place(now, waiting, workers) {
			if d.Task() == "large" {
				return true
			}
			running[d.Worker()] = append(running[d.Worker()], batchOf(d.Task(), d.Size(), WithDeadline(now+clock.Minute+clock.Millis(len(d.Task())+next%7)*10*clock.Second)))
		}
	}
	return false
}

// TestAvoidsInterferingClass reports usage samples in which a service is slow while a hog
// task runs on its worker, and at full speed while a calm task does. A new hog task must
// then go to the worker without the service, or wait if there is no other worker; a new
// calm task may join the service.
func TestAvoidsInterferingClass(t *testing.T) {
	p := newPlacer(t)
	capacity := sizeGiB(16, 60, 0)
	check := NewTask("c", "t", "checks", "check", Service, sizeGiB(4, 4, 0))
	p.Started(1, check, "x")
	now := clock.Millis(1)
	for i := range 60 {
		class, progress := "hog", int64(400)
		if i%2 == 0 {
			class, progress = "calm", 1000
		}
		b := NewTask("b"+strconv.Itoa(i), "t", class, class, Batch, sizeGiB(6, 6, 0))
		p.Started(now, b, "x")
		from := now
		now += 10 * clock.Second
		p.Observe(now, "x", capacity, []Usage{NewUsage("c", from, now, 2000, 1, progress), NewUsage(b.id, from, now, 6000, 1, 1000)})
		p.Ended(now, b.id, Succeeded, 10*clock.Second, coder.OK, "")
	}
	workers := []Worker{workerOf("x", "r", capacity, check), workerOf("y", "r", capacity, batchOf("other", sizeGiB(2, 2, 0)))}
	waiting := []Task{NewTask("1", "t", "new-hog", "hog", Batch, sizeGiB(6, 6, 0), WithSubmitted(now)), NewTask("2", "t", "new-calm", "calm", Batch, sizeGiB(6, 6, 0), WithSubmitted(now))}
	got := map[string]string{}
	for _, d := range p.Place(now, waiting, workers) {
		got[d.Task()] = d.Worker()
	}
	must.Eq(t, "y", got["1"])
	got = map[string]string{}
	for _, d := range p.Place(now, waiting, workers[:1]) {
		got[d.Task()] = d.Worker()
	}
	must.Eq(t, map[string]string{"2": "x"}, got)
}

func TestControlThrottlesInterferingTask(t *testing.T) {
	p := newPlacer(t)
	capacity := sizeGiB(16, 60, 0)
	check := NewTask("c", "t", "checks", "check", Service, sizeGiB(4, 4, 0))
	hog := NewTask("hog", "t", "hogs", "hog", Batch, sizeGiB(6, 6, 0))
	now := clock.Second
	p.Started(now, check, "x")
	p.Started(now, hog, "x")
	workers := []Worker{workerOf("x", "r", capacity, check, hog)}
	must.Len(t, 0, p.Control(now, workers))
	p.Observe(now+20*clock.Second, "x", capacity, []Usage{NewUsage("c", now, now+10*clock.Second, 2000, 1, 500)})
	got := p.Control(now+20*clock.Second, workers)
	must.Len(t, 1, got)
	must.Eq(t, "hog", got[0].Task())
	must.Eq(t, 500, got[0].Permille())
	p.Throttled(now+21*clock.Second, "hog", 500)
	must.Len(t, 0, p.Control(now+22*clock.Second, workers))
}

// TestThrottledSampleAfterEndIsIgnored delivers the last sample of a throttled task after
// the task has ended. The sample shows the throttled usage and must not lower the learnt
// size.
func TestThrottledSampleAfterEndIsIgnored(t *testing.T) {
	p := newPlacer(t)
	declared := sizeGiB(4, 4, 0)
	for i := range 10 {
		task := NewTask("t"+strconv.Itoa(i), "t", "job", "c", Batch, declared)
		at := clock.Millis(i+1) * clock.Minute
		p.Started(at, task, "x")
		p.Throttled(at+1, task.id, 200)
		p.Ended(at+10*clock.Second, task.id, Succeeded, 10*clock.Second, coder.OK, "")
		p.Observe(at+20*clock.Second, "x", sizeGiB(16, 60, 0), []Usage{NewUsage(task.id, at+2, at+10*clock.Second, 800, 1, 200)})
	}
	got := p.Place(clock.Hour, []Task{NewTask("new", "t", "job", "c", Batch, declared)}, []Worker{workerOf("x", "r", sizeGiB(16, 60, 0))})
	must.Len(t, 1, got)
	must.Eq(t, declared, got[0].Size())
	must.Eq(t, 0, p.throttledTasks["x"])
}

// TestSamplesInSeparateCalls delivers the samples of a worker in separate calls. The sample
// of the batch task, which arrives last, must not hide the pressure on the service.
func TestSamplesInSeparateCalls(t *testing.T) {
	p := newPlacer(t)
	capacity := sizeGiB(16, 60, 0)
	check := NewTask("c", "t", "checks", "check", Service, sizeGiB(4, 4, 0))
	hog := NewTask("hog", "t", "hogs", "hog", Batch, sizeGiB(6, 6, 0))
	p.Started(1, check, "x")
	p.Started(1, hog, "x")
	p.Observe(20*clock.Second, "x", capacity, []Usage{NewUsage("c", 2, 10*clock.Second, 2000, 1, 400)})
	p.Observe(20*clock.Second, "x", capacity, []Usage{NewUsage("hog", 2, 10*clock.Second+1, 6000, 1, 1000)})
	must.Len(t, 1, p.Control(20*clock.Second, []Worker{workerOf("x", "r", capacity, check, hog)}))
}

// TestFailuresReachQuarantine fails one job on three workers, and three jobs on another
// worker. The job must be parked and that worker quarantined. A watch job is not parked,
// only delayed.
func TestFailuresReachQuarantine(t *testing.T) {
	p := newPlacer(t)
	fail := func(worker, job string) {
		task := NewTask(job+worker, "t", job, "c", Batch, sizeGiB(1, 1, 0))
		p.Started(1, task, worker)
		p.Ended(2, task.id, Failed, 1, coder.Failed, "exit 1")
	}
	for _, w := range []string{"x", "y", "z"} {
		fail(w, "bad")
	}
	parking, parked := p.Parked("bad")
	must.True(t, parked)
	must.Eq(t, coder.Failed, parking.Code())
	for _, j := range []string{"a", "b", "c"} {
		fail("v", j)
	}
	must.Eq(t, quarantiner.Quarantined, p.WorkerState("v"))
	waiting := []Task{NewTask("1", "t", "bad", "c", Batch, sizeGiB(1, 1, 0)), serviceOf("2", sizeGiB(1, 1, 0))}
	must.Len(t, 0, p.Place(3, waiting, []Worker{workerOf("v", "r", sizeGiB(16, 60, 0))}))
	watch := NewTask("3", "t", "bad", "c", Watch, sizeGiB(1, 1, 0))
	must.Len(t, 0, p.Place(3, []Task{watch}, []Worker{workerOf("u", "r", sizeGiB(16, 60, 0))}))
	must.Len(t, 1, p.Place(clock.Hour, []Task{watch, waiting[0]}, []Worker{workerOf("u", "r", sizeGiB(16, 60, 0))}))
	p.Unpark("bad")
	must.Len(t, 1, p.Place(3, waiting[:1], []Worker{workerOf("u", "r", sizeGiB(16, 60, 0))}))
}

func TestQuotaSpansWorkers(t *testing.T) {
	p := newPlacer(t)
	p.SetQuota("team", sizeGiB(10, 100, 0))
	workers := []Worker{workerOf("x", "r", sizeGiB(16, 60, 0), batchOf("0", sizeGiB(6, 6, 0))), workerOf("y", "r", sizeGiB(16, 60, 0))}
	var waiting []Task
	for i := range 6 {
		waiting = append(waiting, batchOf("t"+strconv.Itoa(i), sizeGiB(2, 2, 0)))
	}
	must.Len(t, 2, p.Place(1, waiting, workers))
	must.Len(t, 2, p.Place(2, waiting, workers))
	p.ClearQuota("team")
	must.Len(t, 6, p.Place(3, waiting, workers))
}

func TestMechanismNames(t *testing.T) {
	must.Eq(t, len(mechanismNames), 10)
	must.Eq(t, "interference", Interference.String())
	must.Eq(t, "holding", Holding.String())
	must.Eq(t, uint(1)<<len(mechanismNames)-1, uint(allMechanisms))
}
