package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/rescuer"
)

// lastingFillers plays workers with serving tasks that fillers of image f disturb, at a normal user load.
type lastingFillers struct {
	*harness
	runs    map[string][]Order
	numbers map[string]int64
	// paces are the last ordered paces, by task.
	paces map[string]int
	// startedAt is when the tasks last started; those that end make progress from then on.
	startedAt map[TaskName]clock.Millis
	// tail is the reported tail latency of the serving tasks, weight the constant weight of the fillers.
	tail   int64
	weight float64
}

const (
	// maxFillerWait is the part of maxLastingGap that the end of a lease leaves for the next run.
	maxFillerWait  = maxLastingGap - 6*clock.Second
	servingTarget  = 40
	harmlessWeight = 1
	severeWeight   = 60
)

// newLastingFillers returns a play with the given weight of the fillers.
func newLastingFillers(t *testing.T, workers int, weight float64) *lastingFillers {
	t.Helper()
	f := &lastingFillers{harness: newHarness(workers), runs: map[string][]Order{}, numbers: map[string]int64{}, paces: map[string]int{}, startedAt: map[TaskName]clock.Millis{}, tail: servingTarget / 2, weight: weight}
	f.submit(t, "serving", Step{Count: workers, CPU: 1000, PerWorker: 1, LongRunning: true, Objective: servingTarget, Image: "s"})
	f.play(600)
	return f
}

func (f *lastingFillers) setWeight() {
	m := f.sensitivityOf("s")
	i := m.indexOf("f")
	m.weights[i], m.evidence[i] = f.weight, 1
}

func (f *lastingFillers) play(d clock.Millis) {
	for end := f.clock.Now() + d; f.clock.Now() < end; {
		f.round()
	}
}

// round plays 100 ms.
func (f *lastingFillers) round() {
	f.clock.Advance(100)
	for _, w := range f.sortedWorkers() {
		if w.registered {
			f.Lease(w.info.ID, w.info.Born)
			f.reportWorker(w)
		}
	}
	f.setWeight()
	f.Sweep()
	for _, o := range append(f.TakeImmediateOrders(), f.placeAndStore()...) {
		f.OrderAnswered(o, Done)
		switch o.Kind {
		case Start:
			f.runs[o.Worker] = append(f.runs[o.Worker], o)
			f.paces[o.Task.String()], f.startedAt[o.Task] = 100, f.clock.Now()
		case Pace:
			f.paces[o.Task.String()] = o.Percent
		}
	}
}

func (f *lastingFillers) reportWorker(w *worker, ended ...EndedRun) {
	active := activeRuns(f.runs[w.info.ID]...)
	for i, o := range f.runs[w.info.ID] {
		step := &f.jobs[o.Task.Job].spec.Steps[o.Task.Step]
		active[i].Percent = 100
		if !step.LongRunning {
			active[i].Percent = min(int((f.clock.Now()-f.startedAt[o.Task])/100), 99)
		}
		if step.Objective > 0 {
			active[i].Measurement = f.tail
		}
	}
	f.Report(Report{Worker: w.info.ID, Born: w.info.Born, Clock: f.clock.Now(), Sent: f.clock.Now(), Active: active, Ended: ended})
}

// end ends the runs of a job.
func (f *lastingFillers) end(job string, how Ending) {
	for _, w := range f.sortedWorkers() {
		var kept []Order
		var ended []EndedRun
		for _, o := range f.runs[w.info.ID] {
			if o.Task.Job != job {
				kept = append(kept, o)
				continue
			}
			f.numbers[w.info.ID]++
			ended = append(ended, endedRun(f.numbers[w.info.ID], o, how))
		}
		f.runs[w.info.ID] = kept
		f.reportWorker(w, ended...)
	}
}

// running returns the number of runs of a job.
func (f *lastingFillers) running(job string) int {
	n := 0
	for _, os := range f.runs {
		for _, o := range os {
			if o.Task.Job == job {
				n++
			}
		}
	}
	return n
}

