package daemon

import (
	"slices"
	"strings"

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
	// core is all that one goroutine of a daemon knows and decides.
	core struct {
		d          *Daemon
		claimer    *claimer.Claimer
		replicator *replicator.Replicator
		gatherer   *gatherer.Gatherer
		journal    *journaler.Journal
		register   *keeper.Register
		shards     map[string]*shard
		state      *declarer.State
		// ledger is nil until an operator, and so a time zone, is declared.
		ledger   *meter.Ledger
		caughtUp map[string]bool
		next     map[string]provider.Offset
		// endRead is when the last read began that reached a stream's end.
		endRead map[string]clock.Millis
		// confirmations are told when a record is read back, by its id.
		confirmations map[string]func(confirmation)
		snapshots     *snapshots
		waiters       map[string][]chan keeper.Outcome
		held          []string
		faults        []meter.Fault
		calledUntil   clock.Millis
		toldPeersAt   clock.Millis
		// listed tells whether the platform's list of hosts was ever read.
		listed bool
	}

	// confirmation is what a record came to.
	confirmation struct {
		offset  provider.Offset
		refused *coder.Error
		verdict keeper.Verdict
	}
)

const (
	renewalsPerClaim = 4
)

func newCore(d *Daemon) (*core, error) {
	c := &core{
		d:             d,
		journal:       journaler.New(d.settings.Seed + uint64(d.incarnation)),
		register:      keeper.NewRegister(),
		shards:        map[string]*shard{},
		state:         declarer.NewState(),
		caughtUp:      map[string]bool{},
		next:          map[string]provider.Offset{},
		endRead:       map[string]clock.Millis{},
		confirmations: map[string]func(confirmation){},
		waiters:       map[string][]chan keeper.Outcome{},
	}
	c.snapshots = newSnapshots(d)
	t := d.settings.Timing
	var err error
	c.claimer, err = claimer.New(d.settings.Name, d.incarnation, d.settings.DataCentre, claimer.WithLapse(t.Claim, t.Claim/renewalsPerClaim))
	if err != nil {
		return nil, err
	}
	c.replicator, err = replicator.New(c.claimer.Identity(), d.settings.Name, d.settings.DataCentre, d.now())
	if err != nil {
		return nil, err
	}
	c.gatherer, err = gatherer.New(d.now(), hostsOf(d.settings))
	return c, err
}

// hostsOf gives the daemons that the settings name.
func hostsOf(s configurer.Settings) []provider.Host {
	var hosts []provider.Host
	for _, p := range append([]configurer.Peer{s.Own()}, s.Peers...) {
		hosts = append(hosts, provider.Host{Name: p.Name, Role: provider.RoleEntry, DataCentre: p.DataCentre, Address: p.Address})
	}
	return hosts
}

// configPage takes in a part of the config stream, which was asked for at a time.
func (c *core) configPage(p provider.Page, asked clock.Millis) {
	results, err := c.replicator.Read(c.d.now(), asked, p)
	if err != nil {
		c.d.logger.Emit(logger.LogHole, logger.String("stream", provider.StreamConfig), logger.Err(err))
	}
	for _, e := range p.Entries {
		c.d.metrics.Add(measurer.ReadBytes, int64(len(e.Data)))
	}
	c.changed(results)
	if c.replicator.Next() >= p.Next {
		c.caughtUp[provider.StreamConfig] = true
	}
}

// changed takes in what became of changes, from the log or from a peer.
func (c *core) changed(results []replicator.Result) {
	for _, r := range results {
		c.change(r)
	}
	if s := c.replicator.State(); s != c.state {
		c.setState(s)
	}
	for _, r := range results {
		c.confirm(r.ID(), confirmation{offset: r.Offset(), refused: r.Err()})
	}
}

func (c *core) change(r replicator.Result) {
	change := r.Record().GetChange()
	c.d.trail.Add(r.Offset(), clock.Millis(r.Record().GetAtMillis()), change, r.Befores(), r.Err())
	e := logger.ChangeAccepted
	if !r.Accepted() {
		e = logger.ChangeRefused
	}
	c.d.logger.Emit(e, logger.Int("offset", int64(r.Offset())), logger.String("operator", change.GetOperator()), logger.Int("items", int64(len(change.GetItems()))))
}

