package imitator

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Pool is a fake of the platform's workers. It records violations of at-most-once
	// execution: a task that runs twice at the same time, or again after its end was
	// acknowledged, and a poll that acknowledges ends that no answer has listed. A start order
	// for a worker without a free slot is refused.
	Pool struct {
		mu         sync.Mutex
		workers    map[string]*poolWorker
		ledger     *ledger
		counts     PoolCounts
		orderFault func(o scheduler.Order) OrderFault
		runTime    func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending)
		// policy checks the tickets of start orders; nil if tasks need no ticket.
		policy *Policy
		// maxLease limits leases; 0 if they are unlimited.
		maxLease clock.Millis
		// bound is whether orders reach only the process that they are for.
		bound bool
		// deadly are the tasks that crash their workers; nil if there are none.
		deadly *deadly
		// onStart is called after each start of a run; nil if there is none.
		onStart func(running []scheduler.TaskName)
		// crashesUnder counts the processes that ended with a run of each task.
		crashesUnder map[string]int
	}

	// OrderFault is the fault injected into one order.
	OrderFault int
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
	p := &Pool{workers: map[string]*poolWorker{}, ledger: newLedger(), runTime: runTime, orderFault: orderFault, crashesUnder: map[string]int{}}
	if orderFault == nil {
		p.orderFault = func(scheduler.Order) OrderFault { return OrderFine }
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		p.startWorker(id, slots, 1, 1)
	}
	return p
}

// SetPolicy makes the workers refuse start orders without a valid ticket of y.
func (p *Pool) SetPolicy(y *Policy) { p.policy = y }

// BindOrders makes orders reach only the process that they are for.
func (p *Pool) BindOrders() { p.bound = true }

// SetMaxLease makes the workers shorten a lease to m.
func (p *Pool) SetMaxLease(m clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxLease = m
}

// SetClockRate sets how fast the clock of a worker runs, 1 for exact. It has to be called before the
// worker is in use, and holds for its later processes too.
func (p *Pool) SetClockRate(id string, rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers[id].clockRate = rate
}

func (p *Pool) startWorker(id string, slots int, born int64, clockRate float64) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &poolWorker{
		ctx: ctx, cancel: cancel,
		info:     scheduler.WorkerInfo{ID: id, Address: id, Service: "pool", DataCentre: "a", CPU: int64(slots) * 1000, Memory: int64(slots) * 1000, Born: born},
		bootedAt: clock.System(), clockRate: clockRate, runs: map[string]*poolRun{}, highestAttempt: map[string]int{}, runEnded: make(chan struct{}), slots: slots,
	}
	w.leaseTimer = time.AfterFunc(0, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.expireLease(w)
	})
	p.workers[id] = w
}

// Register writes the entries of all workers to the registry, the topic "servers".
func (p *Pool) Register(l *KeyedLog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		i := w.info
		i.Clock = w.clock()
		l.Put("servers", EncodeEntry(i))
	}
}

// EncodeEntry returns the registry entry of a worker.
func EncodeEntry(i scheduler.WorkerInfo) recorder.Item {
	b, err := json.Marshal(i)
	if err != nil {
		// All fields are plain values, so this is a programming error.
		panic(errors.Wrap(err, "imitator.EncodeEntry"))
	}
	return recorder.Item{Key: i.ID, Value: b}
}

// DecodeEntry decodes a registry entry as Register writes it. The error is that of the JSON decoder.
func DecodeEntry(i recorder.Item) (scheduler.WorkerInfo, error) {
	var w scheduler.WorkerInfo
	err := json.Unmarshal(i.Value, &w)
	return w, errors.Wrap(err, "imitator.DecodeEntry")
}

// Restart kills a worker with all its runs and starts a new instance under its name.
func (p *Pool) Restart(id string) {
	p.Kill(id)
	p.Boot(id)
}

// Kill kills a worker with all its runs. Until Boot, calls to it time out.
func (p *Pool) Kill(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	if w.dead() {
		return
	}
	for name, r := range w.runs {
		p.crashesUnder[name]++
		r.timer.Stop()
		p.ledger.end(name, w.taskRun(r), clock.System())
	}
	clear(w.runs)
	w.leaseTimer.Stop()
	w.cancel()
	close(w.runEnded)
}

// Boot starts a new instance of a worker that was killed, under the same name.
func (p *Pool) Boot(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[id]; w.dead() {
		p.counts.Restarts++
		p.startWorker(id, w.slots, w.info.Born+1, w.clockRate)
	}
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
	return p.ledger.violations
}

// Starts returns the number of runs that were started.
func (p *Pool) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts.Starts
}

// Fleet returns a client of the workers for a conductor.
func (p *Pool) Fleet() conductor.Fleet { return conductor.Fleet{Send: p.send, Poll: p.poll} }

func (p *Pool) send(ctx context.Context, o scheduler.Order, epoch int64) scheduler.Outcome {
	ctx, cancel := context.WithTimeout(ctx, conductor.OrderTimeout.Duration())
	defer cancel()
	if !recorder.Sleep(ctx, 1) {
		return scheduler.Unclear
	}
	p.mu.Lock()
	w := p.workers[o.Worker]
	unreachable := w == nil || w.partitioned || w.dead()
	f := p.orderFault(o)
	refusal, refused := w.refusal()
	p.mu.Unlock()
	switch {
	case refused:
		return refusal
	case unreachable || f == OrderLost:
		<-ctx.Done()
		return scheduler.Unclear
	case f == OrderLate:
		time.AfterFunc(lateDelay.Duration(), func() { p.executeNow(o, epoch) })
		<-ctx.Done()
		return scheduler.Unclear
	}
	out := p.executeNow(o, epoch)
	if f == OrderUnanswered {
		<-ctx.Done()
		return scheduler.Unclear
	}
	return out
}