// TestLastingFillerRunsWithinBound guards against a long-running filler that waits without a bound because
// it disturbs the serving tasks of each worker that has room for it.
func TestLastingFillerRunsWithinBound(t *testing.T) {
	filler := Step{Count: 1, CPU: 1500, Memory: 100, LongRunning: true, Filler: true, Image: "f"}
	of := func(count int) Step { o := filler; o.Count = count; return o }
	tests := map[string]struct {
		step   Step
		weight float64
		// before is called before the job of the fillers comes.
		before func(t *testing.T, f *lastingFillers)
	}{
		"harmless":                 {step: filler, weight: harmlessWeight},
		"disturbs":                 {step: filler, weight: severeWeight},
		"several":                  {step: of(4), weight: severeWeight},
		"of a job with other runs": {step: of(3), weight: severeWeight},
		"others wait longer and have no room": {step: of(2), weight: severeWeight, before: func(t *testing.T, f *lastingFillers) {
			t.Helper()
			for i := range rescuer.MaxStarts {
				f.submit(t, fmt.Sprint("large", i), Step{Count: 3, CPU: 100, Memory: 20_000, LongRunning: true, Filler: true, Image: "f"})
			}
			f.play(5 * clock.Second)
		}},
		"fillers that end have taken the rescued runs": {step: filler, weight: severeWeight, before: func(t *testing.T, f *lastingFillers) {
			t.Helper()
			for i := range 2 {
				f.submit(t, fmt.Sprint("finite", i), Step{Count: 1, CPU: 100, Memory: 100, Filler: true, Image: "f"})
			}
			f.play(15 * clock.Second)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newLastingFillers(t, 2, tc.weight)
			if tc.before != nil {
				tc.before(t, f)
			}
			f.submit(t, "filler", tc.step)
			for run := range 3 {
				waited := clock.Millis(0)
				for f.running("filler") < tc.step.Count {
					must.Less(t, maxFillerWait, waited, must.Sprintf("run %d: %d of %d run", run, f.running("filler"), tc.step.Count))
					f.round()
					waited += 100
				}
				t.Logf("run %d: waited %d ms", run, waited)
				f.play(clock.Second)
				f.end("filler", EndDone)
			}
		})
	}
}

// TestLastingFillerIsPausedBesideViolation guards against a long-running filler that starts beside a serving
// task which violates its objective, and works on there.
func TestLastingFillerIsPausedBesideViolation(t *testing.T) {
	f := newLastingFillers(t, 1, severeWeight)
	f.tail = 2 * servingTarget
	f.play(clock.Second)
	f.submit(t, "filler", Step{Count: 1, CPU: 1500, Memory: 100, LongRunning: true, Filler: true, Checkpointing: true, Image: "f"})
	for waited := clock.Millis(0); f.running("filler") == 0; waited += 100 {
		must.Less(t, maxFillerWait, waited)
		f.round()
	}
	// The worker reports the run, and its pace is next adjusted within paceInterval.
	f.play(paceInterval + 100)
	must.Zero(t, f.paces["filler.0.0.0"])
	f.play(10 * clock.Second)
	must.Zero(t, f.paces["filler.0.0.0"])
	must.Eq(t, 1, f.running("filler"), must.Sprint("the run has not gone on"))
	f.tail = servingTarget / 2
	f.weight = harmlessWeight
	f.play(3 * clock.Second)
	must.Eq(t, 100, f.paces["filler.0.0.0"])
}

// TestLastingFillersLeaveRescues guards against long-running fillers that use up, without end, the rescued
// runs of jobs that end by themselves.
func TestLastingFillersLeaveRescues(t *testing.T) {
	f := newLastingFillers(t, 2, severeWeight)
	f.submit(t, "filler", Step{Count: 4, CPU: 500, Memory: 100, LongRunning: true, Filler: true, Image: "f"})
	f.play(maxFillerWait)
	must.Eq(t, 4, f.running("filler"))
	f.submit(t, "finite", Step{Count: 1, CPU: 500, Memory: 100, Filler: true, Image: "f"})
	f.play(rescuer.MaxIdle + clock.Second)
	must.Eq(t, 1, f.running("finite"))
}