// page takes in a part of any other stream; began is when its read began.
func (c *core) page(stream string, p provider.Page, began clock.Millis) {
	if p.Oldest > c.next[stream] {
		c.hole(stream, p.Oldest)
	}
	if c.paused(stream) {
		return
	}
	for _, e := range p.Entries {
		if e.Offset > c.next[stream] {
			c.d.rewind(stream, c.next[stream])
			return
		}
		if e.Offset == c.next[stream] {
			c.entry(stream, e)
		}
	}
	if c.next[stream] >= p.Next {
		c.atEnd(stream, began)
	}
}

// readAgain has a stream read anew from an offset.
func (c *core) readAgain(stream string, from provider.Offset) {
	c.next[stream] = from
	c.caughtUp[stream] = false
	c.d.rewind(stream, from)
}

func (c *core) entry(stream string, e provider.Entry) {
	c.next[stream] = e.Offset + 1
	c.d.metrics.Add(measurer.ReadBytes, int64(len(e.Data)))
	r, err := journaler.Decode(e)
	if err != nil {
		c.d.metrics.Add(measurer.CorruptRecords, 1)
		c.d.logger.Emit(logger.RecordCorrupt, logger.String("stream", stream), logger.Int("offset", int64(e.Offset)), logger.Err(err))
		c.passOver(stream, e.Offset)
		return
	}
	c.journal.Seen(r.GetId())
	if c.snapshots.seen(c.d.now(), stream, r) {
		c.passOver(stream, e.Offset)
		return
	}
	switch stream {
	case provider.StreamIntents:
		c.intent(e.Offset, r)
	case provider.StreamUsage:
		c.usage(e.Offset, r)
	default:
		c.event(e.Offset, r)
	}
}

// passOver notes a record of which nothing follows. While a stream is read for
// its snapshot alone, those who follow it have not reached it yet.
func (c *core) passOver(stream string, o provider.Offset) {
	if stream == c.d.ownStream() && !c.snapshots.scanning(stream) {
		c.claimer.Skip(o + 1)
	}
}

func (c *core) atEnd(stream string, began clock.Millis) {
	if c.snapshots.scanning(stream) {
		c.recover(stream)
		return
	}
	c.caughtUp[stream] = true
	c.endRead[stream] = began
	if stream == c.d.ownStream() {
		c.claimer.CaughtUp(began)
	}
}

func (c *core) setState(s *declarer.State) {
	c.state = s
	c.d.state.Store(s)
	c.d.metrics.Set(measurer.ConfigOffset, float64(s.Next()))
	c.setZone()
	c.setShards()
	for _, name := range c.names() {
		c.shards[name].setConfig(s)
	}
	c.setView()
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
	c.spreadWorkers(n)
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
	// Its meter needs every record of its hours, also those read before it was
	// known.
	c.readAgain(provider.StreamUsage, c.snapshots.oldest[provider.StreamUsage])
}

func (c *core) intent(o provider.Offset, r *schema.Record) {
	v := c.register.Apply(o, r)
	for _, s := range c.shards {
		s.keeper.ApplyIntent(v)
	}
	c.confirm(r.GetId(), confirmation{offset: o, verdict: v})
}

func (c *core) event(o provider.Offset, r *schema.Record) {
	if !c.claimer.Observe(c.d.now(), o, r) {
		return
	}
	for _, s := range c.shards {
		s.apply(o, r)
	}
	if t := r.GetTask(); t != nil {
		c.wake(t.GetTask())
	}
}

func (c *core) confirm(id string, v confirmation) {
	if f, waits := c.confirmations[id]; waits {
		delete(c.confirmations, id)
		f(v)
	}
}

