// Package conductor runs the scheduler on the daemon that is the leader. It loads the
// jobs from the store, stores the scheduler's decisions, sends its orders to the workers
// and polls them for reports. One goroutine owns the scheduler; all others post functions
// for it to run.
//
// Deposits are jobs that hosts wrote to the store themselves while they could not reach a
// leader (package depositor). Consultations are questions to the policy service about
// which workers may run a step; the daemons of all hosts share them (package adviser). A
// wave is a set of machines that the operator wants taken down for maintenance.
package conductor

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/depositor"
	"galenawharf.example/galenawharf/limiter"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/regulator"
	"galenawharf.example/galenawharf/scheduler"
	"galenawharf.example/galenawharf/timekeeper"
)

type (
	// Conductor runs the scheduler for one term, from an election until it is deposed or
	// closed.
	Conductor struct {
		store       recorder.Store
		fleet       Fleet
		sched       *scheduler.Scheduler
		writer      *recorder.Writer
		now         func() clock.Millis
		emit        func(logger.Event, ...logger.Field)
		epoch       int64
		lastRenewal func() clock.Millis
		decode      func(recorder.Item) (scheduler.WorkerInfo, error)
		lease       clock.Millis
		relay       *clock.Relay
		leaveClocks func(clock.Millis, []scheduler.ClockReading)
		// oddEntries logs the entries of the registry that name no worker to use.
		oddEntries *logger.Limited
		metrics    Metrics
		cloud      Cloud

		events chan func()
		ctx    context.Context
		cancel context.CancelFunc
		group  sync.WaitGroup
		// endOnce ensures that only the first reason for the end of the term is logged.
		endOnce  sync.Once
		sessions map[sessionKey]*session
		// firstPollQueue has the sessions that wait for their first poll of the term, in
		// order; firstPolls counts the first polls in flight.
		firstPollQueue []*session
		firstPolls     int
		// firstPollAnswer is how long workers take to answer their first poll, in ms, an
		// exponential moving average; 0 before the first answer.
		firstPollAnswer float64
		// pendingBatch is the batch that is being stored, nil if none is.
		pendingBatch *scheduler.Batch
		// clocksLeftAt is when clock readings were last left to the next leader.
		clocksLeftAt clock.Millis
		// nextTenantReport is when Metrics.Tenants is called next.
		nextTenantReport clock.Millis
		// lastFlush is when the last batch was taken from the scheduler; flushScheduled
		// is whether a timer for the next one runs.
		lastFlush      clock.Millis
		flushScheduled bool
		// consultWaiters are the daemons that wait for a consultation, the
		// longest-waiting first.
		consultWaiters []*consultWaiter
		// lastDepositRead and lastRegistryRead are when the deposits and the registry were
		// certainly as they are known here, operatorRead returns it for the operator's records.
		lastDepositRead, lastRegistryRead clock.Millis
		operatorRead                      func() clock.Millis
		// regulator limits the work that is taken on.
		regulator *regulator.Regulator
		// rates bounds the jobs of each tenant. hasTenants is whether there are any, tenantAge the
		// age of the operator's records up to which tasks may be started then.
		rates      *limiter.Rates
		hasTenants bool
		tenantAge  clock.Millis
		// startsInFlight is the number of orders of batches that are not answered.
		startsInFlight atomic.Int64
		// provenAt is the time of the newest time record that is stored, in ms.
		provenAt atomic.Int64
		// appendTimer predicts how long a change takes to be stored.
		appendTimer *appendTimer
		// nextRound is the earliest time of the next round of placing.
		nextRound clock.Millis
		// timekeeper measures the delay of the scheduler's goroutine.
		timekeeper *timekeeper.Timekeeper
		// delayed is whether the delay was logged and its end was not.
		delayed bool
		// storedDeposits are the deposits that can be deleted: their jobs are stored as
		// the leader's own records, or are invalid.
		storedDeposits []recorder.Item
		// deletionsFailSince is since when the store has not confirmed their deletion, 0 while it does.
		deletionsFailSince clock.Millis
		batches            chan *scheduler.Batch
	}

	// topicItems is the result of loading a whole topic.
	topicItems struct {
		items map[string][]byte
		err   error
	}

	// Option configures a Conductor.
	Option func(*Conductor)
)

