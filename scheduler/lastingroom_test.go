package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestWaitNamesMissingRoom guards against a line that says that no worker has room for a long-running
// task, but not which resource is short and what holds it.
func TestWaitNamesMissingRoom(t *testing.T) {
	long := func(s Step) Step {
		s.Count, s.LongRunning = 1, true
		return s
	}
	tests := map[string]struct {
		// running is on the worker, task waits.
		running []Step
		task    Step
		retry   clock.Millis
		want    map[string]float64
	}{
		"processors, held by tasks that last": {
			running: []Step{long(Step{CPU: 5000})}, task: Step{CPU: 4000, Memory: 10},
			want: map[string]float64{"millicores": 4000, "memory-mib": 10, "lacking-cpu": 1},
		},
		"memory, held by fillers": {
			running: []Step{{Count: 1, Memory: 15000, Filler: true}}, task: Step{CPU: 1, Memory: 2000},
			want: map[string]float64{"millicores": 1, "memory-mib": 2000, "lacking-memory": 1, "fits-without-fillers": 1, "fits-without-finite": 1, "reserved-lasting": 1, "reserved-for-step": 1, "reserved-for-ms": 3900},
		},
		"both, held by tasks that end by themselves": {
			running: []Step{{Count: 1, CPU: 5000, Memory: 15000}}, task: Step{CPU: 4000, Memory: 2000},
			want: map[string]float64{"millicores": 4000, "memory-mib": 2000, "lacking-several": 1, "fits-without-finite": 1, "reserved-lasting": 1, "reserved-for-step": 1, "reserved-for-ms": 3900},
		},
		"none, but it may not be tried yet": {
			task: Step{CPU: 4000, Memory: 10}, retry: 8 * clock.Second,
			want: map[string]float64{"millicores": 4000, "memory-mib": 10, "retry-in-ms": 4000},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := newWaitHarness(t, newHarness(1))
			for _, s := range tc.running {
				h.submit(t, "running", s)
				for _, o := range h.placeAndStore() {
					h.OrderAnswered(o, Done)
				}
			}
			h.submit(t, "task", long(tc.task))
			h.jobs["task"].occurrences[0].steps[0][0].retryAt = h.clock.Now() + tc.retry
			h.run(5 * clock.Second)
			line := h.wait(t, "task.0.0.0")
			got := map[string]float64{}
			for _, f := range []string{"millicores", "memory-mib", "lacking-cpu", "lacking-memory", "lacking-several", "lacking-gpu", "fits-without-fillers", "fits-without-finite", "reserved-lasting", "reserved-for-step", "reserved-for-ms", "retry-in-ms"} {
				if n, ok := line[f].(float64); ok && n != 0 {
					got[f] = n
				}
			}
			must.Eq(t, tc.want, got)
		})
	}
}

// TestSummaryCountsStarts guards against a summary that does not tell starts of new tasks from those of
// tasks that have lost their runs, nor that new ones take the room of those.
func TestSummaryCountsStarts(t *testing.T) {
	h := newWaitHarness(t, newHarness(1))
	h.submit(t, "old", Step{Count: 1, CPU: 8000, LongRunning: true})
	first := h.placeAndStore()
	must.Len(t, 1, first)
	h.OrderAnswered(first[0], Done)
	must.Eq(t, lastingStarts{first: 1}, h.waits.starts)
	h.report("w0", nil, endedRun(1, first[0], EndStopped))
	must.Len(t, 1, h.placeAndStore())
	must.Eq(t, lastingStarts{first: 1, again: 1}, h.waits.starts)
}

// TestOvertakingIsCounted guards against a summary that does not tell that tasks take the room of others
// whose turn was before.
func TestOvertakingIsCounted(t *testing.T) {
	tests := map[string]struct {
		waiting Step
		// later is how much later the task that starts began to wait.
		later clock.Millis
		want  bool
	}{
		"room for it":        {waiting: Step{CPU: 8000}, later: 2 * clock.Second, want: true},
		"no room for it":     {waiting: Step{CPU: 8001}, later: 2 * clock.Second},
		"its turn was later": {waiting: Step{CPU: 8000}, later: -2 * clock.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(1)
			tc.waiting.Count, tc.waiting.LongRunning = 1, true
			h.submit(t, "waiting", tc.waiting)
			h.submit(t, "starts", Step{Count: 1, CPU: 1000, LongRunning: true})
			now := h.clock.Now()
			h.findTask("waiting.0.0.0").waitingSince, h.findTask("starts.0.0.0").waitingSince = now, now+tc.later
			for _, d := range h.demands(now) {
				if d.occurrence.job.spec.ID == "waiting" {
					h.waits.demands = append(h.waits.demands, d)
				}
			}
			must.Eq(t, tc.want, h.overtakes(h.findTask("starts.0.0.0"), h.workers["w0"]))
		})
	}
}
