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
	// Worker is a stand-in for a worker. It is safe for concurrent use. It
	// does not refuse work over its capacity, but remembers that it was asked.
	Worker struct {
		mu       sync.Mutex
		now      func() clock.Millis
		booted   clock.Millis
		boot     int
		capacity sizer.Size
		behave   func(provider.StartOrder) Behaviour
		fences   map[string]provider.Fence
		tasks    map[provider.Incarnation]*task
		samples  []sample
		usageLag clock.Millis
		faults   WorkerFaults
		over     int
		starts   []provider.Incarnation
		watcher  func(WorkerEvent)
	}

	// Behaviour is how a task turns out.
	Behaviour struct {
		// RunTime is how long it takes, clock.Never for standing work.
		RunTime clock.Millis
		Fails   bool
		Answer  []byte
	}

	// WorkerFaults are the switches of a Worker.
	WorkerFaults struct {
		// Down answers nothing, but tasks go on.
		Down bool `json:"down"`
		// LoseAnswers is how many of the next orders take effect without an
		// answer.
		LoseAnswers int `json:"lose-answers"`
		// FailAll makes every task fail as it starts.
		FailAll bool `json:"fail-all"`
		// Delay is how long each call takes over HTTP.
		Delay clock.Millis `json:"delay"`
	}

	sample struct {
		shard string
		seen  clock.Millis
		usage provider.UsageSample
	}
)

const (
	defaultUsageLag = 5 * clock.Second
	sampleSpan      = 10 * clock.Second
	samplesKept     = 10 * clock.Minute
	reportsInReply  = 8
	wholeShare      = 1000
)

// NewWorker gives an idle worker.
func NewWorker(capacity sizer.Size, now func() clock.Millis, behave func(provider.StartOrder) Behaviour) *Worker {
	w := &Worker{now: now, capacity: capacity, behave: behave, usageLag: defaultUsageLag}
	w.reset()
	return w
}

// AsDeclared is the behaviour of a task that is as its order says.
func AsDeclared(o provider.StartOrder) Behaviour {
	b := Behaviour{RunTime: clock.Millis(o.RunTime), Answer: append([]byte("done: "), o.Payload...)}
	if b.RunTime == 0 {
		b.RunTime = clock.Never
	}
	return b
}

// Restart ends every task and forgets everything, as a new boot does.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	for _, t := range w.tasks {
		if t.phase == provider.PhaseRunning {
			t.phase = provider.PhaseLapsed
			w.tell(t, w.reading())
		}
	}
	w.boot++
	w.reset()
}

// SetFaults sets the switches.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Faults gives the switches.
func (w *Worker) Faults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Overcommits gives how often running tasks were larger than the worker.
func (w *Worker) Overcommits() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

// Running gives the incarnations that run now, and their whole size.
func (w *Worker) Running() ([]provider.Incarnation, sizer.Size) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	var names []provider.Incarnation
	var sum sizer.Size
	for i, t := range w.tasks {
		if t.phase == provider.PhaseRunning {
			names = append(names, i)
			sum = sum.Add(t.size)
		}
	}
	return names, sum
}

// Starts gives every incarnation that was ever started, in order.
func (w *Worker) Starts() []provider.Incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.starts)
}

// WorkersOf gives workers as daemons see them, by address.
func WorkersOf(find func(address string) *Worker) provider.Workers {
	return provider.Workers{
		Start: func(_ context.Context, a string, o provider.StartOrder) (provider.Reply, error) {
			return order(find(a), func(w *Worker) (provider.Reply, error) { return w.start(o) })
		},
		Extend: func(_ context.Context, a string, o provider.LeaseOrder) (provider.Reply, error) {
			return order(find(a), func(w *Worker) (provider.Reply, error) { return w.extend(o) })
		},
		Checkpoint: func(_ context.Context, a string, o provider.TaskOrder) (provider.Reply, error) {
			return order(find(a), func(w *Worker) (provider.Reply, error) { return w.save(o) })
		},
		Throttle: func(_ context.Context, a string, o provider.TaskOrder) (provider.Reply, error) {
			return order(find(a), func(w *Worker) (provider.Reply, error) { return w.throttle(o) })
		},
		Stop: func(_ context.Context, a string, o provider.TaskOrder) (provider.Reply, error) {
			return order(find(a), func(w *Worker) (provider.Reply, error) { return w.stop(o) })
		},
		Forget: func(_ context.Context, a string, o provider.TaskOrder) (provider.Reply, error) {
			return order(find(a), func(w *Worker) (provider.Reply, error) { return w.forget(o) })
		},
		Inventory: func(_ context.Context, a string, f provider.Fence) (provider.Inventory, error) {
			return order(find(a), func(w *Worker) (provider.Inventory, error) { return w.inventory(f) })
		},
		Usage: func(_ context.Context, a, shard string, since int64) (provider.UsageReport, error) {
			return order(find(a), func(w *Worker) (provider.UsageReport, error) { return w.usage(shard, since) })
		},
	}
}

