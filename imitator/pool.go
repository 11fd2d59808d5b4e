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
	// Pool is a stand-in for the workers of a platform. It notes what must never
	// happen: a task that runs twice at once, or again after an end that was
	// acknowledged, and a worker over its capacity.
	Pool struct {
		mu      sync.Mutex
		workers map[string]*poolWorker
		// running counts the runs of each task; over has the tasks whose end was
		// acknowledged.
		running map[string]int
		over    map[string]bool
		faults  []string
		starts  int
		order   func(o scheduler.Order) OrderFault
		length  func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending)
		// policy admits tasks; nil for workers that take all.
		policy *Policy
	}

	// OrderFault is what happens to one order.
	OrderFault int

	poolWorker struct {
		info    scheduler.WorkerInfo
		booted  clock.Millis
		fence   int64
		lease   clock.Millis
		runs    map[string]*poolRun
		highest map[string]int
		ends    []scheduler.EndedRun
		ended   chan struct{}
		number  int64
		cut     bool
		slots   int
	}

	poolRun struct {
		order scheduler.Order
		timer *time.Timer
	}
)

// Faults of orders.
const (
	// OrderFine: the order is carried out and answered.
	OrderFine OrderFault = iota
	// OrderLost: it never arrives.
	OrderLost
	// OrderUnanswered: it is carried out and not answered.
	OrderUnanswered
	// OrderLate: it is not answered and carried out some seconds later.
	OrderLate
)

// NewPool returns workers with room for so many runs each. length gives how long an
// attempt of a task takes and how it ends; order what happens to each order.
func NewPool(workers, slots int, length func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending), order func(scheduler.Order) OrderFault) *Pool {
	p := &Pool{workers: map[string]*poolWorker{}, running: map[string]int{}, over: map[string]bool{}, length: length, order: order}
	if order == nil {
		p.order = func(scheduler.Order) OrderFault { return OrderFine }
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		p.boot(id, slots, 1)
	}
	return p
}

// SetPolicy makes the workers take only tasks with a ticket.
func (p *Pool) SetPolicy(y *Policy) { p.policy = y }

func (p *Pool) boot(id string, slots int, born int64) {
	p.workers[id] = &poolWorker{
		info:   scheduler.WorkerInfo{ID: id, Address: id, Service: "pool", DataCentre: "a", CPU: int64(slots) * 1000, Memory: int64(slots) * 1000, Born: born},
		booted: clock.System(), runs: map[string]*poolRun{}, highest: map[string]int{}, ended: make(chan struct{}), slots: slots,
	}
}

// Register writes the entries of all workers to the registry.
func (p *Pool) Register(l *KeyedLog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, w := range p.workers {
		i := w.info
		i.Clock = w.clock()
		b, err := json.Marshal(i)
		if err != nil {
			p.faults = append(p.faults, err.Error())
			continue
		}
		l.Put("servers", recorder.Item{Key: id, Value: b})
	}
}

// DecodeEntry reads an entry that Register wrote.
func DecodeEntry(i recorder.Item) (scheduler.WorkerInfo, bool) {
	var w scheduler.WorkerInfo
	return w, json.Unmarshal(i.Value, &w) == nil
}

// Restart ends a worker with all its runs and starts it again under its name.
func (p *Pool) Restart(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	for name, r := range w.runs {
		r.timer.Stop()
		p.running[name]--
	}
	close(w.ended)
	p.boot(id, w.slots, w.info.Born+1)
}

// Cut cuts a worker off from all daemons, or ends that. It works on.
func (p *Pool) Cut(id string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers[id].cut = cut
}

// Faults returns what must not have happened.
func (p *Pool) Faults() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Starts returns how many runs have started.
func (p *Pool) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Fleet returns the workers by their calls.
func (p *Pool) Fleet() conductor.Fleet { return conductor.Fleet{Send: p.send, Look: p.look} }

func (w *poolWorker) clock() clock.Millis { return clock.System() - w.booted }

func (p *Pool) send(ctx context.Context, o scheduler.Order, epoch int64) scheduler.Outcome {
	if !recorder.Sleep(ctx, 1) {
		return scheduler.Unclear
	}
	p.mu.Lock()
	cut := p.workers[o.Worker] == nil || p.workers[o.Worker].cut
	f := p.order(o)
	p.mu.Unlock()
	switch {
	case cut || f == OrderLost:
		<-ctx.Done()
		return scheduler.Unclear
	case f == OrderLate:
		time.AfterFunc(lateBy.Duration(), func() { p.carryOut(o, epoch) })
		<-ctx.Done()
		return scheduler.Unclear
	}
	out := p.carryOut(o, epoch)
	if f == OrderUnanswered {
		<-ctx.Done()
		return scheduler.Unclear
	}
	return out
}

