package quarantiner

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
)

// harness runs tasks one after another on a virtual clock.
type harness struct {
	q    *Quarantiner
	now  clock.Millis
	task int
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	q, err := New()
	must.NoError(t, err)
	return &harness{q: q, now: clock.Hour}
}

func (b *harness) run(worker, job string, fails bool) {
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

func TestWorkerTransitions(t *testing.T) {
	tests := map[string]struct {
		from, event, to string
	}{
		"a failure raises suspicion": {Healthy, eventFail, Suspect},
		"a success clears":           {Suspect, eventClear, Healthy},
		"enough failures quarantine": {Suspect, eventQuarantine, Quarantined},
		"a task starts as a probe":   {Quarantined, eventProbe, Probing},
		"the probe fails":            {Probing, eventQuarantine, Quarantined},
		"the probes succeed":         {Probing, eventRestore, Healthy},
	}
	steps := 0
	for _, e := range transitions {
		steps += len(e.Src)
	}
	must.MapLen(t, steps, tests)
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorker()
			w.lifecycle.SetState(tc.from)
			must.True(t, w.fire(tc.event))
			must.Eq(t, tc.to, w.state())
		})
	}
	w := newWorker()
	for _, event := range []string{eventClear, eventQuarantine, eventProbe, eventRestore} {
		must.False(t, w.fire(event))
	}
}

func TestWorkerQuarantine(t *testing.T) {
	tests := map[string]struct {
		before func(*harness)
		jobs   []string
		want   string
	}{
		"three jobs fail": {jobs: []string{"a", "b", "c"}, want: Quarantined},
		"a job without a success fails three times": {jobs: []string{"a", "a", "a"}, want: Suspect},
		"a job that succeeds elsewhere":             {before: func(b *harness) { b.run("good", "a", false) }, jobs: []string{"a", "a", "a"}, want: Quarantined},
		"two jobs":                                  {jobs: []string{"a", "b"}, want: Suspect},
		"jobs that fail on other workers too":       {before: func(b *harness) { failOnOtherWorkers(b, "a", "b", "c") }, jobs: []string{"a", "b", "c"}, want: Suspect},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
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

// failOnOtherWorkers makes jobs fail on two workers that run another job successfully.
func failOnOtherWorkers(b *harness, jobs ...string) {
	for _, j := range jobs {
		for _, w := range []string{"x", "y"} {
			b.run(w, "fine", false)
			b.run(w, j, true)
		}
	}
}

// A job that fails on three workers is parked, and those workers stay healthy.
func TestFailingJobIsParked(t *testing.T) {
	b := newHarness(t)
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
	must.False(t, b.q.RetryAllowed(b.now+clock.Day, "bad"))
	for _, w := range []string{"x", "y", "z"} {
		b.run(w, "fine", false)
		must.Eq(t, Healthy, b.q.State(w))
	}
	must.True(t, b.q.BackoffElapsed(b.now+maxRetryDelay, "bad"))
	must.Eq(t, []string{"bad"}, b.q.AllParked())
	b.q.Unpark("bad")
	must.True(t, b.q.RetryAllowed(b.now, "bad"))
}

// A good job fails on three faulty workers and is parked before any of them is quarantined.
// It must be unparked once the workers are quarantined.
func TestJobsOnBadWorkersAreNotParked(t *testing.T) {
	b := newHarness(t)
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

// A suspect worker must get no second task within a minute after a running task started.
// Otherwise a faulty worker would fail many tasks at once.
func TestSuspectWorkerAdmission(t *testing.T) {
	b := newHarness(t)
	b.run("w", "a", true)
	must.True(t, b.q.Admits(b.now, "w", false))
	b.q.Started(b.now, "w", "next")
	must.False(t, b.q.Admits(b.now, "w", false))
	must.True(t, b.q.Admits(b.now+defaultFastFailWindow, "w", false))
	b.q.Interrupted("w", "next")
	must.True(t, b.q.Admits(b.now, "w", false))
}

// The time before a probe doubles with each failed probe, and two successful probes
// restore the worker.
func TestProbeBackoff(t *testing.T) {
	b := newHarness(t)
	for _, j := range []string{"a", "b", "c"} {
		b.run("w", j, true)
	}
	must.False(t, b.q.Admits(b.now, "w", true))
	for n := range 10 {
		wait := min(defaultFirstBackoff<<n, defaultMaxBackoff)
		must.False(t, b.q.Admits(b.now+wait-1, "w", true))
		b.now += wait
		must.True(t, b.q.Admits(b.now, "w", true))
		must.False(t, b.q.Admits(b.now, "w", false))
		b.now -= clock.Second
		b.run("w", "a", true)
		must.Eq(t, Quarantined, b.q.State("w"))
	}
	b.now += defaultMaxBackoff
	b.run("w", "a", false)
	must.Eq(t, Probing, b.q.State("w"))
	b.run("w", "a", false)
	must.Eq(t, Healthy, b.q.State("w"))
	must.True(t, b.q.Admits(b.now, "w", false))
}

// Interrupted tasks must not count as failures, nor stay recorded as running.
func TestInterruptedTasksAreIgnored(t *testing.T) {
	b := newHarness(t)
	for i := range 5000 {
		id := strconv.Itoa(i)
		b.q.Started(b.now, "w", id)
		b.q.Interrupted("w", id)
		b.q.Interrupted("w", id)
	}
	must.Eq(t, Healthy, b.q.State("w"))
	must.MapEmpty(t, b.q.workers["w"].pending)
}

// Of ten workers one is faulty, and of ten jobs one always fails. After 600 random tasks,
// only the faulty worker must be quarantined or probing, and only the failing job parked.
func TestFaultAttribution(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newHarness(t)
		bad := map[string]bool{"w" + strconv.Itoa(rapid.IntRange(0, 9).Draw(rt, "worker")): true}
		failing := map[string]bool{"j" + strconv.Itoa(rapid.IntRange(0, 9).Draw(rt, "job")): true}
		for range 600 {
			w := "w" + strconv.Itoa(rapid.IntRange(0, 9).Draw(rt, "w"))
			j := "j" + strconv.Itoa(rapid.IntRange(0, 9).Draw(rt, "j"))
			b.now += clock.Second
			if !b.q.RetryAllowed(b.now, j) || !b.q.Admits(b.now, w, true) || b.q.Avoids(j, w) {
				continue
			}
			b.run(w, j, bad[w] || failing[j])
		}
		for i := range 10 {
			w, j := "w"+strconv.Itoa(i), "j"+strconv.Itoa(i)
			_, parked := b.q.Parked(j)
			must.Eq(rt, failing[j], parked, must.Sprint(j))
			isolated := b.q.State(w) == Quarantined || b.q.State(w) == Probing
			must.Eq(rt, bad[w], isolated, must.Sprint(w))
		}
	})
}
