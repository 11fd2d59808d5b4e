package scheduler

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

// waitHarness collects the lines about long-running tasks that wait.
type waitHarness struct {
	*harness
	log bytes.Buffer
}

func newWaitHarness(t testing.TB, b *harness) *waitHarness {
	h := &waitHarness{harness: b}
	l, err := logger.New(&h.log, "debug")
	must.NoError(t, err)
	b.emit = l.Emit
	b.Sweep()
	return h
}

// run places and sweeps for d, ten times a second.
func (h *waitHarness) run(d clock.Millis) {
	for end := h.clock.Now() + d; h.clock.Now() < end; {
		h.clock.Advance(100)
		h.placeAndStore()
		h.Sweep()
	}
}

// lines returns the fields of the collected lines of an event.
func (h *waitHarness) lines(t *testing.T, e logger.Event) []map[string]any {
	t.Helper()
	var found []map[string]any
	for s := range strings.Lines(h.log.String()) {
		var l struct {
			Fields map[string]any `json:"fields"`
		}
		must.NoError(t, json.Unmarshal([]byte(s), &l))
		if l.Fields["event"] == e.String() {
			found = append(found, l.Fields)
		}
	}
	return found
}

// wait returns the only line about the wait of a task.
func (h *waitHarness) wait(t *testing.T, task string) map[string]any {
	t.Helper()
	var found []map[string]any
	for _, l := range h.lines(t, logger.TaskWaiting) {
		if l["task"] == task {
			found = append(found, l)
		}
	}
	must.Len(t, 1, found)
	return found[0]
}

// start places a long-running task on w0, which confirms it.
func (h *waitHarness) start(t *testing.T) Order {
	t.Helper()
	h.submit(t, "task", Step{Count: 1, CPU: 1000, LongRunning: true})
	o := h.placeAndStore()
	must.Len(t, 1, o)
	must.Eq(t, "w0", o[0].Worker)
	h.OrderAnswered(o[0], Done)
	h.run(clock.Second)
	return o[0]
}

func TestWaitForAssignedRun(t *testing.T) {
	tests := map[string]struct {
		// lose makes the task lose its run.
		lose func(t *testing.T, h *waitHarness)
		want map[string]any
	}{
		"worker is silent": {
			lose: func(t *testing.T, h *waitHarness) {
				h.start(t)
				h.CallFailed("w0", 1, true)
			},
			want: map[string]any{
				"state": "unheard", "attempt": 1.0, "worker": "w0", "born": 1.0, "waited-ms": 3000.0, "silent-ms": 3000.0, "lease-left-ms": 2320.0, "whole-term": "false",
				"registered": "true", "has-address": "true", "heard-in-term": "true", "unclear": "false", "delayed-since-call": "false",
			},
		},
		"silent worker left the registry": {
			lose: func(t *testing.T, h *waitHarness) {
				h.start(t)
				h.CallFailed("w0", 1, false)
				h.RemoveWorker("w0")
			},
			want: map[string]any{"state": "unheard", "worker": "w0", "registered": "false", "has-address": "true"},
		},
		"silent worker, leader delayed": {
			lose: func(t *testing.T, h *waitHarness) {
				h.start(t)
				h.CallFailed("w0", 1, false)
				h.clock.Advance(1)
				h.NoteDelay()
			},
			want: map[string]any{"state": "unheard", "delayed-since-call": "true"},
		},
		"process of a former term without an address": {
			lose: func(t *testing.T, h *waitHarness) {
				former := newHarness(0)
				w := testWorker(0)
				w.Born = 2
				former.UpdateWorker(w)
				former.submit(t, "task", Step{Count: 1, CPU: 1000, LongRunning: true})
				former.Place()
				until := LeaseBound(h.clock.Now(), defaultLease) + 5*clock.Second
				h.Inherit(until)
				for _, r := range former.TakeBatch().Records {
					must.NoError(t, h.Load(r.Key, r.Value, until))
				}
				h.waits = waitChecks{}
				h.Sweep()
			},
			want: map[string]any{
				"state": "unheard", "worker": "w0", "born": 2.0, "lease-left-ms": 8320.0, "silent-ms": 0.0, "whole-term": "true",
				"registered": "true", "has-address": "false", "heard-in-term": "false", "unclear": "true",
			},
		},
		"order is not answered": {
			lose: func(t *testing.T, h *waitHarness) {
				h.submit(t, "task", Step{Count: 1, CPU: 1000, LongRunning: true})
				must.Len(t, 1, h.placeAndStore())
			},
			want: map[string]any{
				"state": "unconfirmed", "attempt": 1.0, "worker": "w0", "born": 1.0, "waited-ms": 3000.0, "unanswered": 1.0, "unclear": "false", "stopping": "false",
				"recorded": "true", "unresolved": "false", "since-order-ms": 3000.0,
			},
		},
		"stop is not answered": {
			lose: func(t *testing.T, h *waitHarness) {
				h.submit(t, "task", Step{Count: 1, CPU: 1000, LongRunning: true})
				o := h.placeAndStore()[0]
				h.OrderAnswered(o, Unheard)
				h.clock.Advance(resendDelay + 1)
				h.report("w0", nil)
				h.OrderAnswered(h.TakeImmediateOrders()[0], NoRoom)
				must.Len(t, 1, h.TakeImmediateOrders())
			},
			want: map[string]any{"state": "unconfirmed", "worker": "w0", "unanswered": 1.0, "unclear": "true", "stopping": "true"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := newWaitHarness(t, newHarness(1))
			tc.lose(t, h)
			h.run(3 * clock.Second)
			if len(h.lines(t, logger.TaskWaiting)) == 0 {
				h.run(900)
			}
			got := h.wait(t, "task.0.0.0")
			for k := range got {
				if _, ok := tc.want[k]; !ok {
					delete(got, k)
				}
			}
			must.Eq(t, tc.want, got)
			must.Eq(t, 1, withoutRun(h))
		})
	}
}

