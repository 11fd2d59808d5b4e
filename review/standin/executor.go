package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// executor is a stand-in for an executor of the platform. It refuses what does not fit, and may
	// start again under its id.
	executor struct {
		id, address, zone, rack string
		cpu, memory             int64
		world                   *world
		mu                      sync.Mutex
		// life is the current process, nil while the executor is down.
		life *life
	}

	// life is one process of an executor.
	life struct {
		e                *executor
		server           *http.Server
		born             int64
		bootedAt         clock.Millis
		fence            int64
		leaseUntil       clock.Millis
		runs             map[string]*taskRun
		highest          map[string]int
		ends             []end
		endCount         int64
		changed          chan struct{}
		cpuUsed, memUsed int64
		dead             bool
		// lapses is how often the lease has lapsed, lapsed whether it has and was not extended since.
		lapses int
		lapsed bool
	}

	taskRun struct {
		task     string
		attempt  int
		step     wireStep
		started  clock.Millis
		duration clock.Millis
		timer    *time.Timer
	}

	end struct {
		number  int64
		task    string
		attempt int
		how     string
		// lapses is that of the process when the run ended.
		lapses int
	}

	executorCall struct {
		Task         string `json:"task"`
		Attempt      int    `json:"attempt"`
		Spec         string `json:"spec"`
		DeadlineMS   int64  `json:"deadline_ms"`
		FencingToken int64  `json:"fencing_token"`
		Acked        int64  `json:"acked"`
		WaitMS       int64  `json:"wait_ms"`
	}
)

const (
	// holdMax is the longest lease, listedEnds the most ends in an answer, heartbeat the time between
	// two entries in the registry.
	holdMax    = 6 * clock.Second
	listedEnds = 500
	heartbeat  = 1500 * clock.Millis(1)
	// startupTime is how long a task that lasts needs until it is at work.
	startupTime = 300 * clock.Millis(1)
)

// start begins a process of the executor at its address, or at any free port if it has none yet.
func (e *executor) start() error {
	var l net.Listener
	var err error
	if e.address == "" {
		l, err = listen()
	} else {
		l, err = net.Listen("tcp", e.address)
	}
	if err != nil {
		return errors.Wrap(err, "executor")
	}
	now := clock.System()
	f := &life{e: e, born: int64(now), bootedAt: now, runs: map[string]*taskRun{}, highest: map[string]int{}, changed: make(chan struct{})}
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: time.Minute}
	e.mu.Lock()
	e.address, e.life = l.Addr().String(), f
	e.mu.Unlock()
	e.world.rec.write("executor %s starts, born %d", e.id, f.born)
	go func() {
		// It returns when the process ends.
		_ = f.server.Serve(l)
	}()
	return nil
}

// isUp reports whether a process of the executor runs.
func (e *executor) isUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life != nil
}

// crash ends the process of the executor with all that it runs.
func (e *executor) crash() {
	e.mu.Lock()
	f := e.life
	e.life = nil
	var lost []string
	if f != nil {
		f.dead = true
		for n, r := range f.runs {
			r.stopTimer()
			lost = append(lost, n)
			e.world.onLost(n)
		}
		f.runs = map[string]*taskRun{}
		close(f.changed)
	}
	e.mu.Unlock()
	if f == nil {
		return
	}
	// An error doesn't matter: all connections are closed.
	_ = f.server.Close()
	e.world.rec.write("executor %s crashes with %d runs: %s", e.id, len(lost), strings.Join(lost, " "))
}

// entry returns the executor's entry in the registry, and whether it is up.
func (e *executor) entry() ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.life
	if f == nil {
		return nil, false
	}
	b, err := json.Marshal(map[string]any{
		"service": service, "addr": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int64{"cpu": e.cpu, "mem_mb": e.memory, "gpu": 0}, "labels": []string{"a", e.rack},
		"clock_ms": int64(f.clock()), "born": f.born, "seq_no": int64(f.clock()),
	})
	return b, err == nil
}

func (f *life) clock() clock.Millis { return clock.System() - f.bootedAt }

// ServeHTTP handles the calls of an executor.
func (f *life) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusOK)
		return
	}
	if e := r.Header.Get("Galenawharf-Expected-Instance"); e != "" && e != f.e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var c executorCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.e.mu.Lock()
	f.expire()
	reason := f.fenced(c)
	if reason == "" {
		switch r.URL.Path {
		case "/galenawharf/run-start":
			reason = f.startRun(c)
		case "/galenawharf/run-stop":
			f.stopRun(c)
		case "/galenawharf/pace":
		case "/galenawharf/hold":
			f.renew(c)
			f.e.mu.Unlock()
			f.list(w, r, c)
			return
		default:
			f.e.mu.Unlock()
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	now := int64(f.clock())
	f.e.mu.Unlock()
	if reason != "" {
		writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": now, "reason": reason})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": now})
}

func (f *life) fenced(c executorCall) string {
	if c.FencingToken < f.fence {
		return "fence"
	}
	f.fence = c.FencingToken
	return ""
}

func (f *life) extend(deadline int64) {
	f.leaseUntil = max(f.leaseUntil, min(clock.Millis(deadline), f.clock()+holdMax))
	f.lapsed = f.clock() >= f.leaseUntil
}