const (
	jobsTopic     = "jobs"
	registryTopic = "servers"
	// epochKey is the key of the record by which a new leader takes over the topic.
	epochKey = "epoch"
	// flushInterval is the minimum time between two batches. An append takes the store 4
	// ms; waiting a little longer collects more changes in each batch.
	flushInterval = 12 * clock.Millis(1)
	// sweepInterval is the period of Scheduler.Sweep, which handles timeouts.
	sweepInterval = 100 * clock.Millis(1)
	// registryPollInterval is the time between reads of the workers' registry. It is a
	// quarter of the time within which the departure of a worker has to be noticed.
	registryPollInterval = 500 * clock.Millis(1)
	// leaseGrantLimit is how long after its newest stored reading a leader may still extend the
	// leases of workers. If the store is unavailable for longer, the leases expire and the
	// running tasks are lost. A task that lasts has to run again within 9 s of the end of its
	// last run, also if its worker is lost together with the leader; a lease of 6 s with its
	// margins takes 6.3 s of that, and 0.5 s are for placing and starting it.
	leaseGrantLimit = 2 * clock.Second
	// unprovenGrantLimit replaces leaseGrantLimit for a former leader that has left no time
	// record: versions without these extend leases for that long after their last append.
	unprovenGrantLimit = 4 * clock.Second
	// OrderTimeout bounds an order to a worker. Workers answer within a few milliseconds.
	OrderTimeout = 800 * clock.Millis(1)
	// clockInterval is the time between two sets of clock readings for the next leader, as long
	// as between two renewals of the claim that has them.
	clockInterval = 500 * clock.Millis(1)
	// orderQueueLimit is how long the start of a task may wait for earlier orders to the
	// same worker before its lease deadline has to be computed anew. It is half the
	// timeout of one order.
	orderQueueLimit = OrderTimeout / 2
	// loggedOddEntries is the number of odd registry entries that are logged in a second: with the
	// number of those left out, a few show an operator who writes them.
	loggedOddEntries = 5
	// maxLoggedKey bounds the bytes of a key in a log line. Keys of sound entries have about ten.
	maxLoggedKey = 64
	// eventQueueSize is the capacity of the queue of functions for the scheduler's
	// goroutine.
	eventQueueSize = 1024
)

// ErrTermEnded is returned by calls to a Conductor whose term is over.
var ErrTermEnded = errors.New("this daemon is no longer the leader")

// WithEvents sets the function that logs decisions.
func WithEvents(emit func(logger.Event, ...logger.Field)) Option {
	return func(c *Conductor) { c.emit = emit }
}

// WithClock sets the monotonic clock.
func WithClock(now func() clock.Millis) Option { return func(c *Conductor) { c.now = now } }

// WithOperatorRead sets a function that returns when the operator's records, such as the data
// centres to be evacuated, were certainly as they are known here.
func WithOperatorRead(f func() clock.Millis) Option {
	return func(c *Conductor) { c.operatorRead = f }
}

// New loads the jobs and starts the term. sched must not have been used before; decode
// parses the entries of the workers' registry and returns an error for one that names no worker to
// use. The error is recorder.ErrDeposed if
// another daemon has taken over.
func New(ctx context.Context, t Term, s recorder.Store, f Fleet, sched *scheduler.Scheduler, lease clock.Millis,
	decode func(recorder.Item) (scheduler.WorkerInfo, error), opts ...Option) (*Conductor, error) {
	c := &Conductor{
		store: s, fleet: f, sched: sched, epoch: t.Epoch, lastRenewal: t.LastRenewal, decode: decode, lease: lease, relay: t.Relay, leaveClocks: t.LeaveClocks,
		now: clock.System, emit: func(logger.Event, ...logger.Field) {}, metrics: noMetrics(), operatorRead: func() clock.Millis { return clock.Never },
		events: make(chan func(), eventQueueSize), sessions: map[sessionKey]*session{}, batches: make(chan *scheduler.Batch, 1),
		rates: limiter.NewRates(defaultRateWindow, defaultRateExcess, defaultRateTolerance), tenantAge: maxOperatorAge,
	}
	for _, o := range opts {
		o(c)
	}
	sched.SetRelay(t.Relay)
	c.oddEntries = logger.NewLimited(c.emit, c.now, loggedOddEntries)
	c.appendTimer = &appendTimer{}
	c.timekeeper, c.regulator = timekeeper.New(sweepInterval, c.now), regulator.New(c.now)
	c.ctx, c.cancel = context.WithCancel(ctx)
	if err := c.load(t); err != nil {
		c.cancel()
		return nil, errors.Wrap(err, "conductor.New")
	}
	c.group.Add(4)
	go func() {
		defer c.group.Done()
		c.followDeposits()
	}()
	go func() {
		defer c.group.Done()
		c.watchMachines()
	}()
	go func() {
		defer c.group.Done()
		c.run()
	}()
	go func() {
		defer c.group.Done()
		c.writeBatches()
	}()
	return c, nil
}

