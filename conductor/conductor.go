// Package conductor runs the scheduler of the leading daemon: it loads the jobs from
// the store, stores what the scheduler decides, sends its orders to the workers and
// takes in their reports. One goroutine owns the scheduler; all others hand it
// functions to run.
package conductor

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/depositor"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Conductor leads for one term.
	Conductor struct {
		store     recorder.Store
		fleet     Fleet
		sched     *scheduler.Scheduler
		writer    *recorder.Writer
		now       func() clock.Millis
		emit      func(logger.Event, ...logger.Field)
		epoch     int64
		confirmed func() clock.Millis
		decode    func(recorder.Item) (scheduler.WorkerInfo, bool)
		lease     clock.Millis
		measures  Metrics
		cloud     Cloud

		events chan func()
		ctx    context.Context
		cancel context.CancelFunc
		group  sync.WaitGroup
		// ending is done when this daemon has learnt that it may not go on leading.
		ending   sync.Once
		sessions map[string]*session
		// awaiting are the sessions that wait for their first look, in order; firstLooks
		// counts those on their way.
		awaiting   []*session
		firstLooks int
		// writing is the batch on its way to the store.
		writing *scheduler.Batch
		// flushed is when the last batch was sent; armed is whether a flush is timed.
		flushed clock.Millis
		armed   bool
		// advisers are the daemons that wait for a consultation, the longest first.
		advisers []*adviser
		// depositsRead is when the deposits were last read.
		depositsRead clock.Millis
		// collected are the deposits whose jobs are stored, to be dropped.
		collected []recorder.Item
		batches   chan *scheduler.Batch
	}

	// listing is a whole topic as it was read.
	listing struct {
		items map[string][]byte
		err   error
	}

	// Option sets up a Conductor.
	Option func(*Conductor)

	// Term is what the election has given.
	Term struct {
		Epoch int64
		// FormerIsOver is whether the former leader surely sends nothing more.
		FormerIsOver bool
		// Confirmed returns when the claim was last renewed.
		Confirmed func() clock.Millis
	}
)

const (
	topic    = "jobs"
	registry = "servers"
	// epochKey is the first record of each leader.
	epochKey = "epoch"
	// flushGap is the least time between two batches. The store takes 4 ms for an
	// append; waiting a little longer gathers more changes into each.
	flushGap = 12 * clock.Millis(1)
	// sweepEvery is how often time alone changes something.
	sweepEvery = 100 * clock.Millis(1)
	// registryPause is the time between looks at the registry, a quarter of the
	// bound for workers that leave.
	registryPause = 500 * clock.Millis(1)
	// authorityLimit is how long a leader that can't renew its claim goes on
	// extending leases. Longer outages cost the tasks that run.
	authorityLimit = 4 * clock.Second
	// orderLimit bounds a call to a worker: the answers of a worker take a few ms.
	orderLimit = 800 * clock.Millis(1)
	// queueLimit is how long an order may wait for earlier ones to the same worker
	// before its deadline is out of date: half of what one of those may take.
	queueLimit = orderLimit / 2
	// eventBacklog is how many functions may wait for the owning goroutine.
	eventBacklog = 1024
)

// ErrOver is the error for calls to a leader whose term is over.
var ErrOver = errors.New("this daemon leads no more")

// WithEvents sets where decisions are logged.
func WithEvents(emit func(logger.Event, ...logger.Field)) Option {
	return func(c *Conductor) { c.emit = emit }
}

// WithClock sets the steady clock.
func WithClock(now func() clock.Millis) Option { return func(c *Conductor) { c.now = now } }

