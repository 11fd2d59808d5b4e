package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestLastingGangStartsAgain guards against a gang that lasts and is never started again after its runs
// have ended, however they end.
func TestLastingGangStartsAgain(t *testing.T) {
	const members = 3
	tests := map[string]struct {
		// how is how the run of the first member ends, others how those of the others do; no end at
		// all if empty.
		how, others Ending
		// takeover is whether the ends are reported to the next leader, apart whether they come in
		// reports a second apart.
		takeover, apart bool
	}{
		"all done":                             {how: EndDone, others: EndDone},
		"all done, reported apart":             {how: EndDone, others: EndDone, apart: true},
		"all done, reported to the next one":   {how: EndDone, others: EndDone, takeover: true},
		"apart, to the next one":               {how: EndDone, others: EndDone, takeover: true, apart: true},
		"one done, the others work on":         {how: EndDone},
		"one failed, the others broken":        {how: EndFailed, others: EndBroken},
		"one failed, reported to the next":     {how: EndFailed, others: EndBroken, takeover: true},
		"one lapsed, the others broken":        {how: EndLapsed, others: EndBroken},
		"one stopped, the others work on":      {how: EndStopped},
		"one done, the others lapsed (silent)": {how: EndDone, others: EndLapsed, apart: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(members)
			// Each worker has room for one member.
			b.submit(t, "job", Step{Count: members, CPU: 6000, Gang: true, LongRunning: true})
			b.Place()
			batch := b.TakeBatch()
			first := b.storeBatch(batch)
			must.SliceLen(t, members, first)
			b.answerOrders(t, first)
			if tc.takeover {
				b, _ = takeOver(t, []WorkerInfo{testWorker(0), testWorker(1), testWorker(2)}, batch.Records...)
			} else {
				for _, o := range first {
					b.report(o.Worker, activeRuns(o))
				}
			}
			b.clock.Advance(clock.Second)
			for i, o := range first {
				how := tc.others
				if i == 0 {
					how = tc.how
				}
				if how == "" {
					continue
				}
				b.report(o.Worker, nil, endedRun(1, o, how))
				if tc.apart {
					b.clock.Advance(clock.Second)
					b.storeBatch(b.TakeBatch())
				}
			}
			again := b.restartGang(t, first)
			must.SliceLen(t, members, again, must.Sprint("the gang does not run again"))
			for _, o := range again {
				must.Eq(t, again[0].Attempt, o.Attempt)
			}
			phase, err := b.Phase("job", "q", "")
			must.NoError(t, err)
			must.Eq(t, Running, phase)
		})
	}
}

// restartGang runs rounds of placing for the time in which a task that lasts has to run again. It stops the
// runs that are ordered to stop, and returns the orders to start.
func (b *harness) restartGang(t *testing.T, former []Order) []Order {
	t.Helper()
	var starts []Order
	for range maxLastingGap / 100 {
		b.clock.Advance(100)
		for _, o := range append(b.placeAndStore(), b.TakeImmediateOrders()...) {
			// The next leader may send an order of the former one again.
			if o.Kind == Start && o.Attempt > former[0].Attempt {
				starts = append(starts, o)
			}
			b.answerOrders(t, []Order{o})
		}
		for _, o := range former {
			b.Lease(o.Worker, 1)
			// A run that was stopped is missing from the report.
			b.report(o.Worker, b.activeOn(o.Worker, starts))
		}
		b.Sweep()
	}
	return starts
}

// activeOn returns the newest runs of a worker.
func (b *harness) activeOn(worker string, starts []Order) []ActiveRun {
	for _, o := range starts {
		if o.Worker == worker {
			return activeRuns(o)
		}
	}
	return nil
}

// TestLastingGangGetsRoomOfTasksThatEnd guards against a gang that lasts and waits for as long as tasks come
// that end by themselves, which take the room of each worker before that of the others is free too.
func TestLastingGangGetsRoomOfTasksThatEnd(t *testing.T) {
	waitForGang(t, Step{Count: 1, CPU: 6000, Estimate: 1500}, EndDone)
}

// TestLastingGangGetsRoomOfLastingTasks guards against the same beside long-running tasks that are cancelled
// one after the other.
func TestLastingGangGetsRoomOfLastingTasks(t *testing.T) {
	waitForGang(t, Step{Count: 1, CPU: 6000, LongRunning: true}, EndStopped)
}

// waitForGang plays a gang that needs each worker beside tasks of a step, each of which fills one.
func waitForGang(t *testing.T, step Step, how Ending) {
	t.Helper()
	const (
		workers = 3
		// interval is the time between the ends of two of the tasks.
		interval = 500 * clock.Millis(1)
		maxWait  = 3 * maxLastingGap
	)
	f := newLastingFillers(t, workers, harmlessWeight)
	submitted, ended := 0, 0
	submit := func() {
		f.submit(t, fmt.Sprint("other", submitted), step)
		submitted++
	}
	for range 2 * workers {
		submit()
	}
	f.play(interval)
	f.submit(t, "gang", Step{Count: workers, CPU: 6000, Gang: true, LongRunning: true})
	for waited := clock.Millis(0); f.running("gang") < workers; waited += interval {
		must.Less(t, maxWait, waited, must.Sprintf("the gang does not run, %d others have ended", ended))
		// The one that has run for longest ends, and another comes.
		for i := range submitted {
			id := fmt.Sprint("other", i)
			if f.running(id) == 0 {
				continue
			}
			if step.LongRunning {
				must.NoError(t, f.Cancel(id, "", func(error) {}))
			}
			f.end(id, how)
			ended++
			break
		}
		submit()
		f.play(interval)
	}
}
