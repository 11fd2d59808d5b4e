package imitator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Pool is a fake of the platform's workers. It records violations of at-most-once
	// execution: a task that runs twice at the same time, or again after its end was
	// acknowledged. A start order for a worker without a free slot is refused.
	Pool struct {
		mu      sync.Mutex
		workers map[string]*poolWorker
		// running is the number of current runs of each task that was ever started.
		// ackedDone is the set of tasks whose successful end was acknowledged.
		running    map[string]int
		ackedDone  map[string]bool
		violations []string
		starts     int
		orderFault func(o scheduler.Order) OrderFault
		runTime    func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending)
		// policy checks the tickets of start orders; nil if tasks need no ticket.
		policy *Policy
	}

	// OrderFault is the fault injected into one order.
	OrderFault int

	poolWorker struct {
		info           scheduler.WorkerInfo
		bootedAt       clock.Millis
		highestEpoch   int64
		leaseUntil     clock.Millis
		runs           map[string]*poolRun
		highestAttempt map[string]int
		endedRuns      []scheduler.EndedRun
		runEnded       chan struct{}
		lastEndNumber  int64
		partitioned    bool
		slots          int
	}

	poolRun struct {
		order scheduler.Order
		timer *time.Timer
	}
)

// Faults of orders to workers.
const (
	// OrderFine injects no fault.
	OrderFine OrderFault = iota
	// OrderLost makes the order time out, without effect.
	OrderLost
	// OrderUnanswered makes the order take effect and then time out.
	OrderUnanswered
	// OrderLate makes the order time out. It takes effect lateDelay after it was sent.
	OrderLate
)

// NewPool returns a pool of workers "w0", "w1" and so on with the given number of slots
// each. runTime returns the duration of an attempt to run a task and how it ends.
// orderFault returns the fault to inject into an order; if it is nil, none is injected.
func NewPool(workers, slots int, runTime func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending), orderFault func(scheduler.Order) OrderFault) *Pool {
	p := &Pool{workers: map[string]*poolWorker{}, running: map[string]int{}, ackedDone: map[string]bool{}, runTime: runTime, orderFault: orderFault}
	if orderFault == nil {
		p.orderFault = func(scheduler.Order) OrderFault { return OrderFine }
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		p.startWorker(id, slots, 1)
	}
	return p
}

// SetPolicy makes the workers refuse start orders without a valid ticket of y.
func (p *Pool) SetPolicy(y *Policy) { p.policy = y }

func (p *Pool) startWorker(id string, slots int, born int64) {
	p.workers[id] = &poolWorker{
		info:     scheduler.WorkerInfo{ID: id, Address: id, Service: "pool", DataCentre: "a", CPU: int64(slots) * 1000, Memory: int64(slots) * 1000, Born: born},
		bootedAt: clock.System(), runs: map[string]*poolRun{}, highestAttempt: map[string]int{}, runEnded: make(chan struct{}), slots: slots,
	}
}

// Register writes the entries of all workers to the registry, the topic "servers".
func (p *Pool) Register(l *KeyedLog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, w := range p.workers {
		i := w.info
		i.Clock = w.clock()
		b, err := json.Marshal(i)
		if err != nil {
			p.violations = append(p.violations, err.Error())
			continue
		}
		l.Put("servers", recorder.Item{Key: id, Value: b})
	}
}

// DecodeEntry decodes a registry entry as Register writes it, and reports whether it is
// valid.
func DecodeEntry(i recorder.Item) (scheduler.WorkerInfo, bool) {
	var w scheduler.WorkerInfo
	return w, json.Unmarshal(i.Value, &w) == nil
}

// Restart kills a worker with all its runs and starts a new instance under its name.
func (p *Pool) Restart(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	for name, r := range w.runs {
		r.timer.Stop()
		p.running[name]--
	}
	close(w.runEnded)
	p.startWorker(id, w.slots, w.info.Born+1)
}

// SetPartitioned sets whether a worker is partitioned from all daemons: its calls time out, while
// its runs continue.
func (p *Pool) SetPartitioned(id string, partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers[id].partitioned = partitioned
}

// Violations returns the recorded violations of at-most-once execution.
func (p *Pool) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.violations
}

// Starts returns the number of runs that were started.
func (p *Pool) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Fleet returns a client of the workers for a conductor.
func (p *Pool) Fleet() conductor.Fleet { return conductor.Fleet{Send: p.send, Poll: p.poll} }

func (w *poolWorker) clock() clock.Millis { return clock.System() - w.bootedAt }

func (p *Pool) send(ctx context.Context, o scheduler.Order, epoch int64) scheduler.Outcome {
	if !recorder.Sleep(ctx, 1) {
		return scheduler.Unclear
	}
	p.mu.Lock()
	unreachable := p.workers[o.Worker] == nil || p.workers[o.Worker].partitioned
	f := p.orderFault(o)
	p.mu.Unlock()
	switch {
	case unreachable || f == OrderLost:
		<-ctx.Done()
		return scheduler.Unclear
	case f == OrderLate:
		time.AfterFunc(lateDelay.Duration(), func() { p.execute(o, epoch) })
		<-ctx.Done()
		return scheduler.Unclear
	}
	out := p.execute(o, epoch)
	if f == OrderUnanswered {
		<-ctx.Done()
		return scheduler.Unclear
	}
	return out
}

func (p *Pool) execute(o scheduler.Order, epoch int64) scheduler.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[o.Worker]
	p.expireLease(w)
	if epoch < w.highestEpoch {
		return scheduler.Fenced
	}
	w.highestEpoch = epoch
	name := o.Task.String()
	switch o.Kind {
	case scheduler.Start:
		return p.start(w, name, o)
	case scheduler.Stop:
		w.highestAttempt[name] = max(w.highestAttempt[name], o.Attempt)
		if r := w.runs[name]; r != nil && r.order.Attempt <= o.Attempt {
			p.endRun(w, name, scheduler.EndStopped)
		}
	}
	return scheduler.Done
}

