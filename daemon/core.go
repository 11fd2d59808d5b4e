package daemon

import (
	"galenawharf.example/galenawharf/claimer"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/configurer"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/gatherer"
	"galenawharf.example/galenawharf/journaler"
	"galenawharf.example/galenawharf/keeper"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/measurer"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/replicator"
	"galenawharf.example/galenawharf/schema"
)

type (
	// core is the state of a daemon that only one goroutine uses, and the decisions made
	// from it.
	core struct {
		d          *Daemon
		claimer    *claimer.Claimer
		replicator *replicator.Replicator
		gatherer   *gatherer.Gatherer
		journal    *journaler.Journal
		register   *keeper.Register
		shards     map[string]*shard
		state      *declarer.State
		// ledger is nil until an operator, and with it a time zone, is declared.
		ledger   *meter.Ledger
		caughtUp map[string]bool
		next     map[string]provider.Offset
		// fullReadStartedAt is when the last read that reached a stream's end started.
		fullReadStartedAt map[string]clock.Millis
		// confirmations has the functions to call when a record is read back, by record id.
		confirmations     map[string]func(confirmation)
		snapshots         *snapshots
		waiters           map[string][]chan keeper.Outcome
		heldShards        []string
		billFaults        []meter.Fault
		calendarCheckedAt clock.Millis
		peersUpdatedAt    clock.Millis
		// hostsListed is set once the platform's list of hosts has been read and was not
		// empty.
		hostsListed bool
	}

	// confirmation is the outcome of a record that was read back.
	confirmation struct {
		offset  provider.Offset
		refusal *coder.Error
		verdict keeper.Verdict
	}
)

const (
	renewalsPerClaim = 4
)

func newCore(d *Daemon) (*core, error) {
	c := &core{
		d:                 d,
		journal:           journaler.New(d.settings.Seed + uint64(d.incarnation)),
		register:          keeper.NewRegister(),
		shards:            map[string]*shard{},
		state:             declarer.NewState(),
		caughtUp:          map[string]bool{},
		next:              map[string]provider.Offset{},
		fullReadStartedAt: map[string]clock.Millis{},
		confirmations:     map[string]func(confirmation){},
		waiters:           map[string][]chan keeper.Outcome{},
	}
	c.snapshots = newSnapshots(d)
	t := d.settings.Timing
	var err error
	c.claimer, err = claimer.New(d.settings.Name, d.incarnation, d.settings.DataCentre, claimer.WithClaimTTL(t.Claim, t.Claim/renewalsPerClaim))
	if err != nil {
		return nil, err
	}
	c.replicator, err = replicator.New(c.claimer.Identity(), d.settings.Name, d.settings.DataCentre, d.now())
	if err != nil {
		return nil, err
	}
	c.gatherer, err = gatherer.New(d.now(), entryHosts(d.settings))
	return c, err
}

// entryHosts returns the hosts of the daemons in the settings, this one first.
func entryHosts(s configurer.Settings) []provider.Host {
	var hosts []provider.Host
	for _, p := range append([]configurer.Peer{s.AsPeer()}, s.Peers...) {
		hosts = append(hosts, provider.Host{Name: p.Name, Role: provider.RoleEntry, DataCentre: p.DataCentre, Address: p.Address})
	}
	return hosts
}

func (c *core) setState(s *declarer.State) {
	c.state = s
	c.d.state.Store(s)
	c.d.metrics.Set(measurer.ConfigOffset, float64(s.Next()))
	c.setLedgerZone()
	c.setShards()
	for _, name := range c.shardNames() {
		c.shards[name].setConfig(s)
	}
	c.updateDispatcherView()
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
		c.addShard(claimer.ShardName(c.d.settings.DataCentre, i))
	}
	c.assignWorkers(n)
}

func (c *core) addShard(name string) {
	if _, known := c.shards[name]; known {
		return
	}
	s, err := newShard(name, c.d, c.register)
	if err != nil {
		c.d.logger.Emit(logger.Panicked, logger.Err(err))
		return
	}
	s.setConfig(c.state)
	c.shards[name] = s
	// The shard's meter needs every usage record, also those that were read before the
	// shard was added.
	c.restartRead(provider.StreamUsage, c.snapshots.oldest[provider.StreamUsage])
}

func (c *core) applyIntent(o provider.Offset, r *schema.Record) {
	v := c.register.Apply(o, r)
	for _, s := range c.shards {
		s.keeper.ApplyIntent(v)
	}
	c.confirm(r.GetId(), confirmation{offset: o, verdict: v})
}

func (c *core) applyEvent(o provider.Offset, r *schema.Record) {
	if !c.claimer.Observe(c.d.now(), o, r) {
		return
	}
	for _, s := range c.shards {
		s.apply(o, r)
	}
	if t := r.GetTask(); t != nil {
		c.notifyWaiters(t.GetTask())
	}
}

func (c *core) confirm(id string, v confirmation) {
	if f, waits := c.confirmations[id]; waits {
		delete(c.confirmations, id)
		f(v)
	}
}

// outcome returns the outcome of the work with a key, as far as it is known in this data
// centre.
func (c *core) outcome(key string) keeper.Outcome {
	for _, s := range c.shards {
		if o := s.keeper.Outcome(key); o.Known() {
			return o
		}
	}
	return keeper.Outcome{}
}

// notifyWaiters sends the outcome of a key's work to its waiters, if the work has ended.
func (c *core) notifyWaiters(key string) {
	waiters := c.waiters[key]
	if len(waiters) == 0 {
		return
	}
	o := c.outcome(key)
	if !hasEnded(o) {
		return
	}
	delete(c.waiters, key)
	for _, w := range waiters {
		// A waiter whose channel is full has the outcome already.
		select {
		case w <- o:
		default:
		}
	}
}
