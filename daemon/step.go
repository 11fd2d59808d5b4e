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
			e := logger.ShardLost
			if c.d.leaving.Load() {
				e = logger.ShardReleased
			}
			c.d.logger.Emit(e, logger.String("shard", s))
		}
	}
	c.held = held
}