func withoutRun(h *waitHarness) int {
	_, _, _, n := h.Counts()
	return n
}

func TestWaitForWorker(t *testing.T) {
	waiting := Step{Count: 1, CPU: 1000, LongRunning: true}
	onWorker := func(change func(w *worker)) func(*testing.T, *waitHarness) {
		return func(t *testing.T, h *waitHarness) {
			change(h.workers["w0"])
			h.submit(t, "task", waiting)
		}
	}
	step := func(s Step) func(*testing.T, *waitHarness) {
		s.Count, s.LongRunning = 1, true
		return func(t *testing.T, h *waitHarness) { h.submit(t, "task", s) }
	}
	tests := map[string]struct {
		setUp func(t *testing.T, h *waitHarness)
		// task is the index of the task that waits.
		task int
		want map[string]float64
	}{
		"not registered": {
			setUp: func(t *testing.T, h *waitHarness) {
				h.Lease("w0", 1)
				h.RemoveWorker("w0")
				h.submit(t, "task", waiting)
			},
			want: map[string]float64{"not-registered": 1},
		},
		"draining": {setUp: onWorker(func(w *worker) { w.info.Draining = true }), want: map[string]float64{"draining": 1}},
		"silent": {
			setUp: func(t *testing.T, h *waitHarness) {
				h.Lease("w0", 1)
				h.CallFailed("w0", 1, false)
				h.submit(t, "task", waiting)
			},
			want: map[string]float64{"silent": 1},
		},
		"lease expired": {
			setUp: func(t *testing.T, h *waitHarness) {
				h.CallFailed("w0", 1, false)
				h.submit(t, "task", waiting)
			},
			want: map[string]float64{"lease-expired": 1},
		},
		"not heard in this term": {
			setUp: func(t *testing.T, h *waitHarness) {
				h.Inherit(h.clock.Now() + clock.Minute)
				h.submit(t, "task", waiting)
			},
			want: map[string]float64{"not-heard": 1},
		},
		"stops not confirmed": {
			setUp: onWorker(func(w *worker) { w.doubtful = []doubtfulRun{{attempt: 1}} }),
			want:  map[string]float64{"stops-unconfirmed": 1},
		},
		"silence recorded": {
			setUp: func(t *testing.T, h *waitHarness) {
				h.silences["w0"] = &silence{}
				h.submit(t, "task", waiting)
			},
			want: map[string]float64{"silence-recorded": 1},
		},
		"upkeep":  {setUp: onWorker(func(w *worker) { w.upkeepStarted = true }), want: map[string]float64{"upkeep": 1}},
		"backoff": {setUp: onWorker(func(w *worker) { w.blockedUntil = clock.Hour }), want: map[string]float64{"backoff": 1}},
		"evacuated": {
			setUp: func(t *testing.T, h *waitHarness) {
				h.SetEvacuated([]string{"a"})
				h.submit(t, "task", waiting)
			},
			want: map[string]float64{"evacuated": 1},
		},
		"quarantined": {
			setUp: onWorker(func(w *worker) { w.failures, w.failedAt = quarantineScore, clock.Hour }),
			want:  map[string]float64{"quarantined": 1},
		},
		"probe run started": {
			setUp: onWorker(func(w *worker) { w.failures, w.failedAt, w.probedAt, w.probe = quarantineScore, 1, 1, &task{} }),
			want:  map[string]float64{"probing": 1},
		},
		"other service comes before the worker's state": {
			setUp: onWorker(func(w *worker) { w.info.Service, w.info.Draining = "other", true }),
			want:  map[string]float64{"other-service": 1},
		},
		"other label": {setUp: step(Step{CPU: 1, Label: "gpu"}), want: map[string]float64{"other-label": 1}},
		"no room":     {setUp: step(Step{CPU: 8001}), want: map[string]float64{"no-room": 1}},
		"limit per worker": {
			setUp: func(t *testing.T, h *waitHarness) {
				h.submit(t, "task", Step{Count: 2, CPU: 1000, LongRunning: true, PerWorker: 1})
				h.OrderAnswered(h.placeAndStore()[0], Done)
			},
			task: 1,
			want: map[string]float64{"per-worker-limit": 1},
		},
		"reserved": {
			setUp: func(t *testing.T, h *waitHarness) {
				h.submit(t, "short", Step{Count: 1, CPU: 4000})
				h.OrderAnswered(h.placeAndStore()[0], Done)
				h.submit(t, "large", Step{Count: 1, CPU: 8000, LongRunning: true})
				q := Queue{Name: "q", Service: testService, Priority: 1}
				must.NoError(t, h.Submit(Spec{ID: "task", Queue: q, Steps: []Step{waiting}}, func(error) {}))
			},
			want: map[string]float64{"reserved": 1},
		},
		"interference": {
			setUp: func(t *testing.T, h *waitHarness) {
				h.submit(t, "serving", Step{Count: 1, CPU: 1000, LongRunning: true, Objective: 40, Image: "s"})
				o := h.placeAndStore()[0]
				h.OrderAnswered(o, Done)
				h.report("w0", []ActiveRun{{Task: o.Task.String(), Attempt: 1, Percent: 100, Measurement: 100}})
				h.submit(t, "task", Step{Count: 1, CPU: 1000, LongRunning: true, Filler: true, Image: "f"})
			},
			want: map[string]float64{"interference": 1},
		},
		"no ticket": {
			setUp: func(t *testing.T, h *waitHarness) {
				q := Queue{Name: "q", Service: testService, Advice: &Advice{Base: 300, PerWorker: 2, Validity: adviceValidity}}
				must.NoError(t, h.Submit(Spec{ID: "task", Queue: q, Steps: []Step{waiting}}, func(error) {}))
			},
			want: map[string]float64{"no-ticket": 1},
		},
		"ticket denied": {
			setUp: func(t *testing.T, h *waitHarness) {
				q := Queue{Name: "q", Service: testService, Advice: &Advice{Base: 300, PerWorker: 2, Validity: adviceValidity}}
				must.NoError(t, h.Submit(Spec{ID: "task", Queue: q, Steps: []Step{waiting}}, func(error) {}))
				h.placeAndStore()
				h.ApplyVerdict(verdictFor(h.nextConsultation(t)))
			},
			want: map[string]float64{"ticket-denied": 1},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := newWaitHarness(t, newHarness(1))
			tc.setUp(t, h)
			h.run(5 * clock.Second)
			got := h.wait(t, fmt.Sprint("task.0.0.", tc.task))
			must.Eq(t, any("unplaced"), got["state"])
			workers := map[string]float64{}
			total := 0.0
			for k, v := range got {
				if reason, ok := strings.CutPrefix(k, "workers-"); ok && (reason != "suitable" || v != 0.0) {
					workers[reason] = v.(float64)
					total += v.(float64)
				}
			}
			must.Eq(t, tc.want, workers)
			must.Eq(t, any(total), got["workers"])
		})
	}
}

