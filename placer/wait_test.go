package placer

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
)

// startsWhile reports whether a task that comes to two full workers of 16 cores runs within two hours.
// Standing tasks stay on the workers, and smaller tasks of a kind arrive all the time, of which one
// ends every 10 s. The deadline of a running small task is the time at which it ends.
func startsWhile(p *Placer, large Task, small Kind, standing map[string][]Task) bool {
	capacity := sizeGiB(16, 60, 0)
	running := map[string][]Task{}
	next, lastEnd := 0, clock.Minute
	for now := clock.Second; now < 2*clock.Hour; now += 10 * clock.Second {
		var waiting []Task
		if now > large.submitted {
			waiting = append(waiting, large)
		}
		for range 10 {
			next++
			id := strconv.Itoa(next)
			waiting = append(waiting, NewTask(id, "team", "job-"+id, "batch", small, sizeGiB(3, 4, 0), WithSubmitted(now)))
		}
		var workers []Worker
		for _, name := range []string{"x", "y"} {
			left := append([]Task(nil), standing[name]...)
			for _, t := range running[name] {
				if now < t.deadline {
					left = append(left, t)
				}
			}
			running[name] = left[len(standing[name]):]
			workers = append(workers, workerOf(name, "r", capacity, left...))
		}
		for _, d := range p.Place(now, waiting, workers) {
			if d.Task() == large.id {
				return true
			}
			lastEnd = max(lastEnd+10*clock.Second, now+clock.Minute)
			running[d.Worker()] = append(running[d.Worker()], NewTask(d.Task(), "team", "job-"+d.Task(), "batch", small, d.Size(), WithDeadline(lastEnd)))
		}
	}
	return false
}

// TestHeldWorkerCanTakeTask guards against a hold on a worker that can never take the task, which
// then waits without a bound behind smaller tasks.
func TestHeldWorkerCanTakeTask(t *testing.T) {
	failOn := func(p *Placer, large Task, worker string) {
		p.Started(0, large, worker)
		p.Ended(0, large.id, Failed, clock.Second, coder.Failed, "exit 1")
	}
	tests := map[string]struct {
		memory   int64
		standing Task
		failed   bool
	}{
		"a service stays on the emptiest worker":    {memory: 20, standing: serviceOf("s", sizeGiB(1, 50, 0))},
		"a watch job stays on the emptiest worker":  {memory: 20, standing: NewTask("w", "team", "w", "w", Watch, sizeGiB(1, 50, 0))},
		"the job has failed on the emptiest worker": {memory: 2, standing: serviceOf("s", sizeGiB(1, 50, 0)), failed: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(t)
			large := batchOf("large", sizeGiB(8, tc.memory, 0), WithSubmitted(5*clock.Minute))
			if tc.failed {
				failOn(p, large, "x")
			}
			must.True(t, startsWhile(p, large, Batch, map[string][]Task{"x": {tc.standing}}))
		})
	}
}

// TestHoldLeavesTakenWorker guards against a hold that stays on a worker after a service has taken the
// room there for good.
func TestHoldLeavesTakenWorker(t *testing.T) {
	p := newPlacer(t)
	capacity := sizeGiB(16, 60, 0)
	large := batchOf("large", sizeGiB(12, 20, 0), WithSubmitted(1))
	full := workerOf("y", "r", capacity, batchOf("b", sizeGiB(15, 10, 0)))
	p.Place(clock.Hour, []Task{large}, []Worker{workerOf("x", "r", capacity, batchOf("a", sizeGiB(10, 10, 0))), full})
	must.Eq(t, "x", p.heldWorker["large"])
	p.Place(clock.Hour+1, []Task{large}, []Worker{workerOf("x", "r", capacity, serviceOf("s", sizeGiB(10, 10, 0))), full})
	must.Eq(t, "y", p.heldWorker["large"])
}

// TestHoldGoesToLongestWait guards against holds that go to whichever task has its turn first, so that
// one with more work left waits for longer than holdAfter without a hold.
func TestHoldGoesToLongestWait(t *testing.T) {
	const now = clock.Hour
	tests := map[string][]Task{
		"a smaller task found no room before": {
			batchOf("new", sizeGiB(3, 4, 0), WithSubmitted(now), WithRunTime(clock.Minute)),
			batchOf("old", sizeGiB(12, 40, 0), WithSubmitted(now-15*clock.Minute), WithRunTime(clock.Hour)),
		},
		"a job with less work left waits too": {
			batchOf("later", sizeGiB(12, 40, 0), WithSubmitted(now-3*clock.Minute), WithRunTime(clock.Minute)),
			batchOf("old", sizeGiB(12, 40, 0), WithSubmitted(now-15*clock.Minute), WithRunTime(clock.Hour)),
		},
		"a wait beyond that of a higher priority": {
			batchOf("later", sizeGiB(12, 40, 0), WithSubmitted(now-3*clock.Minute), WithPriority(9), WithRunTime(clock.Minute)),
			batchOf("old", sizeGiB(12, 40, 0), WithSubmitted(now-25*clock.Minute), WithPriority(0), WithRunTime(clock.Hour)),
		},
	}
	for name, waiting := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(t)
			full := workerOf("x", "r", sizeGiB(16, 60, 0), batchOf("running", sizeGiB(16, 60, 0)))
			must.SliceEmpty(t, p.Place(now, waiting, []Worker{full}))
			must.Eq(t, "x", p.heldWorker["old"])
		})
	}
}

