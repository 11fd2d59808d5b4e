package scheduler

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

type (
	// fleet passes time with workers that answer their polls. What is stopped there is listed for the
	// time that a stop may take.
	fleet struct {
		*harness
		stops map[runName]clock.Millis
	}

	runName struct {
		task    TaskName
		attempt int
	}
)

const stopTime = 600 * clock.Millis(1)

// playUntil answers each order with what outcome returns, until all tasks run or limit has passed.
func (f *fleet) playUntil(limit clock.Millis, ts []*task, outcome func(Order) Outcome) {
	for at := f.clock.Now(); f.clock.Now()-at <= limit && !allRun(ts); {
		f.clock.Advance(100)
		for _, w := range f.sortedWorkers() {
			active := runsOf(w)
			for _, t := range w.tasks {
				at, sent := f.stops[runName{t.name(), t.attempt}]
				if t.state == running && t.stopping && (!sent || f.clock.Now()-at < stopTime) {
					active = append(active, ActiveRun{Task: t.name().String(), Attempt: t.attempt, Percent: 100})
				}
			}
			f.report(w.info.ID, active)
			f.Lease(w.info.ID, w.info.Born)
		}
		for _, o := range append(f.TakeImmediateOrders(), f.placeAndStore()...) {
			if o.Kind == Stop {
				f.stops[runName{o.Task, o.Attempt}] = f.clock.Now()
			}
			f.OrderAnswered(o, outcome(o))
		}
		f.Sweep()
		if c, ok := f.NextConsultation(); ok {
			tickets := map[string]string{}
			for _, w := range c.Workers {
				tickets[w] = "ticket"
			}
			f.ApplyVerdict(Verdict{Consultation: c, Tickets: tickets, Validity: 4 * clock.Second})
		}
	}
}

func allRun(ts []*task) bool {
	return !slices.ContainsFunc(ts, func(t *task) bool { return t.state != running || t.stopping })
}

// startBesideRefusal plays a job on empty workers that answer its starts with out, and on two workers
// that are half full and accept them. It reports whether the job runs in time.
func startBesideRefusal(t *testing.T, workers int, q *Advice, step Step, out Outcome) bool {
	t.Helper()
	f := &fleet{newHarness(workers), map[runName]clock.Millis{}}
	f.submit(t, "other", Step{Count: 2, CPU: 4000, PerWorker: 1, LongRunning: true})
	accepting := map[string]bool{}
	for _, o := range f.start() {
		accepting[o.Worker] = true
	}
	must.MapLen(t, 2, accepting)
	spec := Spec{ID: "job", Queue: Queue{Name: "p", Service: testService, MaxAttempts: 2, Slack: 2, Advice: q}, Steps: []Step{step}}
	must.NoError(t, f.Submit(spec, func(error) {}))
	ts := f.findTask("job.0.0.0").occurrence.steps[0]
	f.playUntil(maxLastingGap, ts, func(o Order) Outcome {
		if o.Kind == Start && !accepting[o.Worker] {
			return out
		}
		return Done
	})
	return allRun(ts)
}

// TestTaskStartsBesideWorkerThatRefuses guards against a task that waits on the one worker with the most
// room, which never starts it and answers otherwise, while another has room.
func TestTaskStartsBesideWorkerThatRefuses(t *testing.T) {
	outcomes := map[string]Outcome{
		"no room":            NoRoom,
		"unavailable":        Unavailable,
		"restarted":          WorkerRestarted,
		"not sent":           NotSent,
		"connection refused": ConnectionRefused,
		"rejected":           Rejected,
		"ticket":             NoTicket,
		"obsolete":           Obsolete,
	}
	steps := map[string]Step{
		"lasts":          {Count: 2, CPU: 2000, LongRunning: true, PerWorker: 1},
		"gang":           {Count: 2, CPU: 2000, LongRunning: true, PerWorker: 1, Gang: true},
		"ends by itself": {Count: 2, CPU: 2000, PerWorker: 1},
	}
	for outcome, out := range outcomes {
		for step, spec := range steps {
			t.Run(outcome+", "+step, func(t *testing.T) {
				must.True(t, startBesideRefusal(t, 3, nil, spec, out), must.Sprint("a task has no run"))
			})
		}
	}
}

// TestLastingTaskIsTakenFromWorkerThatDoesNotStartIt guards against a task that lasts and is sent without
// end to one worker, which answers its polls and neither starts nor refuses the task.
func TestLastingTaskIsTakenFromWorkerThatDoesNotStartIt(t *testing.T) {
	tests := map[string]struct {
		out  Outcome
		gang bool
	}{
		"errors":             {out: Unclear},
		"lease over":         {out: Late},
		"errors, gang":       {out: Unclear, gang: true},
		"lease over, a gang": {out: Late, gang: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			step := Step{Count: 2, CPU: 2000, LongRunning: true, Gang: tc.gang, PerWorker: 1}
			must.True(t, startBesideRefusal(t, 3, nil, step, tc.out), must.Sprint("a task has no run"))
		})
	}
}

// TestGangStartsBesideWorkersThatRefuse guards against a gang that starts again and again with a worker
// which refuses its members: the backoff of the worker is over before the other members have stopped.
func TestGangStartsBesideWorkersThatRefuse(t *testing.T) {
	advice := &Advice{Base: 100, PerWorker: 10, Validity: 4 * clock.Second}
	tests := map[string]struct {
		out     Outcome
		workers int
		advice  *Advice
		step    Step
	}{
		"no room":         {out: NoRoom, workers: 3, step: Step{Count: 2, CPU: 2000, LongRunning: true, PerWorker: 1}},
		"unavailable":     {out: Unavailable, workers: 3, step: Step{Count: 2, CPU: 2000, LongRunning: true, PerWorker: 1}},
		"not sent":        {out: NotSent, workers: 3, step: Step{Count: 2, CPU: 2000, LongRunning: true, PerWorker: 1}},
		"ticket":          {out: NoTicket, workers: 3, advice: advice, step: Step{Count: 2, CPU: 2000, LongRunning: true, PerWorker: 1}},
		"several workers": {out: NoRoom, workers: 5, step: Step{Count: 4, CPU: 1000, LongRunning: true}},
		"ends by itself":  {out: NoRoom, workers: 3, step: Step{Count: 2, CPU: 2000, PerWorker: 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tc.step.Gang = true
			must.True(t, startBesideRefusal(t, tc.workers, tc.advice, tc.step, tc.out), must.Sprint("the gang does not run"))
		})
	}
}
