package imitator

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Worker is a fake worker with injectable faults. It is safe for concurrent use. It
	// starts tasks even if they exceed its capacity, and counts these overcommits.
	Worker struct {
		mu            sync.Mutex
		now           func() clock.Millis
		bootedAt      clock.Millis
		bootCount     int
		capacity      sizer.Size
		behave        func(provider.StartOrder) Behaviour
		highestFences map[string]provider.Fence
		tasks         map[provider.Incarnation]*task
		samples       []sample
		usageLag      clock.Millis
		faults        WorkerFaults
		overcommits   int
		starts        []provider.Incarnation
		watcher       func(WorkerEvent)
	}

	// Behaviour determines how a task runs and ends.
	Behaviour struct {
		// RunTime is the time until the task ends, clock.Never for services and watch
		// jobs.
		RunTime clock.Millis
		Fails   bool
		Answer  []byte
	}

	// WorkerFaults are the faults that a Worker injects.
	WorkerFaults struct {
		// Down makes the worker unreachable. Its tasks keep running.
		Down bool `json:"down"`
		// LoseAnswers is how many of the next calls take effect but return an error, as
		// if the response was lost.
		LoseAnswers int `json:"lose-answers"`
		// FailAll makes every task fail as soon as it starts.
		FailAll bool `json:"fail-all"`
		// Delay is the delay of each call over HTTP.
		Delay clock.Millis `json:"delay"`
	}

	sample struct {
		shard     string
		visibleAt clock.Millis
		usage     provider.UsageSample
	}
)

const (
	defaultUsageLag     = 5 * clock.Second
	sampleInterval      = 10 * clock.Second
	sampleRetention     = 10 * clock.Minute
	maxReportsInReply   = 8
	unthrottledPermille = 1000
)

// NewWorker returns an idle worker. behave returns the behaviour of each task that is
// started.
func NewWorker(capacity sizer.Size, now func() clock.Millis, behave func(provider.StartOrder) Behaviour) *Worker {
	w := &Worker{now: now, capacity: capacity, behave: behave, usageLag: defaultUsageLag}
	w.reset()
	return w
}

// AsDeclared returns the behaviour of a task that succeeds after the run time in its
// order, or runs until it is stopped if the order has none.
func AsDeclared(o provider.StartOrder) Behaviour {
	b := Behaviour{RunTime: clock.Millis(o.RunTime), Answer: append([]byte("done: "), o.Payload...)}
	if b.RunTime == 0 {
		b.RunTime = clock.Never
	}
	return b
}

// Restart simulates a reboot: all tasks end, and the worker loses its fences, tasks and
// usage samples. The watcher is notified of the ended runs with PhaseLapsed.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateTasks()
	for _, t := range w.tasks {
		if t.phase == provider.PhaseRunning {
			t.phase = provider.PhaseLapsed
			w.notifyWatcher(t, w.uptime())
		}
	}
	w.bootCount++
	w.reset()
}

// SetFaults sets the faults to inject from now on.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Faults returns the faults that are being injected.
func (w *Worker) Faults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Overcommits returns the number of starts after which the running tasks exceeded the
// worker's capacity.
func (w *Worker) Overcommits() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overcommits
}

// Running returns the running incarnations and their total size.
func (w *Worker) Running() ([]provider.Incarnation, sizer.Size) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateTasks()
	var running []provider.Incarnation
	var sum sizer.Size
	for i, t := range w.tasks {
		if t.phase == provider.PhaseRunning {
			running = append(running, i)
			sum = sum.Add(t.size)
		}
	}
	return running, sum
}

// Starts returns all incarnations that were ever started, in order of start, including
// incarnations from before a Restart.
func (w *Worker) Starts() []provider.Incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.starts)
}

// WorkersOf returns a client of workers. find returns the worker with an address, or nil
// if the address is unreachable.
func WorkersOf(find func(address string) *Worker) provider.Workers {
	return provider.Workers{
		Start: func(_ context.Context, a string, o provider.StartOrder) (provider.Reply, error) {
			return withWorker(find(a), func(w *Worker) (provider.Reply, error) { return w.start(o) })
		},
		Extend: func(_ context.Context, a string, o provider.ExtendOrder) (provider.Reply, error) {
			return withWorker(find(a), func(w *Worker) (provider.Reply, error) { return w.extend(o) })
		},
		Checkpoint: func(_ context.Context, a string, o provider.TaskOrder) (provider.Reply, error) {
			return withWorker(find(a), func(w *Worker) (provider.Reply, error) { return w.saveCheckpoint(o) })
		},
		Throttle: func(_ context.Context, a string, o provider.TaskOrder) (provider.Reply, error) {
			return withWorker(find(a), func(w *Worker) (provider.Reply, error) { return w.throttle(o) })
		},
		Stop: func(_ context.Context, a string, o provider.TaskOrder) (provider.Reply, error) {
			return withWorker(find(a), func(w *Worker) (provider.Reply, error) { return w.stop(o) })
		},
		Forget: func(_ context.Context, a string, o provider.TaskOrder) (provider.Reply, error) {
			return withWorker(find(a), func(w *Worker) (provider.Reply, error) { return w.forget(o) })
		},
		Inventory: func(_ context.Context, a string, f provider.Fence) (provider.Inventory, error) {
			return withWorker(find(a), func(w *Worker) (provider.Inventory, error) { return w.inventory(f) })
		},
		Usage: func(_ context.Context, a, shard string, since int64) (provider.UsageReport, error) {
			return withWorker(find(a), func(w *Worker) (provider.UsageReport, error) { return w.usage(shard, since) })
		},
	}
}

