package quarantiner

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
)

// bench runs tasks to their end, one after another.
type bench struct {
	q    *Quarantiner
	now  clock.Millis
	task int
}

func newBench(t *testing.T) *bench {
	t.Helper()
	q, err := New()
	must.NoError(t, err)
	return &bench{q: q, now: clock.Hour}
}

func (b *bench) run(worker, job string, fails bool) {
	b.now += clock.Second
	b.task++
	id := job + "/" + strconv.Itoa(b.task)
	b.q.Started(b.now, worker, id)
	if fails {
		b.q.Failed(b.now, worker, id, job, coder.Failed, "exit 1")
		return
	}
	b.q.Succeeded(worker, id, job)
}

func TestLifeTable(t *testing.T) {
	tests := map[string]struct {
		from, event, to string
	}{
		"a failure raises suspicion": {Healthy, eventFail, Suspect},
		"a success clears":           {Suspect, eventClear, Healthy},
		"suspicion grows":            {Suspect, eventQuarantine, Quarantined},
		"the wait is over":           {Quarantined, eventProbe, Probing},
		"the probe fails":            {Probing, eventQuarantine, Quarantined},
		"the probes succeed":         {Probing, eventRestore, Healthy},
	}
	steps := 0
	for _, e := range life {
		steps += len(e.Src)
	}
	must.MapLen(t, steps, tests)
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorker()
			w.life.SetState(tc.from)
			must.True(t, w.fire(tc.event))
			must.Eq(t, tc.to, w.state())
		})
	}
	w := newWorker()
	for _, event := range []string{eventClear, eventQuarantine, eventProbe, eventRestore} {
		must.False(t, w.fire(event))
	}
}

func TestBadWorker(t *testing.T) {
	tests := map[string]struct {
		before func(*bench)
		jobs   []string
		want   string
	}{
		"three jobs fail":               {jobs: []string{"a", "b", "c"}, want: Quarantined},
		"one unknown job fails thrice":  {jobs: []string{"a", "a", "a"}, want: Suspect},
		"a job that runs elsewhere":     {before: func(b *bench) { b.run("good", "a", false) }, jobs: []string{"a", "a", "a"}, want: Quarantined},
		"two jobs":                      {jobs: []string{"a", "b"}, want: Suspect},
		"jobs that fail everywhere too": {before: func(b *bench) { impossible(b, "a", "b", "c") }, jobs: []string{"a", "b", "c"}, want: Suspect},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			if tc.before != nil {
				tc.before(b)
			}
			for _, j := range tc.jobs {
				b.run("w", j, true)
			}
			must.Eq(t, tc.want, b.q.State("w"))
		})
	}
}

// impossible lets jobs fail on two workers that run other work.
func impossible(b *bench, jobs ...string) {
	for _, j := range jobs {
		for _, w := range []string{"x", "y"} {
			b.run(w, "fine", false)
			b.run(w, j, true)
		}
	}
}

func TestImpossibleJobIsParked(t *testing.T) {
	b := newBench(t)
	for _, w := range []string{"x", "y", "z"} {
		_, parked := b.q.Parked("bad")
		must.False(t, parked)
		b.run(w, "fine", false)
		b.run(w, "bad", true)
		must.True(t, b.q.Avoids("bad", w))
	}
	p, parked := b.q.Parked("bad")
	must.True(t, parked)
	must.Eq(t, coder.Failed, p.Code())
	must.Eq(t, "exit 1", p.Reason())
	must.Eq(t, []string{"x", "y", "z"}, p.Workers())
	must.False(t, b.q.Ready(b.now+clock.Day, "bad"))
	for _, w := range []string{"x", "y", "z"} {
		b.run(w, "fine", false)
		must.Eq(t, Healthy, b.q.State(w))
	}
	must.True(t, b.q.Rested(b.now+longestRetry, "bad"))
	must.Eq(t, []string{"bad"}, b.q.AllParked())
	b.q.Unpark("bad")
	must.True(t, b.q.Ready(b.now, "bad"))
}