// Wait blocks until the term is over and all goroutines have ended.
func (c *Conductor) Wait() {
	<-c.ctx.Done()
	c.group.Wait()
}

// Close ends the term and waits for all goroutines.
func (c *Conductor) Close() {
	c.cancel()
	c.group.Wait()
}

// end ends the term because this daemon has lost the leadership, and logs the reason.
func (c *Conductor) end(reason string, details ...logger.Field) {
	c.endOnce.Do(func() {
		if c.ctx.Err() == nil {
			c.emit(logger.TermEnded, append(details, logger.Int("epoch", c.epoch), logger.String("reason", reason))...)
		}
	})
	c.cancel()
}

// load takes over the jobs topic: it appends this term's epoch, which makes conditional
// appends of the previous leader fail, and restores the stored state.
func (c *Conductor) load(t Term) error {
	// The other topics are loaded concurrently: a slow store takes a quarter of a second
	// for each call.
	c.lastRegistryRead, c.lastDepositRead = c.now(), c.now()
	registry, deposits := c.loadAsync(registryTopic), c.loadAsync(depositor.Topic)
	items, end, err := recorder.Load(c.ctx, c.store, jobsTopic)
	if err != nil {
		return err
	}
	// The first record of another leader is its epoch, so any other record that follows
	// this term's is from this daemon.
	isOwn := func(i recorder.Item) bool { return i.Key != epochKey }
	for {
		former := formerRecords{items[epochKey], items[timeKey]}
		// No record counts as own here, so every conflict is reported and resolved below.
		c.writer = recorder.NewWriter(c.store, jobsTopic, end, func(recorder.Item) bool { return false }, recorder.WithClock(c.now))
		err := c.append([]recorder.Item{{Key: epochKey, Value: []byte(formatInt(c.epoch))}})
		if err == nil {
			c.writer = recorder.NewWriter(c.store, jobsTopic, c.writer.End(), isOwn, recorder.WithClock(c.now))
			return c.restore(t, items, former, <-registry, <-deposits)
		}
		if !errors.Is(err, recorder.ErrDeposed) {
			return err
		}
		// The previous leader, or an unanswered attempt of this daemon, has appended
		// meanwhile.
		if end, err = recorder.CatchUp(c.ctx, c.store, jobsTopic, end, items); err != nil {
			return err
		}
		switch e := parseInt(items[epochKey]); {
		case e > c.epoch:
			return recorder.ErrDeposed
		case e == c.epoch:
			c.writer = recorder.NewWriter(c.store, jobsTopic, end, isOwn, recorder.WithClock(c.now))
			return c.restore(t, items, former, <-registry, <-deposits)
		}
	}
}

// loadAsync starts to load a whole topic and returns the channel for the result.
func (c *Conductor) loadAsync(topic string) <-chan topicItems {
	l := make(chan topicItems, 1)
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		items, _, err := recorder.Load(c.ctx, c.store, topic)
		l <- topicItems{items, err}
	}()
	return l
}

// append appends items to the jobs topic, with a time record.
func (c *Conductor) append(items []recorder.Item) error {
	now := c.now()
	if c.relay != nil {
		items = append(items, timeRecord{Epoch: c.epoch, Time: c.relay.At(now)}.item())
	}
	if err := c.writer.Append(c.ctx, items); err != nil {
		return err
	}
	c.provenAt.Store(int64(now))
	return nil
}

