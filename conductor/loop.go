package conductor

import (
	"context"
	"slices"
	"strings"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

// run owns the scheduler until the term is over.
func (c *Conductor) run() {
	f := recorder.Follow(c.store, registry, recorder.PollTiming{Pause: registryPause}, recorder.Callbacks{
		Reset:  func(m map[string][]byte) { c.do(func() { c.reset(m) }) },
		Change: func(items []recorder.Item) { c.do(func() { c.changed(items) }) },
		Read:   func(clock.Millis) {},
		Failed: func(error) {},
	})
	defer f.Close()
	defer c.closeSessions()
	sweep := time.NewTicker(sweepEvery.Duration())
	defer sweep.Stop()
	c.turn()
	for {
		select {
		case f := <-c.events:
			f()
			c.drain()
		case <-sweep.C:
			c.sched.Sweep()
			if c.storeAway() {
				c.sched.Refuse(ErrStoreAway)
			}
			c.manageSessions()
			c.measures.Totals(c.sched.Census())
		case <-c.ctx.Done():
			return
		}
		c.turn()
	}
}

// drain runs the functions that are already waiting.
func (c *Conductor) drain() {
	for {
		select {
		case f := <-c.events:
			f()
		default:
			return
		}
	}
}

// turn sends what is due after the scheduler has changed.
func (c *Conductor) turn() {
	for _, o := range c.sched.Immediate() {
		c.send(o)
	}
	c.consult()
	if c.writing != nil {
		return
	}
	if gap := c.now() - c.flushed; gap < flushGap {
		c.arm(flushGap - gap)
		return
	}
	c.sched.Place()
	c.consult()
	b := c.sched.Take()
	if b == nil {
		return
	}
	c.flushed = c.now()
	if len(b.Records) == 0 && len(b.Acks) == 0 {
		c.stored(b)
		return
	}
	c.writing = b
	c.batches <- b
}

// arm times the next flush.
func (c *Conductor) arm(d clock.Millis) {
	if c.armed {
		return
	}
	c.armed = true
	time.AfterFunc(d.Duration(), func() { c.do(func() { c.armed = false }) })
}

// write stores batches, one after the other.
func (c *Conductor) write() {
	for {
		select {
		case b := <-c.batches:
			if !c.keep(b) {
				return
			}
			c.do(func() {
				c.writing = nil
				c.stored(b)
			})
		case <-c.ctx.Done():
			return
		}
	}
}

const (
	// chunkBytes bounds one append, below the 2 MB that the store takes.
	chunkBytes = 1 << 20
)

// keep stores one batch, or ends the term and reports false. Only the records of one
// job have to be stored together, so a large batch may be split.
func (c *Conductor) keep(b *scheduler.Batch) bool {
	for chunk := range chunks(b.Records) {
		sent := c.now()
		err := c.writer.Append(c.ctx, chunk)
		c.measures.Append(c.now() - sent)
		if err != nil {
			c.end(err.Error())
			return false
		}
	}
	return true
}

func chunks(rs []scheduler.Record) func(func([]recorder.Item) bool) {
	return func(yield func([]recorder.Item) bool) {
		var items []recorder.Item
		size := 0
		for _, r := range rs {
			items = append(items, recorder.Item(r))
			if size += len(r.Key) + len(r.Value); size >= chunkBytes {
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

// stored carries out what waited for a batch.
func (c *Conductor) stored(b *scheduler.Batch) {
	c.sched.Stored(b)
	for _, o := range b.Orders {
		c.send(o)
	}
	for id := range b.Acks {
		c.wake(id)
	}
	c.manageSessions()
}

// reset takes in a whole listing of the registry.
func (c *Conductor) reset(m map[string][]byte) {
	c.sched.Sessions(func(s scheduler.Session) {
		if _, ok := m[s.Worker]; !ok {
			c.sched.RemoveWorker(s.Worker)
		}
	})
	for k, v := range m {
		c.entry(recorder.Item{Key: k, Value: v})
	}
}

// changed takes in news of the registry; only the newest of each worker counts.
func (c *Conductor) changed(items []recorder.Item) {
	seen := map[string]bool{}
	for _, i := range slices.Backward(items) {
		if !seen[i.Key] {
			seen[i.Key] = true
			c.entry(i)
		}
	}
}

// send carries out an order beside the owning goroutine.
func (c *Conductor) send(o scheduler.Order) {
	if o.Kind == scheduler.Start {
		d, ok := c.deadline(o.Worker)
		if !ok {
			c.sched.Answered(o, scheduler.Unclear)
			return
		}
		o.Deadline = d
	}
	s := c.session(o.Worker, o.Born)
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		queued := c.now()
		if !s.acquire(c.ctx) {
			return
		}
		if o.Kind == scheduler.Start && c.now()-queued > queueLimit && !c.renewDeadline(&o) {
			s.release()
			c.do(func() { c.answered(o, scheduler.NotSent) })
			return
		}
		ctx, cancel := context.WithTimeout(c.ctx, orderLimit.Duration())
		sent := c.now()
		out := c.fleet.Send(ctx, o, c.epoch)
		cancel()
		c.measures.Order(c.now()-sent, out != scheduler.Unclear)
		s.release()
		c.do(func() { c.answered(o, out) })
	}()
}

func (c *Conductor) answered(o scheduler.Order, out scheduler.Outcome) {
	if out == scheduler.Fenced {
		c.end("a worker knows a newer leader", logger.String("worker", o.Worker))
		return
	}
	if out != scheduler.Done {
		c.emit(logger.OrderRefused, logger.String("task", o.Task.String()), logger.Int("attempt", int64(o.Attempt)),
			logger.String("worker", o.Worker), logger.Int("order", int64(o.Kind)), logger.Int("outcome", int64(out)))
	}
	c.sched.Answered(o, out)
	if out == scheduler.OtherLife {
		c.sched.Replaced(o.Worker, o.Born, 0)
	}
}

// renewDeadline replaces that of an order which had to wait for others, and reports
// whether the order may still be sent.
func (c *Conductor) renewDeadline(o *scheduler.Order) bool {
	var d clock.Millis
	var ok bool
	if !c.ask(func() { d, ok = c.deadline(o.Worker) }) || !ok {
		return false
	}
	o.Deadline = d
	return true
}

// deadline returns until when a worker may work, if this daemon may say so.
func (c *Conductor) deadline(worker string) (clock.Millis, bool) {
	if c.now()-max(c.writer.LastSuccess(), c.confirmed()) > authorityLimit {
		return 0, false
	}
	return c.sched.Lease(worker)
}

func (c *Conductor) closeSessions() {
	c.cancel()
	for k := range c.sessions {
		delete(c.sessions, k)
	}
}

// sessionKey names one life of a worker.
func sessionKey(worker string, born int64) string {
	return strings.Join([]string{worker, epochText(born)}, "@")
}
