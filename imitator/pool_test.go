package imitator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/scheduler"
)

// TestPoolLeases checks what a refused start does to the lease of another run.
func TestPoolLeases(t *testing.T) {
	start := scheduler.Order{Kind: scheduler.Start, Task: scheduler.TaskName{Job: "a"}, Attempt: 2, Deadline: 5 * clock.Second}
	older, other := start, start
	older.Attempt, older.Deadline = 1, clock.Hour
	other.Task.Job, other.Deadline = "b", clock.Hour
	tests := map[string]struct {
		maxLease clock.Millis
		refused  scheduler.Order
		outcome  scheduler.Outcome
		after    time.Duration
		active   int
	}{
		"no limit":                 {refused: older, outcome: scheduler.Obsolete, after: 50 * time.Minute, active: 1},
		"limit":                    {maxLease: 6 * clock.Second, refused: older, outcome: scheduler.Obsolete, after: 7 * time.Second},
		"extended by an old start": {maxLease: 9 * clock.Second, refused: older, outcome: scheduler.Obsolete, after: 7 * time.Second, active: 1},
		"extended without room":    {maxLease: 9 * clock.Second, refused: other, outcome: scheduler.NoRoom, after: 7 * time.Second, active: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := NewPool(1, 1, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return clock.Hour, scheduler.EndDone }, nil)
				p.SetMaxLease(tc.maxLease)
				l := p.Life("w0")
				must.Eq(t, scheduler.Done, l.Send(start, 1))
				must.Eq(t, tc.outcome, l.Send(tc.refused, 1))
				time.Sleep(tc.after)
				r, out := l.Poll(t.Context(), conductor.PollRequest{}, 1)
				must.Eq(t, scheduler.Done, out)
				must.Len(t, tc.active, r.Active)
				p.Kill("w0")
			})
		})
	}
}

// TestGapBeginsWithLapse guards against taking a run for active after its lease has expired because
// nobody has called its worker since.
func TestGapBeginsWithLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(2, 1, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return clock.Hour, scheduler.EndDone }, nil)
		start := scheduler.Order{Kind: scheduler.Start, Task: scheduler.TaskName{Job: "a"}, Attempt: 1, Deadline: 5 * clock.Second}
		must.Eq(t, scheduler.Done, p.Life("w0").Send(start, 1))
		time.Sleep(8 * time.Second)
		gaps := p.Gaps("a")
		must.Len(t, 1, gaps)
		must.Eq(t, 3*clock.Second, gaps[0].Length())
		must.True(t, gaps[0].Open())
		start.Attempt, start.Deadline = 2, clock.Hour
		must.Eq(t, scheduler.Done, p.Life("w1").Send(start, 1))
		time.Sleep(time.Second)
		gaps = p.Gaps("a")
		must.Len(t, 1, gaps)
		must.Eq(t, 3*clock.Second, gaps[0].Length())
		must.False(t, gaps[0].Open())
		must.SliceEmpty(t, p.Violations())
	})
}

// TestExpectedRunCountsIfBegunBefore guards against a first run that is not counted because it began
// before the answer to the submission of its job.
func TestExpectedRunCountsIfBegunBefore(t *testing.T) {
	for name, begunBefore := range map[string]bool{"begun before": true, "begun after": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := NewPool(1, 1, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return clock.Hour, scheduler.EndDone }, nil)
				start := scheduler.Order{Kind: scheduler.Start, Task: scheduler.TaskName{Job: "a"}, Attempt: 1, Deadline: clock.Hour}
				if begunBefore {
					must.Eq(t, scheduler.Done, p.Life("w0").Send(start, 1))
				}
				time.Sleep(time.Second)
				p.ExpectRun(start.Task.String())
				must.Eq(t, scheduler.Done, p.Life("w0").Send(start, 1))
				gaps := p.Gaps("a")
				must.Len(t, 1, gaps)
				must.Eq(t, 0, gaps[0].Length())
				must.False(t, gaps[0].Open())
				p.Kill("w0")
			})
		})
	}
}

// TestSlowClockProlongsLease checks that a lease ends by the worker's own clock.
func TestSlowClockProlongsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(1, 1, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return clock.Hour, scheduler.EndDone }, nil)
		p.SetClockRate("w0", 0.5)
		start := scheduler.Order{Kind: scheduler.Start, Task: scheduler.TaskName{Job: "a"}, Attempt: 1, Deadline: 5 * clock.Second}
		must.Eq(t, scheduler.Done, p.Life("w0").Send(start, 1))
		time.Sleep(9 * time.Second)
		must.SliceEmpty(t, p.Gaps("a"))
		must.Eq(t, 4500, p.Life("w0").Clock())
		time.Sleep(2 * time.Second)
		gaps := p.Gaps("a")
		must.Len(t, 1, gaps)
		must.Eq(t, clock.Second, gaps[0].Length())
	})
}

// TestCrashesUnderCountsRuns checks that the ends of a worker's processes count for the tasks that ran
// there, and for no others.
func TestCrashesUnderCountsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(2, 2, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return clock.Hour, scheduler.EndDone }, nil)
		start := func(worker, job string, attempt int) {
			o := scheduler.Order{Kind: scheduler.Start, Task: scheduler.TaskName{Job: job}, Attempt: attempt, Deadline: clock.Hour}
			must.Eq(t, scheduler.Done, p.Life(worker).Send(o, 1))
		}
		start("w0", "a", 1)
		start("w1", "b", 1)
		p.Restart("w0")
		start("w0", "a", 2)
		p.Restart("w0")
		p.Restart("w0")
		must.Eq(t, 2, p.CrashesUnder("a"))
		must.Eq(t, 0, p.CrashesUnder("b"))
		p.Kill("w0")
		p.Kill("w1")
	})
}