func (p *Pool) carryOut(o scheduler.Order, epoch int64) scheduler.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[o.Worker]
	p.expire(w)
	if epoch < w.fence {
		return scheduler.Fenced
	}
	w.fence = epoch
	name := o.Task.String()
	switch o.Kind {
	case scheduler.Start:
		return p.start(w, name, o)
	case scheduler.Stop:
		w.highest[name] = max(w.highest[name], o.Attempt)
		if r := w.runs[name]; r != nil && r.order.Attempt <= o.Attempt {
			p.end(w, name, scheduler.EndStopped)
		}
	}
	return scheduler.Done
}

func (p *Pool) start(w *poolWorker, name string, o scheduler.Order) scheduler.Outcome {
	if r := w.runs[name]; r != nil && r.order.Attempt == o.Attempt {
		return scheduler.Done
	}
	switch {
	case o.Attempt <= w.highest[name]:
		return scheduler.Obsolete
	case o.Deadline <= w.clock():
		return scheduler.Late
	case p.policy != nil && !p.policy.admits(name, w.info.ID, o.Ticket):
		return scheduler.NoTicket
	case len(w.runs) >= w.slots:
		return scheduler.NoRoom
	}
	w.extend(o.Deadline)
	w.highest[name] = o.Attempt
	p.starts++
	if p.running[name]++; p.running[name] > 1 {
		p.faults = append(p.faults, fmt.Sprintf("%s runs twice, now on %s", name, w.info.ID))
	}
	if p.over[name] {
		p.faults = append(p.faults, fmt.Sprintf("%s runs again after its end was acknowledged", name))
	}
	d, how := p.length(o.Task, o.Attempt)
	w.runs[name] = &poolRun{order: o, timer: time.AfterFunc(d.Duration(), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.expire(w)
		if r := w.runs[name]; r != nil && r.order.Attempt == o.Attempt && p.workers[w.info.ID] == w {
			p.end(w, name, how)
		}
	})}
	return scheduler.Done
}

func (w *poolWorker) extend(deadline clock.Millis) {
	w.lease = max(w.lease, w.booted+deadline)
}

// expire ends the runs of a worker whose lease is over.
func (p *Pool) expire(w *poolWorker) {
	if clock.System() < w.lease {
		return
	}
	for name := range w.runs {
		p.end(w, name, scheduler.EndLapsed)
	}
}

func (p *Pool) end(w *poolWorker, name string, how scheduler.Ending) {
	r := w.runs[name]
	r.timer.Stop()
	delete(w.runs, name)
	p.running[name]--
	w.number++
	w.ends = append(w.ends, scheduler.EndedRun{Number: w.number, Task: name, Attempt: r.order.Attempt, How: how})
	close(w.ended)
	w.ended = make(chan struct{})
}

func (p *Pool) look(ctx context.Context, q conductor.Question, epoch int64) (scheduler.Report, scheduler.Outcome) {
	if !recorder.Sleep(ctx, 1) {
		return scheduler.Report{}, scheduler.Unclear
	}
	p.mu.Lock()
	w := p.workers[q.Worker]
	if w.cut {
		p.mu.Unlock()
		<-ctx.Done()
		return scheduler.Report{}, scheduler.Unclear
	}
	if out := p.hold(w, q, epoch); out != scheduler.Done {
		p.mu.Unlock()
		return scheduler.Report{Born: w.info.Born}, out
	}
	ended, none := w.ended, len(w.ends) == 0
	p.mu.Unlock()
	if none && q.Wait > 0 {
		t := time.NewTimer(q.Wait.Duration())
		defer t.Stop()
		select {
		case <-ended:
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
	p.expire(w)
	r := scheduler.Report{Born: w.info.Born, Clock: w.clock(), Ended: append([]scheduler.EndedRun(nil), w.ends...)}
	for name, run := range w.runs {
		r.Active = append(r.Active, scheduler.ActiveRun{Task: name, Attempt: run.order.Attempt, Percent: int(clock.System() % 100)})
	}
	return r, scheduler.Done
}

// hold takes in the acknowledged ends and the new lease.
func (p *Pool) hold(w *poolWorker, q conductor.Question, epoch int64) scheduler.Outcome {
	switch {
	case w.info.Born != q.Born:
		return scheduler.OtherLife
	case epoch < w.fence:
		return scheduler.Fenced
	}
	p.expire(w)
	w.fence = epoch
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.Number > q.Acked {
			kept = append(kept, e)
		} else if e.How == scheduler.EndDone {
			p.over[e.Task] = true
		}
	}
	w.ends = kept
	if q.Deadline > 0 {
		w.extend(q.Deadline)
	}
	return scheduler.Done
}

// Born returns when a worker's life began.
func (p *Pool) Born(id string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[id].info.Born
}

// Clock returns a worker's own clock.
func (p *Pool) Clock(id string) clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[id].clock()
}

// Info returns what a worker says of itself.
func (p *Pool) Info(id string) scheduler.WorkerInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[id].info
}

// Started reports whether any task of a job has had a run.
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

// Busy returns the workers that have runs.
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