// New loads the jobs and starts to lead. The scheduler must be new. decode reads the
// entries of the registry. The error is recorder.ErrDeposed if another daemon leads.
func New(ctx context.Context, t Term, s recorder.Store, f Fleet, sched *scheduler.Scheduler, lease clock.Millis,
	decode func(recorder.Item) (scheduler.WorkerInfo, bool), opts ...Option) (*Conductor, error) {
	c := &Conductor{
		store: s, fleet: f, sched: sched, epoch: t.Epoch, confirmed: t.Confirmed, decode: decode, lease: lease,
		now: clock.System, emit: func(logger.Event, ...logger.Field) {}, measures: noMeasures(),
		events: make(chan func(), eventBacklog), sessions: map[string]*session{}, batches: make(chan *scheduler.Batch, 1),
	}
	for _, o := range opts {
		o(c)
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	if err := c.load(t); err != nil {
		c.cancel()
		return nil, errors.Wrap(err, "conductor.New")
	}
	c.group.Add(4)
	go func() {
		defer c.group.Done()
		c.collect()
	}()
	go func() {
		defer c.group.Done()
		c.maintain()
	}()
	go func() {
		defer c.group.Done()
		c.run()
	}()
	go func() {
		defer c.group.Done()
		c.write()
	}()
	return c, nil
}

// Wait returns when the term is over.
func (c *Conductor) Wait() {
	<-c.ctx.Done()
	c.group.Wait()
}

// Close ends the term.
func (c *Conductor) Close() {
	c.cancel()
	c.group.Wait()
}

// end ends the term because this daemon may not go on leading.
func (c *Conductor) end(why string, details ...logger.Field) {
	c.ending.Do(func() {
		if c.ctx.Err() == nil {
			c.emit(logger.TermEnded, append(details, logger.Int("epoch", c.epoch), logger.String("reason", why))...)
		}
	})
	c.cancel()
}

// load takes over the records of the former leader.
func (c *Conductor) load(t Term) error {
	// The other topics are read meanwhile: a slow store takes a quarter of a second for
	// each call.
	entries, deposits := c.list(registry), c.list(depositor.Topic)
	items, end, err := recorder.Load(c.ctx, c.store, topic)
	if err != nil {
		return err
	}
	owned := func(i recorder.Item) bool { return i.Key != epochKey }
	for {
		c.writer = recorder.NewWriter(c.store, topic, end, func(recorder.Item) bool { return false }, recorder.WithClock(c.now))
		err := c.writer.Append(c.ctx, []recorder.Item{{Key: epochKey, Value: []byte(epochText(c.epoch))}})
		if err == nil {
			break
		}
		if !errors.Is(err, recorder.ErrDeposed) {
			return err
		}
		// The former leader, or an unanswered attempt of our own, was faster.
		if end, err = recorder.CatchUp(c.ctx, c.store, topic, end, items); err != nil {
			return err
		}
		switch e := parseEpoch(items[epochKey]); {
		case e > c.epoch:
			return recorder.ErrDeposed
		case e == c.epoch:
			c.writer = recorder.NewWriter(c.store, topic, end, owned, recorder.WithClock(c.now))
			return c.adopt(t, items, <-entries, <-deposits)
		}
	}
	c.writer = recorder.NewWriter(c.store, topic, c.writer.End(), owned, recorder.WithClock(c.now))
	return c.adopt(t, items, <-entries, <-deposits)
}

// list starts to read a whole topic.
func (c *Conductor) list(topic string) <-chan listing {
	l := make(chan listing, 1)
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		items, _, err := recorder.Load(c.ctx, c.store, topic)
		l <- listing{items, err}
	}()
	return l
}

func (c *Conductor) adopt(t Term, items map[string][]byte, entries, deposits listing) error {
	if entries.err != nil {
		return entries.err
	}
	if deposits.err != nil {
		return deposits.err
	}
	until := scheduler.LeaseBound(c.now(), c.lease) + orderLimit
	if !t.FormerIsOver {
		until += authorityLimit
	}
	for k, v := range entries.items {
		c.entry(recorder.Item{Key: k, Value: v})
	}
	if len(items) > 0 {
		c.sched.Inherit(until)
	}
	for k, v := range items {
		if err := c.sched.Load(k, v, until); err != nil {
			c.emit(logger.RecordInvalid, logger.String("key", k), logger.Err(err))
		}
	}
	// Jobs that were deposited while nobody led are known before anybody can ask for them.
	c.depositsRead = c.now()
	for k, v := range deposits.items {
		c.deposited(recorder.Item{Key: k, Value: v})
	}
	return nil
}

func (c *Conductor) entry(i recorder.Item) {
	if len(i.Value) == 0 {
		c.sched.RemoveWorker(i.Key)
		return
	}
	w, ok := c.decode(i)
	if !ok {
		c.emit(logger.EntryInvalid, logger.String("key", i.Key))
		return
	}
	c.sched.UpdateWorker(w)
}

// do hands a function to the owning goroutine and reports whether it will run it.
func (c *Conductor) do(f func()) bool {
	select {
	case c.events <- f:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// ask runs a function on the owning goroutine and waits for it. After false the
// function may run yet, so nothing that it writes may be read.
func (c *Conductor) ask(f func()) bool {
	ran := make(chan struct{})
	if !c.do(func() { f(); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-c.ctx.Done():
		return false
	}
}
