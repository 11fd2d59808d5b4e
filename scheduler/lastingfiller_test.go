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
	f := &lastingFillers{harness: newHarness(workers), runs: map[string][]Order{}, numbers: map[string]int64{}, paces: map[string]int{}, tail: servingTarget / 2, weight: weight}
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
			f.paces[o.Task.String()] = 100
		case Pace:
			f.paces[o.Task.String()] = o.Percent
		}
	}
}

func (f *lastingFillers) reportWorker(w *worker, ended ...EndedRun) {
	active := activeRuns(f.runs[w.info.ID]...)
	for i, o := range f.runs[w.info.ID] {
		if f.Scheduler.jobs[o.Task.Job].spec.Steps[o.Task.Step].Objective > 0 {
			active[i].Percent, active[i].Measurement = 100, f.tail
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