// TestLastingSuspectRunsWithinBound guards against a long-running task that is tried alone and waits for
// longer than a trial may, while workers have room.
func TestLastingSuspectRunsWithinBound(t *testing.T) {
	const workers = 10
	lasting := Step{Count: 1, CPU: 500, Memory: 100, LongRunning: true, Image: "f"}
	of := func(count int, change func(o *Step)) Step {
		o := lasting
		o.Count = count
		change(&o)
		return o
	}
	tests := map[string]struct {
		step Step
		// longest bounds the wait of all suspects; it is maxTrialWait plus emptyingTime if it is 0. Each
		// worker tries one at a time.
		longest clock.Millis
		// each is called before each round of placing.
		each func(t *testing.T, f *lastingFillers, waited clock.Millis)
	}{
		"one":  {step: lasting},
		"many": {step: of(4*workers, func(*Step) {}), longest: maxTrialWait + 4*(proofTime+200)},
		"large one, others wait for room too": {step: of(1, func(o *Step) { o.CPU = 4000 }), each: func(t *testing.T, f *lastingFillers, waited clock.Millis) {
			t.Helper()
			f.submit(t, fmt.Sprint("other", waited), Step{Count: 3, CPU: 7500, LongRunning: true})
		}},
		"small tasks that last come all the while": {step: of(1, func(o *Step) { o.CPU = 6500 }), each: func(t *testing.T, f *lastingFillers, waited clock.Millis) {
			t.Helper()
			f.submit(t, fmt.Sprint("other", waited), Step{Count: 1, CPU: 100, LongRunning: true})
		}},
		"kept workers go away": {step: lasting, each: func(_ *testing.T, f *lastingFillers, waited clock.Millis) {
			if w := f.findTask("suspect.0.0.0").trialWorker; w != nil && waited%(clock.Second) == 0 {
				f.RemoveWorker(w.info.ID)
			}
		}},
		"kept workers refuse": {step: lasting, each: func(_ *testing.T, f *lastingFillers, waited clock.Millis) {
			if w := f.findTask("suspect.0.0.0").trialWorker; w != nil && waited%(clock.Second) == 0 {
				w.blockedUntil = f.clock.Now() + 10*clock.Second
			}
		}},
		"filler":       {step: of(1, func(o *Step) { o.Filler = true })},
		"many fillers": {step: of(workers, func(o *Step) { o.Filler = true })},
		"filler beside violated objectives": {step: of(1, func(o *Step) { o.Filler = true }), each: func(_ *testing.T, f *lastingFillers, _ clock.Millis) {
			f.tail = 2 * servingTarget
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newLastingFillers(t, workers, severeWeight)
			f.submit(t, "suspect", tc.step)
			for i := range tc.step.Count {
				f.findTask(fmt.Sprint("suspect.0.0.", i)).suspicion = isolationSuspicion
			}
			waited, longest := clock.Millis(0), max(tc.longest, maxTrialWait+emptyingTime)
			for f.running("suspect") < tc.step.Count {
				must.LessEq(t, longest, waited, must.Sprintf("%d of %d run", f.running("suspect"), tc.step.Count))
				if tc.each != nil {
					tc.each(t, f, waited)
				}
				f.round()
				waited += 100
			}
			t.Logf("waited %d ms", waited)
		})
	}
}

// TestFillerOfLastingJobGetsRun guards against a filler that ends by itself and waits without a bound because
// a later step of its job is long-running.
func TestFillerOfLastingJobGetsRun(t *testing.T) {
	f := newLastingFillers(t, 2, severeWeight)
	f.submit(t, "job", Step{Count: 1, CPU: 1500, Memory: 100, Filler: true, Image: "f"}, Step{Count: 1, CPU: 100, LongRunning: true, After: []int{0}})
	f.play(rescuer.MaxIdle + clock.Second)
	must.Eq(t, 1, f.running("job"))
}

// TestSmallFillersLeaveLastingOnesRoom guards against long-running fillers that wait for as long as smaller
// fillers come, which take the processors that serving tasks leave.
func TestSmallFillersLeaveLastingOnesRoom(t *testing.T) {
	const (
		warmUp, runTime = 20 * clock.Second, 2 * clock.Second
		// maxWait is the wait from which a long-running filler is due, and the longest runs that it
		// then waits for: those that start just before.
		maxWait = rescuer.MaxLastingWait + runTime + clock.Second
	)
	tests := map[string]struct{ workers, count int }{"two workers": {workers: 2, count: 1}, "ten workers, one after the other": {workers: 10, count: 2}}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newLastingFillers(t, tc.workers, harmlessWeight)
			started, small := map[string]clock.Millis{}, 0
			for waited := -warmUp; f.running("filler") < tc.count; waited += 100 {
				must.Less(t, maxWait*clock.Millis(tc.count), waited, must.Sprintf("%d of %d run", f.running("filler"), tc.count))
				if waited == 0 {
					f.submit(t, "filler", Step{Count: tc.count, CPU: 3000, Memory: 100, LongRunning: true, Filler: true, Image: "f"})
				}
				for range tc.workers / 2 {
					id := fmt.Sprint("small", small)
					f.submit(t, id, Step{Count: 1, CPU: 500, Memory: 100, Estimate: runTime, Filler: true, Image: "f"})
					started[id], small = 0, small+1
				}
				f.round()
				for id, at := range started {
					switch {
					case f.running(id) == 0:
					case at == 0:
						started[id] = f.clock.Now()
					case f.clock.Now()-at >= runTime:
						f.end(id, EndDone)
						delete(started, id)
					}
				}
			}
		})
	}
}