// withWorker calls f with the worker locked and its tasks up to date. It injects the
// faults Down and LoseAnswers.
func withWorker[T any](w *Worker, f func(*Worker) (T, error)) (T, error) {
	var none T
	if w == nil {
		return none, coder.New(coder.Unreachable, "Worker: no such address")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Down {
		return none, coder.New(coder.Unreachable, "Worker: no answer")
	}
	w.updateTasks()
	v, err := f(w)
	if err == nil && w.faults.LoseAnswers > 0 {
		w.faults.LoseAnswers--
		return none, errResponseLost
	}
	return v, err
}

func (w *Worker) reset() {
	w.bootedAt = w.now()
	w.highestFences = map[string]provider.Fence{}
	w.tasks = map[provider.Incarnation]*task{}
	w.samples = nil
}

func (w *Worker) uptime() clock.Millis { return w.now() - w.bootedAt }

func (w *Worker) stamp() provider.Stamp {
	return provider.Stamp{Boot: strconv.Itoa(w.bootCount), Reading: int64(w.uptime())}
}

// reply returns a reply with the number of ended tasks of f's shard for which no forget
// order came, and reports on at most maxReportsInReply of them.
func (w *Worker) reply(f provider.Fence) provider.Reply {
	r := provider.Reply{Stamp: w.stamp()}
	for i, t := range w.tasks {
		if t.order.Fence.Shard == f.Shard && t.phase != provider.PhaseRunning {
			r.Ended++
			r.Reports = append(r.Reports, t.report(i, w.uptime()))
		}
	}
	sortReports(r.Reports)
	r.Reports = r.Reports[:min(len(r.Reports), maxReportsInReply)]
	return r
}

func sortReports(all []provider.TaskReport) {
	slices.SortFunc(all, func(a, b provider.TaskReport) int {
		return strings.Compare(a.Incarnation.String(), b.Incarnation.String())
	})
}

// updateTasks ends the tasks whose run time is over or whose lease has expired, and
// takes the usage samples that are due.
func (w *Worker) updateTasks() {
	now := w.uptime()
	for _, t := range w.tasks {
		if t.phase != provider.PhaseRunning {
			continue
		}
		if t.endsAt <= now && t.endsAt <= t.leaseUntil {
			w.endTask(t, t.endsAt, t.finalPhase())
			continue
		}
		if t.leaseUntil <= now {
			w.endTask(t, t.leaseUntil, provider.PhaseLapsed)
			continue
		}
		for t.sampledUntil+sampleInterval <= now {
			w.addSample(t, t.sampledUntil+sampleInterval)
		}
	}
}

func (w *Worker) endTask(t *task, at clock.Millis, p provider.TaskPhase) {
	t.phase = p
	t.endedAt = at
	w.addSample(t, at)
	w.notifyWatcher(t, at)
}

// addSample records the usage of a task since its last sample, and deletes samples that
// are older than sampleRetention.
func (w *Worker) addSample(t *task, until clock.Millis) {
	w.samples = append(w.samples, sample{
		shard:     t.order.Fence.Shard,
		visibleAt: until + w.usageLag,
		usage: provider.UsageSample{
			Incarnation: t.order.Incarnation,
			From:        int64(t.sampledUntil),
			Until:       int64(until),
			Millicores:  t.size.Millicores() * int64(t.cpuPermille) / unthrottledPermille,
			Memory:      t.size.MemoryBytes(),
			Progress:    int64(t.cpuPermille),
		},
	})
	t.sampledUntil = until
	w.samples = slices.DeleteFunc(w.samples, func(s sample) bool { return s.visibleAt+sampleRetention < until })
}

// checkFence returns an error if the fencing token is not above the highest one seen for
// its shard. Otherwise it records the token as the highest.
func (w *Worker) checkFence(f provider.Fence) error {
	if highest, known := w.highestFences[f.Shard]; known && f.Compare(highest) <= 0 {
		return coder.New(coder.Fenced, "Worker: fence %d.%d is not above %d.%d, the highest seen for the shard", f.Epoch, f.Sequence, highest.Epoch, highest.Sequence)
	}
	w.highestFences[f.Shard] = f
	return nil
}

func (w *Worker) start(o provider.StartOrder) (provider.Reply, error) {
	if err := w.checkFence(o.Fence); err != nil {
		return provider.Reply{}, err
	}
	if o.Boot != w.stamp().Boot || clock.Millis(min(o.LeaseUntil, o.StartBy)) <= w.uptime() {
		return provider.Reply{}, coder.New(coder.LeaseLapsed, "Worker: the order is for another boot, or arrived after the lease expiry or the latest start")
	}
	if _, known := w.tasks[o.Incarnation]; known {
		return provider.Reply{}, coder.New(coder.NotRun, "Worker: incarnation %d of %s was already started", o.Incarnation.Number, o.Incarnation.Task)
	}
	w.tasks[o.Incarnation] = w.newTask(o)
	w.starts = append(w.starts, o.Incarnation)
	w.notifyWatcher(w.tasks[o.Incarnation], w.uptime())
	w.updateTasks()
	w.countOvercommit()
	return w.reply(o.Fence), nil
}

func (w *Worker) newTask(o provider.StartOrder) *task {
	t := &task{
		order:           o,
		size:            o.Size.Size(),
		phase:           provider.PhaseRunning,
		started:         w.uptime(),
		sampledUntil:    w.uptime(),
		resumedProgress: checkpointProgress(o.Checkpoint),
		leaseUntil:      clock.Millis(o.LeaseUntil),
		checkpoint:      o.Checkpoint,
		behaviour:       w.behave(o),
		cpuPermille:     unthrottledPermille,
	}
	t.endsAt = t.started.Add(max(t.behaviour.RunTime-t.resumedProgress, 1))
	if w.faults.FailAll {
		t.behaviour.Fails = true
		t.endsAt = t.started
	}
	return t
}

// countOvercommit counts an overcommit if the running tasks exceed the capacity.
func (w *Worker) countOvercommit() {
	var reserved sizer.Size
	for _, t := range w.tasks {
		if t.phase == provider.PhaseRunning {
			reserved = reserved.Add(t.size)
		}
	}
	if !reserved.Fits(w.capacity) {
		w.overcommits++
	}
}

func (w *Worker) extend(o provider.ExtendOrder) (provider.Reply, error) {
	if err := w.checkFence(o.Fence); err != nil {
		return provider.Reply{}, err
	}
	if o.Boot != w.stamp().Boot {
		return provider.Reply{}, coder.New(coder.LeaseLapsed, "Worker: the worker was restarted")
	}
	for _, i := range o.Tasks {
		if t, known := w.tasks[i]; known && t.phase == provider.PhaseRunning {
			t.leaseUntil = max(t.leaseUntil, clock.Millis(o.LeaseUntil))
		}
	}
	return w.reply(o.Fence), nil
}

// fencedTask checks the fencing token of an order and returns the task that the order is
// for, which may have ended.
func (w *Worker) fencedTask(o provider.TaskOrder) (*task, error) {
	if err := w.checkFence(o.Fence); err != nil {
		return nil, err
	}
	t, known := w.tasks[o.Incarnation]
	if !known {
		return nil, coder.New(coder.NotFound, "Worker: incarnation %d of %s is unknown", o.Incarnation.Number, o.Incarnation.Task)
	}
	return t, nil
}

func (w *Worker) saveCheckpoint(o provider.TaskOrder) (provider.Reply, error) {
	t, err := w.fencedTask(o)
	if err != nil {
		return provider.Reply{}, err
	}
	t.checkpointAt(w.uptime())
	r := w.reply(o.Fence)
	r.Checkpoint = t.checkpoint
	return r, nil
}

func (w *Worker) throttle(o provider.TaskOrder) (provider.Reply, error) {
	t, err := w.fencedTask(o)
	if err != nil {
		return provider.Reply{}, err
	}
	w.addSample(t, w.uptime())
	t.cpuPermille = o.Permille
	return w.reply(o.Fence), nil
}

func (w *Worker) stop(o provider.TaskOrder) (provider.Reply, error) {
	t, err := w.fencedTask(o)
	if err != nil {
		return provider.Reply{}, err
	}
	if t.phase == provider.PhaseRunning {
		t.checkpointAt(w.uptime())
		w.endTask(t, w.uptime(), provider.PhaseStopped)
	}
	r := w.reply(o.Fence)
	r.Checkpoint = t.checkpoint
	return r, nil
}

func (w *Worker) forget(o provider.TaskOrder) (provider.Reply, error) {
	t, err := w.fencedTask(o)
	if err != nil {
		return provider.Reply{}, err
	}
	if t.phase != provider.PhaseRunning {
		delete(w.tasks, o.Incarnation)
	}
	return w.reply(o.Fence), nil
}

func (w *Worker) inventory(f provider.Fence) (provider.Inventory, error) {
	if err := w.checkFence(f); err != nil {
		return provider.Inventory{}, err
	}
	inv := provider.Inventory{Stamp: w.stamp()}
	for i, t := range w.tasks {
		if t.order.Fence.Shard == f.Shard {
			inv.Tasks = append(inv.Tasks, t.report(i, w.uptime()))
		}
	}
	sortReports(inv.Tasks)
	return inv, nil
}

func (w *Worker) usage(shard string, since int64) (provider.UsageReport, error) {
	r := provider.UsageReport{Stamp: w.stamp()}
	for _, s := range w.samples {
		if s.shard == shard && s.visibleAt <= w.uptime() && s.usage.Until > since {
			r.Samples = append(r.Samples, s.usage)
		}
	}
	return r, nil
}