// TestLargeUrgentTaskIsNotStarved guards against urgent tasks that wait without a bound, because smaller
// urgent ones that came later take all room as it becomes free.
func TestLargeUrgentTaskIsNotStarved(t *testing.T) {
	for name, kind := range map[string]Kind{"service": Service, "exclusive": Exclusive, "watch": Watch} {
		t.Run(name, func(t *testing.T) {
			large := NewTask("large", "team", "large", "c", kind, sizeGiB(12, 40, 0), WithSubmitted(5*clock.Minute))
			must.True(t, startsWhile(newPlacer(t), large, Exclusive, nil))
		})
	}
}

// TestHeldWorkerServesHigherTiers guards against a hold that keeps services, or urgent tasks that go
// before a batch task, off a worker.
func TestHeldWorkerServesHigherTiers(t *testing.T) {
	tests := map[string]struct {
		holder, next Kind
		placed       bool
	}{
		"batch task holds, service comes":        {holder: Batch, next: Service, placed: true},
		"batch task holds, watch job comes":      {holder: Batch, next: Watch, placed: true},
		"watch job holds, service comes":         {holder: Watch, next: Service, placed: true},
		"service holds, another comes":           {holder: Service, next: Service, placed: true},
		"service holds, watch job comes":         {holder: Service, next: Watch},
		"watch job holds, exclusive task comes":  {holder: Watch, next: Exclusive},
		"exclusive task holds, batch task comes": {holder: Exclusive, next: Batch},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(t)
			x := workerOf("x", "r", sizeGiB(16, 60, 0), NewTask("e", "team", "e", "e", Exclusive, sizeGiB(10, 10, 0)))
			large := NewTask("large", "team", "large", "c", tc.holder, sizeGiB(12, 40, 0), WithSubmitted(1))
			must.SliceEmpty(t, p.Place(clock.Hour, []Task{large}, []Worker{x}))
			must.Eq(t, "x", p.heldWorker["large"])
			next := NewTask("next", "team", "next", "c", tc.next, sizeGiB(2, 2, 0), WithSubmitted(clock.Hour))
			must.Eq(t, tc.placed, len(p.Place(clock.Hour+1, []Task{large, next}, []Worker{x})) == 1)
		})
	}
}

// TestHeldRoomIsNotPreempted guards against an urgent task that evicts batch tasks on a worker that is
// held for another urgent task, and so takes the room for which that one waits.
func TestHeldRoomIsNotPreempted(t *testing.T) {
	p := newPlacer(t)
	x := workerOf("x", "r", sizeGiB(16, 60, 0), NewTask("e", "team", "e", "e", Exclusive, sizeGiB(10, 10, 0)), batchOf("b", sizeGiB(6, 10, 0)))
	large := NewTask("large", "team", "large", "c", Watch, sizeGiB(12, 40, 0), WithSubmitted(1))
	must.SliceEmpty(t, p.Place(clock.Hour, []Task{large}, []Worker{x}))
	must.Eq(t, "x", p.heldWorker["large"])
	next := NewTask("next", "team", "next", "c", Exclusive, sizeGiB(2, 2, 0), WithSubmitted(clock.Hour))
	must.SliceEmpty(t, p.Place(clock.Hour+1, []Task{large, next}, []Worker{x}))
}

// TestHoldEndsOverQuota guards against a hold for a task that its team's quota refuses, which keeps
// other teams' tasks off the worker for as long as the team holds its quota.
func TestHoldEndsOverQuota(t *testing.T) {
	p := newPlacer(t)
	capacity := sizeGiB(16, 60, 0)
	large := batchOf("large", sizeGiB(12, 40, 0), WithSubmitted(1))
	other := NewTask("other", "others", "other", "c", Batch, sizeGiB(4, 4, 0), WithSubmitted(clock.Hour))
	x := workerOf("x", "r", capacity, batchOf("a", sizeGiB(8, 10, 0)))
	must.SliceEmpty(t, p.Place(clock.Hour, []Task{large}, []Worker{x}))
	must.Eq(t, "x", p.heldWorker["large"])
	p.SetQuota("team", sizeGiB(16, 60, 0))
	p.Place(clock.Hour+1, []Task{large}, []Worker{x})
	must.Len(t, 1, p.Place(clock.Hour+2, []Task{large, other}, []Worker{x}))
}

// TestLargeTaskIsNotStarvedByQuota guards against a task that fits its team's quota but never what is
// left of it, because smaller tasks of the team that came later take what becomes free.
func TestLargeTaskIsNotStarvedByQuota(t *testing.T) {
	for name, tc := range map[string]struct{ large, small Kind }{
		"batch":                       {large: Batch, small: Batch},
		"exclusive":                   {large: Exclusive, small: Exclusive},
		"watch behind exclusive":      {large: Watch, small: Exclusive},
		"service behind batch":        {large: Service, small: Batch},
		"service behind exclusive":    {large: Service, small: Exclusive},
		"exclusive task behind batch": {large: Exclusive, small: Batch},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(t)
			p.SetQuota("team", sizeGiB(10, 40, 0))
			large := NewTask("large", "team", "large", "c", tc.large, sizeGiB(8, 20, 0), WithSubmitted(5*clock.Minute))
			must.True(t, startsWhile(p, large, tc.small, nil))
		})
	}
}