// TestRackIsNoReasonForTasksThatLast checks which workers a full rack excludes: those of other racks
// for a task that has an end to wait for, none for one that lasts.
func TestRackIsNoReasonForTasksThatLast(t *testing.T) {
	tests := map[string]struct {
		lasts bool
		want  map[exclusion]int
	}{
		"finite": {want: map[exclusion]int{otherRack: 2, noRoom: 2}},
		"lasts":  {lasts: true, want: map[exclusion]int{notExcluded: 2, noRoom: 2}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newRackHarness()
			b.submit(t, "filling", Step{Count: 2, CPU: 8000, Label: "r1"})
			for _, o := range b.placeAndStore() {
				b.OrderAnswered(o, Done)
			}
			b.Place()
			b.submit(t, "task", Step{Count: 1, CPU: 1000, Rack: "r1", Estimate: clock.Minute, LongRunning: tc.lasts})
			got := map[exclusion]int{}
			for e, n := range b.countExclusions(b.jobs["task"].openOccurrence(0).steps[0][0], b.clock.Now()) {
				if n > 0 {
					got[exclusion(e)] = n
				}
			}
			must.Eq(t, tc.want, got)
		})
	}
}

// TestNoPlacingIsVisible guards against a leader that chooses no worker, with room, without a line that says so.
func TestNoPlacingIsVisible(t *testing.T) {
	h := newWaitHarness(t, newHarness(1))
	h.submit(t, "task", Step{Count: 1, CPU: 1000, LongRunning: true})
	h.storeBatch(h.TakeBatch())
	for range 50 {
		h.clock.Advance(100)
		h.Sweep()
	}
	got := h.wait(t, "task.0.0.0")
	must.Eq(t, any("unplaced"), got["state"])
	must.Eq(t, any(1.0), got["workers-suitable"])
}

