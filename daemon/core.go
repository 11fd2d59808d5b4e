package daemon

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/claimer"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/keeper"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/measurer"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// core is all that one goroutine of a daemon knows and decides.
	core struct {
		d        *Daemon
		claimer  *claimer.Claimer
		register *keeper.Register
		keepers  map[string]*keeper.Keeper
		meters   map[string]*meter.Meter
		// ledger is nil until an operator, and so a time zone, is declared.
		ledger   *meter.Ledger
		state    *declarer.State
		hosts    []provider.Host
		caughtUp map[string]bool
		next     map[string]provider.Offset
		// confirmations are told when a record is read back, by its id.
		confirmations map[string]func(confirmation)
		waiters       map[string][]chan keeper.Outcome
		held          []string
		// billAt is when a shard's next usage record may be written.
		billAt map[string]clock.Millis
		faults []meter.Fault
	}

	// confirmation is what a record came to.
	confirmation struct {
		offset  provider.Offset
		outcome declarer.Outcome
		verdict keeper.Verdict
	}
)

func newCore(d *Daemon, c *claimer.Claimer) *core {
	return &core{
		d:             d,
		claimer:       c,
		register:      keeper.NewRegister(),
		keepers:       map[string]*keeper.Keeper{},
		meters:        map[string]*meter.Meter{},
		state:         declarer.NewState(),
		caughtUp:      map[string]bool{},
		next:          map[string]provider.Offset{},
		confirmations: map[string]func(confirmation){},
		waiters:       map[string][]chan keeper.Outcome{},
		billAt:        map[string]clock.Millis{},
	}
}

// page takes in a part of a stream; began is when its read began.
func (c *core) page(stream string, p provider.Page, began clock.Millis) {
	if p.Oldest > c.next[stream] {
		c.d.logger.Emit(logger.LogHole, logger.String("stream", stream), logger.Int("from", int64(c.next[stream])), logger.Int("to", int64(p.Oldest)))
	}
	for _, e := range p.Entries {
		c.next[stream] = e.Offset + 1
		c.d.metrics.Add(measurer.ReadBytes, int64(len(e.Data)))
		r := &schema.Record{}
		if err := proto.Unmarshal(e.Data, r); err != nil {
			c.d.metrics.Add(measurer.CorruptRecords, 1)
			c.d.logger.Emit(logger.RecordCorrupt, logger.String("stream", stream), logger.Int("offset", int64(e.Offset)), logger.Err(err))
			continue
		}
		c.record(stream, e.Offset, r)
	}
	if c.next[stream] >= p.Next {
		c.atEnd(stream, began)
	}
}

func (c *core) record(stream string, o provider.Offset, r *schema.Record) {
	switch stream {
	case provider.StreamConfig:
		c.change(o, r)
	case provider.StreamIntents:
		c.intent(o, r)
	case provider.StreamUsage:
		c.usage(o, r)
	default:
		c.event(o, r)
	}
}

func (c *core) atEnd(stream string, began clock.Millis) {
	c.caughtUp[stream] = true
	if stream == provider.StreamOf(c.d.settings.DataCentre) {
		c.claimer.CaughtUp(began)
	}
}

func (c *core) change(o provider.Offset, r *schema.Record) {
	change := r.GetChange()
	if change == nil {
		c.state = c.state.Skip(int64(o))
		return
	}
	after, outcome := c.state.Apply(int64(o), change)
	c.d.trail.Add(o, clock.Millis(r.GetAtMillis()), change, outcome)
	c.setState(after)
	e := logger.ChangeAccepted
	if !outcome.Accepted() {
		e = logger.ChangeRefused
	}
	c.d.logger.Emit(e, logger.Int("offset", int64(o)), logger.String("operator", change.GetOperator()), logger.Int("items", int64(len(change.GetItems()))))
	c.confirm(r.GetId(), confirmation{offset: o, outcome: outcome})
}

func (c *core) setState(s *declarer.State) {
	c.state = s
	c.d.state.Store(s)
	c.d.metrics.Set(measurer.ConfigOffset, float64(s.Next()))
	c.setShards()
	c.setZone()
	for _, k := range c.keepers {
		k.SetConfig(s)
	}
	c.d.setView(c.hosts, s)
}

func (c *core) setShards() {
	n := 1
	for _, dc := range c.state.DataCentres() {
		if dc.Name == c.d.settings.DataCentre {
			n = dc.Shards
		}
	}
	c.claimer.SetShards(n)
	for i := range n {
		c.keeperOf(claimer.ShardName(c.d.settings.DataCentre, i))
	}
	c.spreadHosts(n)
}

func (c *core) keeperOf(shard string) *keeper.Keeper {
	if k, known := c.keepers[shard]; known {
		return k
	}
	k := keeper.New(shard, c.d.settings.DataCentre, c.d.settings.Name, c.register)
	k.SetConfig(c.state)
	c.keepers[shard] = k
	c.meters[shard] = meter.New(shard)
	return k
}

func (c *core) intent(o provider.Offset, r *schema.Record) {
	v := c.register.Apply(o, r)
	for _, k := range c.keepers {
		k.ApplyIntent(v)
	}
	c.confirm(r.GetId(), confirmation{offset: o, verdict: v})
}