// order carries out f under the worker's lock and faults.
func order[T any](w *Worker, f func(*Worker) (T, error)) (T, error) {
	var none T
	if w == nil {
		return none, coder.New(coder.Unreachable, "Worker: no such address")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Down {
		return none, coder.New(coder.Unreachable, "Worker: no answer")
	}
	w.settle()
	v, err := f(w)
	if err == nil && w.faults.LoseAnswers > 0 {
		w.faults.LoseAnswers--
		return none, errAnswerLost
	}
	return v, err
}

func (w *Worker) reset() {
	w.booted = w.now()
	w.fences = map[string]provider.Fence{}
	w.tasks = map[provider.Incarnation]*task{}
	w.samples = nil
}

func (w *Worker) reading() clock.Millis { return w.now() - w.booted }

func (w *Worker) stamp() provider.Stamp {
	return provider.Stamp{Boot: strconv.Itoa(w.boot), Reading: int64(w.reading())}
}

// reply gives an answer that says what of the shard's tasks has ended.
func (w *Worker) reply(f provider.Fence) provider.Reply {
	r := provider.Reply{Stamp: w.stamp()}
	for i, t := range w.tasks {
		if t.order.Fence.Shard == f.Shard && t.phase != provider.PhaseRunning {
			r.Ended++
			r.Reports = append(r.Reports, t.report(i, w.reading()))
		}
	}
	sortReports(r.Reports)
	r.Reports = r.Reports[:min(len(r.Reports), reportsInReply)]
	return r
}

func sortReports(all []provider.TaskReport) {
	slices.SortFunc(all, func(a, b provider.TaskReport) int {
		return strings.Compare(a.Incarnation.String(), b.Incarnation.String())
	})
}

// settle brings tasks that have ended or lapsed up to date.
func (w *Worker) settle() {
	now := w.reading()
	for _, t := range w.tasks {
		if t.phase != provider.PhaseRunning {
			continue
		}
		if t.endsAt <= now && t.endsAt <= t.leaseUntil {
			w.end(t, t.endsAt, t.outcome())
			continue
		}
		if t.leaseUntil <= now {
			w.end(t, t.leaseUntil, provider.PhaseLapsed)
			continue
		}
		for t.sampled+sampleSpan <= now {
			w.sample(t, t.sampled+sampleSpan)
		}
	}
}

func (w *Worker) end(t *task, at clock.Millis, p provider.TaskPhase) {
	t.phase = p
	t.endedAt = at
	w.sample(t, at)
	w.tell(t, at)
}

func (w *Worker) sample(t *task, until clock.Millis) {
	w.samples = append(w.samples, sample{
		shard: t.order.Fence.Shard,
		seen:  until + w.usageLag,
		usage: provider.UsageSample{
			Incarnation: t.order.Incarnation,
			From:        int64(t.sampled),
			Until:       int64(until),
			Millicores:  t.size.Millicores() * int64(t.permille) / wholeShare,
			Memory:      t.size.MemoryBytes(),
			Progress:    int64(t.permille),
		},
	})
	t.sampled = until
	w.samples = slices.DeleteFunc(w.samples, func(s sample) bool { return s.seen+samplesKept < until })
}

func (w *Worker) admit(f provider.Fence) error {
	if seen, known := w.fences[f.Shard]; known && f.Compare(seen) <= 0 {
		return coder.New(coder.Fenced, "Worker: order %d.%d is not above %d.%d", f.Epoch, f.Sequence, seen.Epoch, seen.Sequence)
	}
	w.fences[f.Shard] = f
	return nil
}

func (w *Worker) start(o provider.StartOrder) (provider.Reply, error) {
	if err := w.admit(o.Fence); err != nil {
		return provider.Reply{}, err
	}
	if o.Boot != w.stamp().Boot || clock.Millis(min(o.LeaseUntil, o.StartBy)) <= w.reading() {
		return provider.Reply{}, coder.New(coder.LeaseLapsed, "Worker: the lease ended before the order came")
	}
	if _, twice := w.tasks[o.Incarnation]; twice {
		return provider.Reply{}, coder.New(coder.NotRun, "Worker: incarnation %d of %s was started before", o.Incarnation.Number, o.Incarnation.Task)
	}
	w.tasks[o.Incarnation] = w.begin(o)
	w.starts = append(w.starts, o.Incarnation)
	w.tell(w.tasks[o.Incarnation], w.reading())
	w.settle()
	w.watch()
	return w.reply(o.Fence), nil
}

func (w *Worker) begin(o provider.StartOrder) *task {
	t := &task{
		order:      o,
		size:       o.Size.Size(),
		phase:      provider.PhaseRunning,
		started:    w.reading(),
		sampled:    w.reading(),
		resumed:    progressOf(o.Checkpoint),
		leaseUntil: clock.Millis(o.LeaseUntil),
		checkpoint: o.Checkpoint,
		behaviour:  w.behave(o),
		permille:   wholeShare,
	}
	t.endsAt = t.started.Add(max(t.behaviour.RunTime-t.resumed, 1))
	if w.faults.FailAll {
		t.behaviour.Fails = true
		t.endsAt = t.started
	}
	return t
}

func (w *Worker) watch() {
	var sum sizer.Size
	for _, t := range w.tasks {
		if t.phase == provider.PhaseRunning {
			sum = sum.Add(t.size)
		}
	}
	if !sum.Fits(w.capacity) {
		w.over++
	}
}

func (w *Worker) extend(o provider.LeaseOrder) (provider.Reply, error) {
	if err := w.admit(o.Fence); err != nil {
		return provider.Reply{}, err
	}
	if o.Boot != w.stamp().Boot {
		return provider.Reply{}, coder.New(coder.LeaseLapsed, "Worker: it was restarted")
	}
	for _, i := range o.Tasks {
		if t, known := w.tasks[i]; known && t.phase == provider.PhaseRunning {
			t.leaseUntil = max(t.leaseUntil, clock.Millis(o.LeaseUntil))
		}
	}
	return w.reply(o.Fence), nil
}

func (w *Worker) running(o provider.TaskOrder) (*task, error) {
	if err := w.admit(o.Fence); err != nil {
		return nil, err
	}
	t, known := w.tasks[o.Incarnation]
	if !known {
		return nil, coder.New(coder.NotFound, "Worker: incarnation %d of %s is not here", o.Incarnation.Number, o.Incarnation.Task)
	}
	return t, nil
}

func (w *Worker) save(o provider.TaskOrder) (provider.Reply, error) {
	t, err := w.running(o)
	if err != nil {
		return provider.Reply{}, err
	}
	t.checkpointAt(w.reading())
	r := w.reply(o.Fence)
	r.Checkpoint = t.checkpoint
	return r, nil
}

func (w *Worker) throttle(o provider.TaskOrder) (provider.Reply, error) {
	t, err := w.running(o)
	if err != nil {
		return provider.Reply{}, err
	}
	w.sample(t, w.reading())
	t.permille = o.Permille
	return w.reply(o.Fence), nil
}

func (w *Worker) stop(o provider.TaskOrder) (provider.Reply, error) {
	t, err := w.running(o)
	if err != nil {
		return provider.Reply{}, err
	}
	if t.phase == provider.PhaseRunning {
		t.checkpointAt(w.reading())
		w.end(t, w.reading(), provider.PhaseStopped)
	}
	r := w.reply(o.Fence)
	r.Checkpoint = t.checkpoint
	return r, nil
}

func (w *Worker) forget(o provider.TaskOrder) (provider.Reply, error) {
	t, err := w.running(o)
	if err != nil {
		return provider.Reply{}, err
	}
	if t.phase != provider.PhaseRunning {
		delete(w.tasks, o.Incarnation)
	}
	return w.reply(o.Fence), nil
}

func (w *Worker) inventory(f provider.Fence) (provider.Inventory, error) {
	if err := w.admit(f); err != nil {
		return provider.Inventory{}, err
	}
	inv := provider.Inventory{Stamp: w.stamp()}
	for i, t := range w.tasks {
		if t.order.Fence.Shard == f.Shard {
			inv.Tasks = append(inv.Tasks, t.report(i, w.reading()))
		}
	}
	sortReports(inv.Tasks)
	return inv, nil
}

func (w *Worker) usage(shard string, since int64) (provider.UsageReport, error) {
	r := provider.UsageReport{Stamp: w.stamp()}
	for _, s := range w.samples {
		if s.shard == shard && s.seen <= w.reading() && s.usage.Until > since {
			r.Samples = append(r.Samples, s.usage)
		}
	}
	return r, nil
}