func TestNoLineWithoutWait(t *testing.T) {
	tests := map[string]func(t *testing.T, h *waitHarness){
		"run confirmed": func(t *testing.T, h *waitHarness) { h.start(t) },
		"cancelled": func(t *testing.T, h *waitHarness) {
			h.submit(t, "task", Step{Count: 1, CPU: 9000, LongRunning: true})
			must.NoError(t, h.Cancel("task", "", func(error) {}))
		},
		"ends by itself": func(t *testing.T, h *waitHarness) { h.submit(t, "task", Step{Count: 1, CPU: 9000}) },
		"step before is not done": func(t *testing.T, h *waitHarness) {
			h.submit(t, "task", Step{Count: 1, CPU: 9000}, Step{Count: 1, CPU: 1000, LongRunning: true, After: []int{0}})
		},
		"worker answers within the time": func(t *testing.T, h *waitHarness) {
			o := h.start(t)
			h.CallFailed("w0", 1, false)
			h.run(2 * clock.Second)
			h.report("w0", activeRuns(o))
		},
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			h := newWaitHarness(t, newHarness(1))
			lose(t, h)
			for range 10 {
				h.Lease("w0", 1)
				h.run(clock.Second)
			}
			must.SliceEmpty(t, h.lines(t, logger.TaskWaiting))
			must.SliceEmpty(t, h.lines(t, logger.TaskResumed))
			must.SliceEmpty(t, h.lines(t, logger.TasksWaiting))
			must.Eq(t, 0, withoutRun(h))
		})
	}
}

// TestUnacceptedJobDoesNotWait guards against lines about jobs that callers were not told of: their record is not stored.
func TestUnacceptedJobDoesNotWait(t *testing.T) {
	h := newWaitHarness(t, newHarness(0))
	h.submit(t, "task", Step{Count: 1, CPU: 1000, LongRunning: true})
	for range 50 {
		h.clock.Advance(100)
		h.Place()
		h.Sweep()
	}
	must.Eq(t, 0, withoutRun(h))
	must.SliceEmpty(t, h.lines(t, logger.TaskWaiting))
}

// TestWaitUntilNextRun follows a task over the end of its worker's lease to its next run.
func TestWaitUntilNextRun(t *testing.T) {
	h := newWaitHarness(t, newHarness(1))
	h.start(t)
	lost := h.clock.Now()
	h.CallFailed("w0", 1, false)
	h.run(10 * clock.Second)
	var states []any
	for _, l := range h.lines(t, logger.TaskWaiting) {
		states = append(states, l["state"])
	}
	must.Eq(t, []any{"unheard", "unplaced"}, states, must.Sprint("at 3 s and at 6 s; the lease ends at 5.32 s"))
	h.run(3 * clock.Second)
	must.Len(t, 3, h.lines(t, logger.TaskWaiting))
	must.Eq(t, any("unplaced"), h.lines(t, logger.TaskWaiting)[2]["state"])
	h.UpdateWorker(testWorker(1))
	o := h.placeAndStore()
	must.Len(t, 1, o)
	h.clock.Advance(150)
	h.OrderAnswered(o[0], Done)
	waited := h.clock.Now() - lost
	h.run(clock.Second)
	resumed := h.lines(t, logger.TaskResumed)
	must.Len(t, 1, resumed)
	must.Eq(t, map[string]any{"event": logger.TaskResumed.String(), "task": "task.0.0.0", "attempt": 2.0, "worker": "w1", "waited-ms": float64(waited)}, resumed[0])
	sums := h.lines(t, logger.TasksWaiting)
	last := sums[len(sums)-1]
	must.Eq(t, map[string]any{
		"event": logger.TasksWaiting.String(), "unheard": 0.0, "unconfirmed": 0.0, "unplaced": 0.0, "longest-ms": 0.0, "resumed": 1.0, "not-logged": 0.0,
		"first-runs": 0.0, "restarts": 1.0, "overtaking": 0.0, "unplaced-millicores": 0.0, "free-millicores": 7000.0,
	}, last)
}