// executeNow carries out an order by the worker's current process, whichever it was sent to.
func (p *Pool) executeNow(o scheduler.Order, epoch int64) scheduler.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.execute(p.workers[o.Worker], o, epoch)
}

func (p *Pool) execute(w *poolWorker, o scheduler.Order, epoch int64) scheduler.Outcome {
	if w.dead() {
		return scheduler.Unclear
	}
	if p.bound && o.Born != w.info.Born {
		return scheduler.WorkerRestarted
	}
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
		p.extend(w, o.Deadline)
		return scheduler.Obsolete
	case o.Deadline <= w.clock():
		return scheduler.Late
	case p.policy != nil && !p.policy.admits(name, w.info.ID, o.Ticket):
		return scheduler.NoTicket
	case len(w.runs) >= w.slots:
		p.extend(w, o.Deadline)
		return scheduler.NoRoom
	}
	p.extend(w, o.Deadline)
	w.highestAttempt[name] = o.Attempt
	d, ending := p.runTime(o.Task, o.Attempt)
	r := &poolRun{order: o, started: clock.System()}
	w.runs[name] = r
	p.counts.Starts++
	p.ledger.start(name, w.taskRun(r))
	p.noteStart(w, o)
	r.timer = time.AfterFunc(d.Duration(), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.expireLease(w)
		if w.runs[name] == r {
			p.endRun(w, name, ending)
		}
	})
	p.noteRunning()
	return scheduler.Done
}

func (p *Pool) extend(w *poolWorker, deadline clock.Millis) {
	until := w.bootedAt + clock.Millis(float64(deadline)/w.clockRate)
	if limit := clock.System() + clock.Millis(float64(p.maxLease)/w.clockRate); p.maxLease > 0 && until > limit {
		until = limit
		p.counts.CappedLeases++
	}
	w.leaseUntil = max(w.leaseUntil, until)
	w.leaseTimer.Reset((w.leaseUntil - clock.System()).Duration())
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
	run := w.taskRun(r)
	at := clock.System()
	if ending == scheduler.EndLapsed {
		at = w.leaseUntil
	}
	p.ledger.end(name, run, at)
	w.lastEndNumber++
	w.endedRuns = append(w.endedRuns, poolEnd{run: run, EndedRun: scheduler.EndedRun{Number: w.lastEndNumber, Task: name, Attempt: r.order.Attempt, How: ending}})
	close(w.runEnded)
	w.runEnded = make(chan struct{})
}

func (p *Pool) poll(ctx context.Context, q conductor.PollRequest, epoch int64) (scheduler.Report, scheduler.Outcome) {
	if q.Timeout > 0 {
		c, cancel := context.WithTimeout(ctx, q.Timeout.Duration())
		defer cancel()
		ctx = c
	}
	if !recorder.Sleep(ctx, 1) {
		return scheduler.Report{}, scheduler.Unclear
	}
	p.mu.Lock()
	w := p.workers[q.Worker]
	unreachable := w.partitioned || w.dead()
	refusal, refused := w.refusal()
	p.mu.Unlock()
	if refused {
		return scheduler.Report{}, refusal
	}
	if unreachable {
		<-ctx.Done()
		return scheduler.Report{}, scheduler.Unclear
	}
	return p.pollWorker(ctx, w, q, epoch)
}

func (p *Pool) pollWorker(ctx context.Context, w *poolWorker, q conductor.PollRequest, epoch int64) (scheduler.Report, scheduler.Outcome) {
	p.mu.Lock()
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
	if w.dead() {
		return scheduler.Report{}, scheduler.Unclear
	}
	p.expireLease(w)
	r := scheduler.Report{Born: w.info.Born, Clock: w.clock()}
	for _, e := range w.endedRuns {
		r.Ended = append(r.Ended, e.EndedRun)
	}
	w.listedEnd = w.lastEndNumber
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
	case w.dead():
		return scheduler.Unclear
	case w.info.Born != q.Born:
		return scheduler.WorkerRestarted
	case epoch < w.highestEpoch:
		return scheduler.Fenced
	}
	p.expireLease(w)
	w.highestEpoch = epoch
	if q.Acked > w.listedEnd {
		p.counts.StaleAcks++
		p.ledger.violate("%s born %d has ends acknowledged up to %d by a poll at %s, and listed ends up to %d", w.info.ID, w.info.Born, q.Acked, clock.System(), w.listedEnd)
	}
	unacked := w.endedRuns[:0]
	for _, e := range w.endedRuns {
		if e.Number > q.Acked {
			unacked = append(unacked, e)
			continue
		}
		p.counts.AckedEnds++
		p.ledger.acknowledge(e.Task, acknowledgement{run: e.run, number: e.Number, acked: q.Acked, listed: e.Number <= w.listedEnd, at: clock.System()}, e.How == scheduler.EndDone)
	}
	w.endedRuns = unacked
	if q.Deadline > 0 {
		p.extend(w, q.Deadline)
	}
	return scheduler.Done
}

// Info returns the registry entry of a worker, and whether the worker is up.
func (p *Pool) Info(id string) (scheduler.WorkerInfo, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	i := w.info
	i.Clock = w.clock()
	return i, !w.dead()
}

// Started reports whether any task of a job was ever started. Names of tasks begin with
// the job and ".".
func (p *Pool) Started(job string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.started(job)
}

// Running returns the number of runs of the tasks for which match returns true.
func (p *Pool) Running(match func(scheduler.TaskName) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, w := range p.workers {
		p.expireLease(w)
		for _, r := range w.runs {
			if match(r.order.Task) {
				n++
			}
		}
	}
	return n
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
