package conductor

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

// run is the scheduler's goroutine: it runs posted functions and periodic work until the
// term is over.
func (c *Conductor) run() {
	f := recorder.Follow(c.store, registryTopic, recorder.PollTiming{Pause: registryPollInterval}, recorder.Callbacks{
		Reset:  func(m map[string][]byte) { c.post(func() { c.resetRegistry(m) }) },
		Change: func(items []recorder.Item) { c.post(func() { c.applyRegistryChanges(items) }) },
		Read: func(_, age clock.Millis) {
			at := c.now() - age
			c.post(func() { c.lastRegistryRead = at })
		},
		Failed: c.followFailed,
	})
	defer f.Close()
	defer c.closeSessions()
	sweep := time.NewTicker(sweepInterval.Duration())
	defer sweep.Stop()
	c.dispatch()
	for {
		select {
		case f := <-c.events:
			c.guard(func() {
				f()
				c.runQueued()
				c.dispatch()
			})
		case <-sweep.C:
			c.guard(func() {
				c.sweep()
				c.dispatch()
			})
		case <-c.ctx.Done():
			return
		}
	}
}

// followFailed logs why a topic can't be followed, unless the store does not answer, which the reads
// of the operator's records show too.
func (c *Conductor) followFailed(err error) {
	if errors.Is(err, recorder.ErrCallback) {
		c.emit(logger.RecordInvalid, logger.Err(err))
	}
}

// sweep does the periodic work.
func (c *Conductor) sweep() {
	// What workers have answered counts before their leases are judged.
	c.runQueued()
	c.noteDelay()
	c.sched.Sweep()
	if c.storeUnavailable() {
		c.sched.DropUnsent(ErrStoreUnavailable)
	}
	c.leaveClockReadings()
	c.updateSessions()
	c.metrics.Totals(c.sched.Counts())
	c.reportTenants()
}

// leaveClockReadings leaves readings of workers' clocks to the next leader.
func (c *Conductor) leaveClockReadings() {
	now := c.now()
	if c.relay == nil || c.leaveClocks == nil || now-c.clocksLeftAt < clockInterval {
		return
	}
	c.clocksLeftAt = now
	c.leaveClocks(c.relay.At(now), c.sched.ClockReadings())
}

// runQueued runs the functions that are already queued, so that their changes share a
// batch.
func (c *Conductor) runQueued() {
	for range eventQueueSize {
		select {
		case f := <-c.events:
			f()
		default:
			return
		}
	}
}

// dispatch sends what the scheduler has decided: orders that need no stored record,
// consultations, and a batch if none is pending and flushInterval has passed.
func (c *Conductor) dispatch() {
	for _, o := range c.sched.TakeImmediateOrders() {
		c.sendOrder(o, func(bool) {})
	}
	c.assignConsultations()
	if c.pendingBatch != nil {
		return
	}
	now := c.now()
	if gap := now - c.lastFlush; gap < flushInterval {
		c.scheduleFlush(flushInterval - gap)
		return
	}
	c.place(now)
	c.assignConsultations()
	b := c.sched.TakeBatch()
	if b == nil {
		return
	}
	c.lastFlush = c.now()
	if len(b.Records) == 0 && len(b.Acks) == 0 {
		c.batchStored(b)
		return
	}
	c.pendingBatch = b
	c.batches <- b
}

// scheduleFlush makes the scheduler's goroutine call dispatch again after d.
func (c *Conductor) scheduleFlush(d clock.Millis) {
	if c.flushScheduled {
		return
	}
	c.flushScheduled = true
	time.AfterFunc(d.Duration(), func() { c.post(func() { c.flushScheduled = false }) })
}

// writeBatches stores batches, one after the other, until the term is over.
func (c *Conductor) writeBatches() {
	for {
		select {
		case b := <-c.batches:
			if !c.storeBatch(b) {
				return
			}
			c.post(func() {
				c.pendingBatch = nil
				c.batchStored(b)
			})
		case <-c.ctx.Done():
			return
		}
	}
}

const (
	// maxAppendBytes bounds one append, below the 2 MB that the store accepts.
	maxAppendBytes = 1 << 20
)

// storeBatch stores the records of a batch. If that fails it ends the term and returns
// false. Only the records of one job have to be stored atomically, so a large batch is
// split.
func (c *Conductor) storeBatch(b *scheduler.Batch) bool {
	for chunk := range splitRecords(b.Records) {
		sent := c.now()
		c.appendTimer.begin(sent)
		err := c.append(chunk)
		c.appendTimer.end(c.now())
		c.metrics.Append(c.now() - sent)
		if err != nil {
			c.end(err.Error())
			return false
		}
	}
	return true
}

// splitRecords yields the records in groups of about maxAppendBytes.
func splitRecords(rs []scheduler.Record) func(func([]recorder.Item) bool) {
	return func(yield func([]recorder.Item) bool) {
		var items []recorder.Item
		size := 0
		for _, r := range rs {
			items = append(items, recorder.Item(r))
			if size += len(r.Key) + len(r.Value); size >= maxAppendBytes {
				if !yield(items) {
					return
				}
				items, size = nil, 0
			}
		}
		if len(items) > 0 {
			yield(items)
		}
	}
}

// batchStored sends the orders and lets the sessions acknowledge the ended runs that had
// to wait until the batch was stored.
func (c *Conductor) batchStored(b *scheduler.Batch) {
	c.sched.Stored(b)
	c.sendBatch(b.Orders)
	for id := range b.Acks {
		c.wakeSession(id)
		c.sched.SessionOf(id, c.updateSession)
	}
	for _, id := range b.Heard {
		c.wakeSession(id)
	}
	for _, o := range b.Orders {
		c.sched.SessionOf(o.Worker, c.updateSession)
	}
}