func (c *core) event(o provider.Offset, r *schema.Record) {
	c.d.outbox.confirm(r.GetId())
	if !c.claimer.Observe(c.d.now(), o, r) {
		return
	}
	for _, k := range c.keepers {
		k.ApplyEvent(r)
	}
	c.meterEvent(o, r)
	if t := r.GetTask(); t != nil {
		c.wake(t.GetTask())
	}
}

func (c *core) confirm(id string, v confirmation) {
	c.d.outbox.confirm(id)
	if f, waits := c.confirmations[id]; waits {
		delete(c.confirmations, id)
		f(v)
	}
}

// outcome gives what the own data centre knows of a key.
func (c *core) outcome(key string) keeper.Outcome {
	for _, k := range c.keepers {
		if o := k.Outcome(key); o.Known() {
			return o
		}
	}
	return keeper.Outcome{}
}

// wake tells those who wait for a key, if its work has ended.
func (c *core) wake(key string) {
	waiters := c.waiters[key]
	if len(waiters) == 0 {
		return
	}
	o := c.outcome(key)
	if !ended(o) {
		return
	}
	delete(c.waiters, key)
	for _, w := range waiters {
		// A waiter that was told before has its answer already.
		select {
		case w <- o:
		default:
		}
	}
}

func (c *core) setHosts(hosts []provider.Host) {
	c.hosts = hosts
	c.setShards()
	c.d.setView(hosts, c.state)
}

// spreadHosts gives each keeper the workers of its shard.
func (c *core) spreadHosts(shards int) {
	byShard := map[string][]provider.Host{}
	for _, h := range c.hosts {
		if h.Role != provider.RoleWorker || h.DataCentre != c.d.settings.DataCentre {
			continue
		}
		s := claimer.ShardOf(h.DataCentre, h.Rack, shards)
		byShard[s] = append(byShard[s], h)
	}
	for s, k := range c.keepers {
		k.SetHosts(byShard[s])
	}
}

// step decides what is to be done now, and has it done.
func (c *core) step(now clock.Millis) {
	a := c.claimer.Step(now)
	if len(a.Records()) > 0 {
		c.d.appendClaims(a.Records())
	}
	for _, ask := range a.Asks() {
		c.d.askPromise(ask)
	}
	var sum keeper.Count
	for _, shard := range c.shards() {
		k := c.keepers[shard]
		a := c.authority(shard, now)
		c.carryOut(k, k.Step(now, a))
		c.bill(shard, now, a)
		sum = sum.Add(k.Count())
	}
	c.d.metrics.Set(measurer.RunningTasks, float64(sum.Running()))
	c.d.metrics.Set(measurer.WaitingTasks, float64(sum.Waiting()))
	c.noteHeld(c.claimer.Held(now))
}

func (c *core) shards() []string {
	names := make([]string, 0, len(c.keepers))
	for s := range c.keepers {
		names = append(names, s)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// authority gives what the daemon may do in a shard. Until every stream was
// read to its end, it may do nothing.
func (c *core) authority(shard string, now clock.Millis) keeper.Authority {
	a, held := c.claimer.Authority(shard, now)
	if !held || !c.ready() {
		return keeper.NoAuthority()
	}
	return keeper.NewAuthority(a.Epoch(), a.Until(), c.startsAllowed())
}

func (c *core) startsAllowed() bool { return !c.state.DataCentreDrained(c.d.settings.DataCentre) }

func (c *core) ready() bool {
	for _, s := range c.d.streams() {
		if !c.caughtUp[s] {
			return false
		}
	}
	return true
}

func (c *core) carryOut(k *keeper.Keeper, a keeper.Actions) {
	for _, r := range a.Appends() {
		c.d.outbox.add(r.Stream(), r.Record())
	}
	for _, o := range a.Orders() {
		c.d.send(k, o)
	}
	for _, e := range a.Events() {
		c.happened(e)
	}
}

func (c *core) happened(e keeper.Event) {
	switch e.Kind() {
	case keeper.EventStarted:
		c.d.metrics.Add(measurer.Starts, 1)
	case keeper.EventEvicted:
		c.d.metrics.Add(measurer.Evictions, 1)
	case keeper.EventEnded:
		c.d.logger.Emit(logger.TaskEnded, logger.String("task", e.Task().ID()), logger.String("worker", e.Worker()), logger.String("code", e.Code().String()))
	case keeper.EventUsage:
		c.sampled(e)
	}
}

func (c *core) noteHeld(held []string) {
	c.d.metrics.Set(measurer.OwnedShards, float64(len(held)))
	for _, s := range held {
		if !slices.Contains(c.held, s) {
			c.d.logger.Emit(logger.ShardClaimed, logger.String("shard", s), logger.Int("epoch", c.claimer.Ledger().Epoch(s)))
		}
	}
	for _, s := range c.held {
		if !slices.Contains(held, s) {
			c.d.logger.Emit(logger.ShardLost, logger.String("shard", s))
		}
	}
	c.held = held
}