// TestJobsOnBadWorkersAreNotParked has three bad workers fail a good job before
// each is found out.
func TestJobsOnBadWorkersAreNotParked(t *testing.T) {
	b := newBench(t)
	b.run("ok", "good", false)
	for _, w := range []string{"x", "y", "z"} {
		b.run(w, "good", true)
	}
	for _, w := range []string{"x", "y", "z"} {
		for _, j := range []string{"a", "b", "c"} {
			b.run("ok", j, false)
			b.run(w, j, true)
		}
		must.Eq(t, Quarantined, b.q.State(w))
	}
	_, parked := b.q.Parked("good")
	must.False(t, parked)
}

func TestFastFailingWorkerTakesOneAtATime(t *testing.T) {
	b := newBench(t)
	b.run("w", "a", true)
	must.True(t, b.q.Admits(b.now, "w", false))
	b.q.Started(b.now, "w", "next")
	must.False(t, b.q.Admits(b.now, "w", false))
	must.True(t, b.q.Admits(b.now+defaultProof, "w", false))
	b.q.Left("w", "next")
	must.True(t, b.q.Admits(b.now, "w", false))
}

func TestProbes(t *testing.T) {
	b := newBench(t)
	for _, j := range []string{"a", "b", "c"} {
		b.run("w", j, true)
	}
	must.False(t, b.q.Admits(b.now, "w", true))
	for n := range 10 {
		wait := min(defaultFirst<<n, defaultLongest)
		must.False(t, b.q.Admits(b.now+wait-1, "w", true))
		b.now += wait
		must.True(t, b.q.Admits(b.now, "w", true))
		must.False(t, b.q.Admits(b.now, "w", false))
		b.now -= clock.Second
		b.run("w", "a", true)
		must.Eq(t, Quarantined, b.q.State("w"))
	}
	b.now += defaultLongest
	b.run("w", "a", false)
	must.Eq(t, Probing, b.q.State("w"))
	b.run("w", "a", false)
	must.Eq(t, Healthy, b.q.State("w"))
	must.True(t, b.q.Admits(b.now, "w", false))
}

func TestCancelBurstIsNoVerdict(t *testing.T) {
	b := newBench(t)
	for i := range 5000 {
		id := strconv.Itoa(i)
		b.q.Started(b.now, "w", id)
		b.q.Left("w", id)
		b.q.Left("w", id)
	}
	must.Eq(t, Healthy, b.q.State("w"))
	must.MapEmpty(t, b.q.workers["w"].pending)
}

// TestTold has random bad workers and impossible jobs among good ones: none of
// the good is ever held back for long, and all of the bad is found.
func TestTold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBench(t)
		bad := map[string]bool{"w" + strconv.Itoa(rapid.IntRange(0, 9).Draw(rt, "worker")): true}
		never := map[string]bool{"j" + strconv.Itoa(rapid.IntRange(0, 9).Draw(rt, "job")): true}
		for range 600 {
			w := "w" + strconv.Itoa(rapid.IntRange(0, 9).Draw(rt, "w"))
			j := "j" + strconv.Itoa(rapid.IntRange(0, 9).Draw(rt, "j"))
			b.now += clock.Second
			if !b.q.Ready(b.now, j) || !b.q.Admits(b.now, w, true) || b.q.Avoids(j, w) {
				continue
			}
			b.run(w, j, bad[w] || never[j])
		}
		for i := range 10 {
			w, j := "w"+strconv.Itoa(i), "j"+strconv.Itoa(i)
			_, parked := b.q.Parked(j)
			must.Eq(rt, never[j], parked, must.Sprint(j))
			held := b.q.State(w) == Quarantined || b.q.State(w) == Probing
			must.Eq(rt, bad[w], held, must.Sprint(w))
		}
	})
}
