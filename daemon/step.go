package daemon

import (
	"slices"
	"strings"

	"galenawharf.example/galenawharf/claimer"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/keeper"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/measurer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// step makes the decisions due at now and carries them out.
func (c *core) step(now clock.Millis) {
	c.stepMembership(now)
	if r := c.replicator.Step(now); len(r) > 0 {
		c.d.appendConfig(r)
	}
	a := c.claimer.Step(now)
	if len(a.Records()) > 0 {
		c.d.appendClaims(a.Records())
	}
	for _, ask := range a.PromiseCalls() {
		c.d.requestPromise(ask)
	}
	var sum keeper.TaskCounts
	for _, name := range c.shardNames() {
		s := c.shards[name]
		c.execute(now, s, s.step(now, c.authority(name, now)))
		sum = sum.Add(s.keeper.Count())
	}
	c.submitDueRuns(now)
	c.writeSnapshots(now)
	for _, b := range c.journal.Step(now) {
		c.d.appendBatch(b)
	}
	c.d.metrics.Set(measurer.RunningTasks, float64(sum.Running()))
	c.d.metrics.Set(measurer.WaitingTasks, float64(sum.Waiting()))
	c.updateHeldShards(c.claimer.ShardsWithAuthority(now))
	c.updateReady()
}

// updateReady marks the daemon as ready once all streams and the list of hosts have been
// read. It stays ready from then on, also while the platform is down.
func (c *core) updateReady() {
	if c.d.ready.Load() || c.unreadStream() != "" || !c.hostsListed {
		return
	}
	c.d.ready.Store(true)
	c.d.metrics.Set(measurer.ReadyGauge, 1)
	c.d.logger.Emit(logger.Ready)
}

func (c *core) shardNames() []string {
	names := make([]string, 0, len(c.shards))
	for s := range c.shards {
		names = append(names, s)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// authority returns what the daemon may do in a shard: nothing until every stream was
// read to its end.
func (c *core) authority(shard string, now clock.Millis) keeper.Authority {
	if c.unreadStream() != "" {
		return keeper.NoAuthority()
	}
	a, held := c.claimer.Authority(shard, now)
	if !held {
		return c.expiredAuthority(shard)
	}
	starts := c.replicator.StartAllowed(now) && !c.state.DataCentreDrained(c.d.settings.DataCentre)
	return keeper.NewAuthority(a.Epoch(), a.Until(), starts).WithEarlierExpiry(a.ClearAt())
}

// expiredAuthority returns the authority in a shard whose claim has expired. While the
// log shows no other holder, the epoch is kept, so that the keeper also keeps what it
// knows of the shard's workers.
func (c *core) expiredAuthority(shard string) keeper.Authority {
	l := c.claimer.Ledger()
	if epoch := l.Epoch(shard); l.Holder(shard) == c.claimer.Identity() && epoch != claimer.NoEpoch && epoch == c.shards[shard].epoch {
		return keeper.NewAuthority(epoch, 0, false)
	}
	return keeper.NoAuthority()
}

// unreadStream returns a stream that was not read to its end yet, or "".
func (c *core) unreadStream() string {
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

func (c *core) execute(now clock.Millis, s *shard, a keeper.Actions) {
	for _, r := range a.Appends() {
		c.enqueueRecord(now, r.Stream(), r.Record())
	}
	for _, o := range a.Orders() {
		c.gatherer.RecordRequest(now, o.Worker())
		c.d.sendOrder(s, o)
	}
	for _, e := range a.Events() {
		c.recordEvent(e)
	}
	if u := s.dueUsage(now, c.ledger != nil); u != nil {
		c.enqueueRecord(now, provider.StreamUsage, &schema.Record{Body: &schema.Record_Usage{Usage: u}})
	}
	for _, f := range s.meter.TakeFaults() {
		c.addBillFault(f)
	}
}

// enqueueRecord adds a record to the journal, which appends it again until it is read back.
func (c *core) enqueueRecord(now clock.Millis, stream string, r *schema.Record) {
	if r.GetId() == "" {
		r.Id = c.d.newRecordID()
		r.AtMillis = int64(now)
		r.Daemon = c.d.settings.Name
	}
	if err := c.journal.Add(now, stream, r); err != nil {
		c.d.logger.Emit(logger.RecordCorrupt, logger.String("stream", stream), logger.Err(err))
	}
}

func (c *core) recordEvent(e keeper.Event) {
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

func (c *core) updateHeldShards(held []string) {
	c.d.metrics.Set(measurer.OwnedShards, float64(len(held)))
	for _, s := range held {
		if !slices.Contains(c.heldShards, s) {
			c.d.logger.Emit(logger.ShardClaimed, logger.String("shard", s), logger.Int("epoch", c.claimer.Ledger().Epoch(s)))
		}
	}
	for _, s := range c.heldShards {
		if !slices.Contains(held, s) {
			e := logger.ShardLost
			if c.d.leaving.Load() {
				e = logger.ShardReleased
			}
			c.d.logger.Emit(e, logger.String("shard", s))
		}
	}
	c.heldShards = held
}