// startRun starts a run and returns "", or returns why it does not.
func (f *life) startRun(c executorCall) string {
	step, ok := f.e.world.stepOf(c.Task)
	f.e.world.onOrder(c, ok)
	if !ok {
		return "old"
	}
	if o := f.runs[c.Task]; o != nil && o.attempt == c.Attempt {
		return ""
	}
	switch {
	case c.Attempt <= f.highest[c.Task]:
		f.extend(c.DeadlineMS)
		return "old"
	case clock.Millis(c.DeadlineMS) <= f.clock():
		return "late"
	case f.cpuUsed+step.heldCPU() > f.e.cpu || f.memUsed+step.MemMB > f.e.memory:
		f.extend(c.DeadlineMS)
		return "room"
	}
	f.extend(c.DeadlineMS)
	f.highest[c.Task] = c.Attempt
	f.cpuUsed, f.memUsed = f.cpuUsed+step.heldCPU(), f.memUsed+step.MemMB
	d := durationOf(c.Task, c.Spec)
	n := &taskRun{task: c.Task, attempt: c.Attempt, step: step, started: clock.System(), duration: d}
	f.runs[c.Task] = n
	if d > 0 {
		n.timer = time.AfterFunc(d.Duration(), func() {
			f.e.mu.Lock()
			defer f.e.mu.Unlock()
			f.expire()
			f.endRun(n, "done")
		})
	}
	f.e.world.onStart(f, n)
	return ""
}

func (f *life) stopRun(c executorCall) {
	f.highest[c.Task] = max(f.highest[c.Task], c.Attempt)
	if r := f.runs[c.Task]; r != nil && r.attempt <= c.Attempt {
		f.endRun(r, "stopped")
	}
}

func (r *taskRun) stopTimer() {
	if r.timer != nil {
		r.timer.Stop()
	}
}

// endRun ends a run, if it has not ended yet. The lock of the executor must be held.
func (f *life) endRun(r *taskRun, how string) {
	if f.dead || f.runs[r.task] != r {
		return
	}
	r.stopTimer()
	delete(f.runs, r.task)
	f.cpuUsed, f.memUsed = f.cpuUsed-r.step.heldCPU(), f.memUsed-r.step.MemMB
	f.endCount++
	f.ends = append(f.ends, end{f.endCount, r.task, r.attempt, how, f.lapses})
	close(f.changed)
	f.changed = make(chan struct{})
	f.e.world.onEnd(f, r, how)
}

// expire ends all runs if the lease is over.
func (f *life) expire() {
	if f.clock() < f.leaseUntil {
		return
	}
	if !f.lapsed {
		f.lapsed = true
		f.lapses++
	}
	for _, r := range f.runs {
		f.endRun(r, "lapsed")
	}
}

func (f *life) renew(c executorCall) {
	for len(f.ends) > 0 && f.ends[0].number <= c.Acked {
		if e := f.ends[0]; e.how == "done" && e.lapses == f.lapses {
			f.e.world.onNoted(e.task)
		}
		f.ends = f.ends[1:]
	}
	if c.DeadlineMS > 0 {
		f.extend(c.DeadlineMS)
	}
}

// list waits for an end, if asked to, and responds with both lists.
func (f *life) list(w http.ResponseWriter, r *http.Request, c executorCall) {
	timeout := time.NewTimer(clock.Millis(c.WaitMS).Duration())
	defer timeout.Stop()
	f.e.mu.Lock()
	changed, wait := f.changed, len(f.ends) == 0 && c.WaitMS > 0 && !f.dead
	f.e.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-timeout.C:
		case <-r.Context().Done():
			return
		}
	}
	f.e.mu.Lock()
	f.expire()
	dead := f.dead
	active, finished := [][]any{}, [][]any{}
	for _, n := range f.runs {
		active = append(active, []any{n.task, n.attempt, "", n.percent(), n.step.measured()})
	}
	for _, e := range f.ends[:min(len(f.ends), listedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	now := int64(f.clock())
	f.e.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": now, "born": f.born, "active": active, "finished": finished})
}

// heldCPU is what a task of the step takes of the capacity.
func (s *wireStep) heldCPU() int64 {
	if s.Utilization {
		return 0
	}
	return s.CPU
}

// measured is the figure of the last half second of a task of the step.
func (s *wireStep) measured() int64 {
	if s.TargetMS > 0 {
		return s.TargetMS / 10
	}
	return s.CPU
}

// percent returns how far the run is.
func (r *taskRun) percent() int {
	elapsed := clock.System() - r.started
	switch {
	case r.duration > 0:
		return int(min(100*elapsed/r.duration, 99))
	case elapsed < startupTime:
		return 0
	default:
		return 100
	}
}

// durationOf returns how long a task runs: the number of its step among those that the text of its
// job lists, in ms; 0 for one that lasts.
func durationOf(task, spec string) clock.Millis {
	f := strings.Split(task, ".")
	d := strings.Split(strings.Fields(spec)[0], ",")
	i, err := strconv.Atoi(f[2])
	if err != nil || i >= len(d) {
		panic(fmt.Sprintf("task %s of a job with text %q", task, spec))
	}
	ms, err := strconv.Atoi(d[i])
	if err != nil {
		panic(err)
	}
	return clock.Millis(ms)
}