// outcome gives what the own data centre knows of a key.
func (c *core) outcome(key string) keeper.Outcome {
	for _, s := range c.shards {
		if o := s.keeper.Outcome(key); o.Known() {
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

// step decides what is to be done now, and has it done.
func (c *core) step(now clock.Millis) {
	c.stepMembers(now)
	if r := c.replicator.Step(now); len(r) > 0 {
		c.d.appendConfig(r)
	}
	a := c.claimer.Step(now)
	if len(a.Records()) > 0 {
		c.d.appendClaims(a.Records())
	}
	for _, ask := range a.Asks() {
		c.d.askPromise(ask)
	}
	var sum keeper.Count
	for _, name := range c.names() {
		s := c.shards[name]
		c.carryOut(now, s, s.step(now, c.authority(name, now)))
		sum = sum.Add(s.keeper.Count())
	}
	c.callJobs(now)
	c.writeSnapshots(now)
	for _, b := range c.journal.Step(now) {
		c.d.appendBatch(b)
	}
	c.d.metrics.Set(measurer.RunningTasks, float64(sum.Running()))
	c.d.metrics.Set(measurer.WaitingTasks, float64(sum.Waiting()))
	c.noteHeld(c.claimer.Held(now))
	c.noteReady()
}

// noteReady shows whether the daemon may serve. Once it was ready it stays so,
// also while the platform is down.
func (c *core) noteReady() {
	if c.d.ready.Load() || c.missing() != "" || !c.listed {
		return
	}
	c.d.ready.Store(true)
	c.d.metrics.Set(measurer.ReadyGauge, 1)
	c.d.logger.Emit(logger.Ready)
}

func (c *core) names() []string {
	names := make([]string, 0, len(c.shards))
	for s := range c.shards {
		names = append(names, s)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// authority gives what the daemon may do in a shard. Until every stream was
// read to its end, it may do nothing.
func (c *core) authority(shard string, now clock.Millis) keeper.Authority {
	if c.missing() != "" {
		return keeper.NoAuthority()
	}
	a, held := c.claimer.Authority(shard, now)
	if !held {
		return c.lapsed(shard)
	}
	starts := c.replicator.StartAllowed(now) && !c.state.DataCentreDrained(c.d.settings.DataCentre)
	return keeper.NewAuthority(a.Epoch(), a.Until(), starts).ClearAt(a.ClearAt())
}

// lapsed gives what the daemon may do in a shard for which it has no authority
// now. While the log has no other holder, what it knows of the shard's workers
// is kept.
func (c *core) lapsed(shard string) keeper.Authority {
	l := c.claimer.Ledger()
	if epoch := l.Epoch(shard); l.Holder(shard) == c.claimer.Identity() && epoch != claimer.NoEpoch && epoch == c.shards[shard].epoch {
		return keeper.NewAuthority(epoch, 0, false)
	}
	return keeper.NoAuthority()
}

// missing gives a stream that was not read to its end yet, or "".
func (c *core) missing() string {
	if !c.replicator.Ready() {
		return provider.StreamConfig
	}
	for _, s := range c.d.streams() {
		if !c.caughtUp[s] {
			return s
		}
	}
	return ""
}

func (c *core) carryOut(now clock.Millis, s *shard, a keeper.Actions) {
	for _, r := range a.Appends() {
		c.journalise(now, r.Stream(), r.Record())
	}
	for _, o := range a.Orders() {
		c.gatherer.Asked(now, o.Worker())
		c.d.send(s, o)
	}
	for _, e := range a.Events() {
		c.happened(e)
	}
	if u := s.due(now, c.ledger != nil); u != nil {
		c.journalise(now, provider.StreamUsage, &schema.Record{Body: &schema.Record_Usage{Usage: u}})
	}
	for _, f := range s.meter.TakeFaults() {
		c.billFault(f)
	}
}

// journalise has a record appended until it is read back.
func (c *core) journalise(now clock.Millis, stream string, r *schema.Record) {
	if r.GetId() == "" {
		r.Id = c.d.id()
		r.AtMillis = int64(now)
		r.Daemon = c.d.settings.Name
	}
	if err := c.journal.Add(now, stream, r); err != nil {
		c.d.logger.Emit(logger.RecordCorrupt, logger.String("stream", stream), logger.Err(err))
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