// resetRegistry replaces the known workers by those of a complete listing of the
// registry.
func (c *Conductor) resetRegistry(m map[string][]byte) {
	c.sched.Sessions(func(s scheduler.Session) {
		if _, ok := m[s.Worker]; !ok {
			c.sched.RemoveWorker(s.Worker)
		}
	})
	for k, v := range m {
		c.applyRegistryItem(recorder.Item{Key: k, Value: v})
	}
}

// applyRegistryChanges applies new registry entries; of several for one worker only the
// newest.
func (c *Conductor) applyRegistryChanges(items []recorder.Item) {
	seen := map[string]bool{}
	for _, i := range slices.Backward(items) {
		if !seen[i.Key] {
			seen[i.Key] = true
			c.applyRegistryItem(i)
		}
	}
}

// sendOrder sends an order from a goroutine of its own. The start of a task is withheld if this
// daemon may not extend leases, or what it knows is too old. done is called when the order was
// answered or will not be.
func (c *Conductor) sendOrder(o scheduler.Order, done func(answered bool)) {
	until := clock.Never
	if o.Kind == scheduler.Start {
		var ok bool
		if o.Deadline, ok = c.leaseDeadline(o.Worker, o.Born); !ok || !c.sched.MayStart(o) {
			c.sched.OrderAnswered(o, scheduler.Withheld)
			done(false)
			return
		}
		until = c.startsUntil()
	}
	s := c.session(o.Worker, o.Born)
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		queued := c.now()
		if !s.acquire(c.ctx) {
			done(false)
			return
		}
		out := scheduler.Done
		if waited := c.now() - queued; o.Kind == scheduler.Start && (waited > 0 || c.now() > until) {
			until, out = c.refreshOrder(&o, waited)
		}
		if out == scheduler.Done {
			out = c.send(o, until)
		}
		s.release()
		done(out.Answered())
		c.post(func() { c.orderAnswered(o, out) })
	}()
}

// send sends an order, unless the time until which it may be sent is over. It returns its outcome.
func (c *Conductor) send(o scheduler.Order, until clock.Millis) scheduler.Outcome {
	sent, lost := c.now(), c.timekeeper.Lost()
	if sent > until {
		return scheduler.Withheld
	}
	out := c.fleet.Send(c.ctx, o, c.epoch)
	c.metrics.Order(c.now()-sent, out != scheduler.Unclear)
	if c.timekeeper.Lost()-lost <= OrderTimeout/2 {
		return out
	}
	switch out {
	case scheduler.Unclear:
		return scheduler.Unheard
	case scheduler.NotSent:
		return scheduler.Withheld
	default:
		return out
	}
}

// orderAnswered passes the outcome of an order to the scheduler, or ends the term if the
// worker rejected its epoch.
func (c *Conductor) orderAnswered(o scheduler.Order, out scheduler.Outcome) {
	if out == scheduler.Fenced {
		c.end("a worker has seen a newer leader's epoch", logger.String("worker", o.Worker))
		return
	}
	if out != scheduler.Done {
		c.emit(logger.OrderRefused, logger.String("task", o.Task.String()), logger.Int("attempt", int64(o.Attempt)),
			logger.String("worker", o.Worker), logger.Int("order", int64(o.Kind)), logger.Int("outcome", int64(out)))
	}
	c.sched.OrderAnswered(o, out)
	if out == scheduler.WorkerRestarted {
		c.sched.WorkerReplaced(o.Worker, o.Address, o.Born, 0)
	}
}

// refreshOrder checks an order to start a run that has waited, and updates its lease deadline if it
// has waited for longer than orderQueueLimit. It returns the time until which the order may be sent,
// and Done, Superseded if its run was released or stopped meanwhile, or Withheld if the order must
// not be sent for another reason.
func (c *Conductor) refreshOrder(o *scheduler.Order, waited clock.Millis) (clock.Millis, scheduler.Outcome) {
	d, out, until := o.Deadline, scheduler.Done, clock.Millis(0)
	if !c.call(func() {
		until = c.startsUntil()
		switch {
		case !c.sched.IsCurrent(*o):
			out = scheduler.Superseded
		case !c.sched.MayStart(*o):
			out = scheduler.Withheld
		case waited > orderQueueLimit:
			var ok bool
			if d, ok = c.leaseDeadline(o.Worker, o.Born); !ok {
				out = scheduler.Withheld
			}
		}
	}) {
		return 0, scheduler.Withheld
	}
	o.Deadline = d
	return until, out
}

// leaseDeadline returns the lease deadline for the next call to a worker process. It returns
// false if the lease must not be extended. It checks the age of the daemon's last renewal
// twice, as the host may be suspended while the deadline is computed.
func (c *Conductor) leaseDeadline(worker string, born int64) (clock.Millis, bool) {
	if !c.mayExtendLeases() {
		return 0, false
	}
	d, ok := c.sched.Lease(worker, born)
	return d, ok && c.mayExtendLeases()
}

// mayExtendLeases reports whether the newest stored claim or time record of this term is at most
// leaseGrantLimit old. The next leader counts on it.
func (c *Conductor) mayExtendLeases() bool {
	return c.now()-max(clock.Millis(c.provenAt.Load()), c.lastRenewal()) <= leaseGrantLimit
}

func (c *Conductor) closeSessions() {
	c.cancel()
	for k := range c.sessions {
		delete(c.sessions, k)
	}
}