func (p *Pool) start(w *poolWorker, name string, o scheduler.Order) scheduler.Outcome {
	if r := w.runs[name]; r != nil && r.order.Attempt == o.Attempt {
		return scheduler.Done
	}
	switch {
	case o.Attempt <= w.highestAttempt[name]:
		return scheduler.Obsolete
	case o.Deadline <= w.clock():
		return scheduler.Late
	case p.policy != nil && !p.policy.admits(name, w.info.ID, o.Ticket):
		return scheduler.NoTicket
	case len(w.runs) >= w.slots:
		return scheduler.NoRoom
	}
	w.extend(o.Deadline)
	w.highestAttempt[name] = o.Attempt
	p.starts++
	if p.running[name]++; p.running[name] > 1 {
		p.violations = append(p.violations, fmt.Sprintf("%s runs twice, now on %s", name, w.info.ID))
	}
	if p.ackedDone[name] {
		p.violations = append(p.violations, fmt.Sprintf("%s runs again after its end was acknowledged", name))
	}
	d, ending := p.runTime(o.Task, o.Attempt)
	w.runs[name] = &poolRun{order: o, timer: time.AfterFunc(d.Duration(), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.expireLease(w)
		if r := w.runs[name]; r != nil && r.order.Attempt == o.Attempt && p.workers[w.info.ID] == w {
			p.endRun(w, name, ending)
		}
	})}
	return scheduler.Done
}

func (w *poolWorker) extend(deadline clock.Millis) {
	w.leaseUntil = max(w.leaseUntil, w.bootedAt+deadline)
}

// expireLease ends the runs of a worker whose lease has expired.
func (p *Pool) expireLease(w *poolWorker) {
	if clock.System() < w.leaseUntil {
		return
	}
	for name := range w.runs {
		p.endRun(w, name, scheduler.EndLapsed)
	}
}

func (p *Pool) endRun(w *poolWorker, name string, ending scheduler.Ending) {
	r := w.runs[name]
	r.timer.Stop()
	delete(w.runs, name)
	p.running[name]--
	w.lastEndNumber++
	w.endedRuns = append(w.endedRuns, scheduler.EndedRun{Number: w.lastEndNumber, Task: name, Attempt: r.order.Attempt, How: ending})
	close(w.runEnded)
	w.runEnded = make(chan struct{})
}

func (p *Pool) poll(ctx context.Context, q conductor.PollRequest, epoch int64) (scheduler.Report, scheduler.Outcome) {
	if !recorder.Sleep(ctx, 1) {
		return scheduler.Report{}, scheduler.Unclear
	}
	p.mu.Lock()
	w := p.workers[q.Worker]
	if w.partitioned {
		p.mu.Unlock()
		<-ctx.Done()
		return scheduler.Report{}, scheduler.Unclear
	}
	if out := p.renew(w, q, epoch); out != scheduler.Done {
		p.mu.Unlock()
		return scheduler.Report{Born: w.info.Born}, out
	}
	runEnded, noEndedRuns := w.runEnded, len(w.endedRuns) == 0
	p.mu.Unlock()
	if noEndedRuns && q.Wait > 0 {
		t := time.NewTimer(q.Wait.Duration())
		defer t.Stop()
		select {
		case <-runEnded:
		case <-t.C:
		case <-ctx.Done():
			return scheduler.Report{}, scheduler.Unclear
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workers[q.Worker] != w {
		return scheduler.Report{}, scheduler.Unclear
	}
	p.expireLease(w)
	r := scheduler.Report{Born: w.info.Born, Clock: w.clock(), Ended: append([]scheduler.EndedRun(nil), w.endedRuns...)}
	for name, run := range w.runs {
		r.Active = append(r.Active, scheduler.ActiveRun{Task: name, Attempt: run.order.Attempt, Percent: int(clock.System() % 100)})
	}
	return r, scheduler.Done
}

// renew deletes the ended runs that the caller has acknowledged and extends the lease. It
// refuses a call for another instance of the worker, or from a caller with an older epoch
// than the highest one seen.
func (p *Pool) renew(w *poolWorker, q conductor.PollRequest, epoch int64) scheduler.Outcome {
	switch {
	case w.info.Born != q.Born:
		return scheduler.WorkerRestarted
	case epoch < w.highestEpoch:
		return scheduler.Fenced
	}
	p.expireLease(w)
	w.highestEpoch = epoch
	unacked := w.endedRuns[:0]
	for _, e := range w.endedRuns {
		if e.Number > q.Acked {
			unacked = append(unacked, e)
		} else if e.How == scheduler.EndDone {
			p.ackedDone[e.Task] = true
		}
	}
	w.endedRuns = unacked
	if q.Deadline > 0 {
		w.extend(q.Deadline)
	}
	return scheduler.Done
}

// Born returns the instance number of a worker, which each restart increments.
func (p *Pool) Born(id string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[id].info.Born
}

// Clock returns the reading of a worker's own clock: the time since it was started.
func (p *Pool) Clock(id string) clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[id].clock()
}

// Info returns the registry entry of a worker.
func (p *Pool) Info(id string) scheduler.WorkerInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[id].info
}

// Started reports whether any task of a job was ever started. Names of tasks begin with
// the job and ".".
func (p *Pool) Started(job string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.running {
		if strings.HasPrefix(name, job+".") {
			return true
		}
	}
	return false
}

// Busy returns the workers with at least one run, in no particular order.
func (p *Pool) Busy() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, w := range p.workers {
		if len(w.runs) > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}