// TestLinesAreBounded guards against a flood of lines from a leader that is short of processor time.
func TestLinesAreBounded(t *testing.T) {
	const workers, tasks, seconds = 40, 400, 20
	h := newWaitHarness(t, newHarness(0))
	for i := range workers {
		// The tasks of a job are all on one worker.
		h.UpdateWorker(testWorker(i))
		h.submit(t, fmt.Sprint("task", i), Step{Count: tasks / workers, CPU: 800, LongRunning: true})
		for _, o := range h.placeAndStore() {
			h.OrderAnswered(o, Done)
		}
	}
	h.run(clock.Second)
	must.Eq(t, 0, withoutRun(h))
	for i := range workers {
		h.CallFailed(testWorker(i).ID, 1, false)
	}
	total := 0
	for range seconds {
		h.log.Reset()
		h.run(clock.Second)
		lines := h.lines(t, logger.TaskWaiting)
		must.LessEq(t, maxWaitLines, len(lines))
		must.LessEq(t, 1, len(h.lines(t, logger.TasksWaiting)))
		total += len(lines)
		jobs := map[string]bool{}
		for _, l := range lines {
			jobs[strings.Split(l["task"].(string), ".")[0]] = true
		}
		must.Eq(t, len(lines), len(jobs), must.Sprint("the lines are of different workers, or of different steps"))
	}
	must.Greater(t, (seconds-5)*maxWaitLines, total, must.Sprint("the lines that were left out come later"))
	must.Eq(t, tasks, withoutRun(h))
	for i := range workers {
		h.report(testWorker(i).ID, nil)
	}
	for _, o := range h.placeAndStore() {
		h.OrderAnswered(o, Done)
	}
	h.log.Reset()
	h.run(clock.Second)
	must.Len(t, maxWaitLines, h.lines(t, logger.TaskResumed))
	sums := h.lines(t, logger.TasksWaiting)
	must.Len(t, 1, sums)
	must.Eq(t, any(float64(tasks)), sums[0]["resumed"])
}

// TestCountedWorkersAgreeWithPlacing guards against reasons that differ from those of placing.
func TestCountedWorkersAgreeWithPlacing(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		b := newHarness(6)
		often := func(n int) bool { return r.IntN(n) == 0 }
		for i := range 6 {
			w := b.workers[testWorker(i).ID]
			w.registered, w.info.Draining, w.leaseExpired, w.unreconciled, w.upkeepStarted = !often(6), often(6), often(6), often(6), often(6)
			if often(6) {
				w.silentSince = 1
			}
			if often(6) {
				w.doubtful = []doubtfulRun{{attempt: 1}}
			}
			if often(6) {
				w.blockedUntil = clock.Hour
			}
			if often(3) {
				w.failures, w.failedAt = quarantineScore, b.clock.Now()-quarantineTime+clock.Millis(r.IntN(2))
				w.probedAt = w.failedAt - clock.Millis(r.IntN(2))
			}
			if often(4) {
				w.info.Service = "other"
			}
			if often(6) {
				w.info.DataCentre = "b"
			}
			w.cpu = int64(r.IntN(2)) * 7500
		}
		b.SetEvacuated([]string{"b"})
		b.submit(t, "task", Step{Count: 1, CPU: 1000, LongRunning: true, Label: []string{"", "r1"}[r.IntN(2)]})
		task := b.findTask("task.0.0.0")
		suitable := b.countExclusions(task, b.clock.Now())[notExcluded]
		b.Place()
		must.Eq(t, suitable > 0, task.state == placed, must.Sprintf("seed %d: %d suitable workers", seed, suitable))
	}
}