// inheritedLeases returns when the leases that former leaders may have granted have ended, and the
// same as a reading of the clock that leaders hand on, clock.Never if that can't tell.
func (c *Conductor) inheritedLeases(t Term, former formerRecords) (until, reading clock.Millis) {
	until = scheduler.LeaseBound(c.now(), c.lease) + OrderTimeout
	proof, proven := former.lastProof()
	if t.Relay == nil || t.PredecessorRenewal == 0 || !proven {
		if !t.PredecessorStopped {
			until += unprovenGrantLimit
		}
		return until, clock.Never
	}
	if !t.PredecessorStopped {
		until += leaseGrantLimit
	}
	lastGrant := max(t.PredecessorRenewal, proof)
	if !t.PredecessorStopped || !t.PredecessorResigned {
		// A leader that has not resigned may have gone on after its last renewal, also if its
		// process is known to have ended since.
		lastGrant += leaseGrantLimit
	}
	reading = scheduler.LeaseBound(lastGrant, c.lease)
	return min(until, t.Relay.Local(reading)), reading
}

// restore passes the loaded topics to the scheduler. Leases that the previous leader may
// have granted are assumed to last as long as they possibly can.
func (c *Conductor) restore(t Term, items map[string][]byte, former formerRecords, registry, deposits topicItems) error {
	if registry.err != nil {
		return registry.err
	}
	if deposits.err != nil {
		return deposits.err
	}
	c.sched.NoteDepositsRead(c.lastDepositRead)
	until, reading := c.inheritedLeases(t, former)
	if reading == clock.Never {
		c.sched.DistrustSilences()
	}
	for k, v := range registry.items {
		c.applyRegistryItem(recorder.Item{Key: k, Value: v})
	}
	if len(items) > 0 {
		c.sched.Inherit(until)
	}
	for _, k := range slices.Sorted(maps.Keys(items)) {
		c.skipInvalid(k, func() {
			if err := c.sched.Load(k, items[k], until); err != nil {
				c.emit(logger.RecordInvalid, logger.String("key", k), logger.Err(err))
			}
		})
	}
	c.sched.LimitInherited(reading)
	c.sched.ExpectClocks(t.PredecessorClocksAt, t.PredecessorClocks)
	// Jobs that were deposited while there was no leader have to be known before the
	// first request for them arrives.
	for k, v := range deposits.items {
		c.acceptDeposit(recorder.Item{Key: k, Value: v})
	}
	return nil
}

// applyRegistryItem adds, updates or removes the worker of one registry entry. An entry that names no
// worker to use counts as removed: the worker's runs continue under its lease, and it gets no others
// until a sound entry follows. It runs on the scheduler's goroutine.
func (c *Conductor) applyRegistryItem(i recorder.Item) {
	if len(i.Value) == 0 {
		c.sched.RemoveWorker(i.Key)
		return
	}
	var w scheduler.WorkerInfo
	var err error
	odd := func(e logger.Event, reason error) {
		c.metrics.OddEntry()
		c.oddEntries.Emit(e, logger.String("key", i.Key[:min(len(i.Key), maxLoggedKey)]), logger.Err(reason))
	}
	event := logger.EntryInvalid
	if panicked := recovered(func() { w, err = c.decode(i) }); panicked != nil {
		event, err = logger.RecordInvalid, panicked
	}
	if err != nil {
		c.sched.RemoveWorker(i.Key)
		odd(event, err)
		return
	}
	c.skipInvalid(i.Key, func() {
		if contradiction := c.sched.UpdateWorker(w); contradiction != "" {
			odd(logger.EntryInvalid, errors.New(contradiction))
		}
	})
}

// post queues f for the scheduler's goroutine. It returns false if the term is over.
func (c *Conductor) post(f func()) bool {
	select {
	case c.events <- f:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// call runs f on the scheduler's goroutine and waits for it. If it returns false, f may
// still run later, so the caller must not read anything that f writes.
func (c *Conductor) call(f func()) bool {
	done := make(chan struct{})
	if !c.post(func() { f(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-c.ctx.Done():
		return false
	}
}
