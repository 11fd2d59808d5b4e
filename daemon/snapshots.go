package daemon

import (
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/claimer"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/journaler"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// snapshots are the states that stand for records which the log will
	// discard: that of the data centre, with the submissions up to then, in
	// its own stream, and the ledger in the stream of usage.
	snapshots struct {
		own       string
		kinds     map[string]string
		schedules map[string]*journaler.Schedule
		watches   map[string]*journaler.Assembler
		// scans are streams that are read for their newest snapshot alone.
		scans  map[string]*journaler.Assembler
		oldest map[string]provider.Offset
		// notBefore keeps a writer from writing again before it reads back.
		notBefore map[string]clock.Millis
	}
)

const (
	kindDataCentre = "data-centre"
	kindLedger     = "ledger"

	snapshotRetry = clock.Minute
	// writerStagger keeps the daemons that may write the ledger apart.
	writerStagger = 10 * clock.Minute
)

func newSnapshots(d *Daemon) *snapshots {
	s := &snapshots{
		own:       d.ownStream(),
		kinds:     map[string]string{d.ownStream(): kindDataCentre, provider.StreamUsage: kindLedger},
		schedules: map[string]*journaler.Schedule{},
		watches:   map[string]*journaler.Assembler{},
		scans:     map[string]*journaler.Assembler{},
		oldest:    map[string]provider.Offset{},
		notBefore: map[string]clock.Millis{},
	}
	for stream, kind := range s.kinds {
		s.schedules[stream] = journaler.NewSchedule(d.settings.Platform.Retention, d.settings.Limits.SnapshotRecords, d.now())
		s.watches[stream] = journaler.NewAssembler(kind)
	}
	return s
}

func (s *snapshots) scanning(stream string) bool { return s.scans[stream] != nil }

// seen notes a record, and tells whether nothing else is to be done with it.
func (s *snapshots) seen(now clock.Millis, stream string, r *schema.Record) bool {
	c := r.GetSnapshot()
	if a := s.scans[stream]; a != nil {
		if c != nil {
			a.Add(c)
		}
		return true
	}
	schedule := s.schedules[stream]
	if schedule == nil {
		// Submissions are covered by the snapshot of the data centre.
		s.schedules[s.own].Count(1)
		return c != nil
	}
	schedule.Count(1)
	if c != nil && s.watches[stream].Add(c) {
		schedule.SnapshotWritten(now)
		s.watches[stream] = journaler.NewAssembler(s.kinds[stream])
	}
	return c != nil
}

// hole begins to look for a snapshot, since records that were not read yet were
// discarded.
func (c *core) hole(stream string, oldest provider.Offset) {
	c.d.logger.Emit(logger.LogHole, logger.String("stream", stream), logger.Int("from", int64(c.next[stream])), logger.Int("to", int64(oldest)))
	own := c.d.ownStream()
	switch stream {
	case provider.StreamUsage:
		c.scan(stream, oldest)
	case provider.StreamIntents:
		c.next[stream] = oldest
		if !c.snapshots.scanning(own) {
			c.scan(own, c.snapshots.oldest[own])
			c.d.rewind(own, 0)
		}
	default:
		c.scan(own, oldest)
	}
}

func (c *core) scan(stream string, oldest provider.Offset) {
	c.snapshots.scans[stream] = journaler.NewAssembler(c.snapshots.kinds[stream])
	c.snapshots.oldest[stream] = oldest
	c.readAgain(stream, oldest)
}

// paused tells whether a stream is not to be applied yet: submissions wait for
// the snapshot that covers those before them.
func (c *core) paused(stream string) bool {
	return stream == provider.StreamIntents && c.snapshots.scanning(c.d.ownStream())
}

// recover goes on from the newest whole snapshot of a stream that was read to
// its end for it.
func (c *core) recover(stream string) {
	a := c.snapshots.scans[stream]
	delete(c.snapshots.scans, stream)
	oldest := c.snapshots.oldest[stream]
	snapshot, whole := a.Newest()
	if !whole || snapshot.Base() < oldest {
		c.d.logger.Emit(logger.LogHole, logger.String("stream", stream), logger.String("snapshot", "none that is whole"), logger.Int("from", int64(oldest)))
		c.readAgain(stream, oldest)
		c.readAgain(provider.StreamIntents, c.next[provider.StreamIntents])
		return
	}
	if err := c.restore(stream, snapshot); err != nil {
		c.d.logger.Emit(logger.RecordCorrupt, logger.String("stream", stream), logger.Err(err))
	}
	if stream == provider.StreamUsage {
		// Meters need the hours that the ledger has counted already.
		c.readAgain(stream, oldest)
		return
	}
	c.readAgain(stream, snapshot.Base())
}

func (c *core) restore(stream string, s journaler.Snapshot) error {
	if stream == provider.StreamUsage {
		return c.restoreLedger(s)
	}
	state := &schema.DataCentreState{}
	if err := proto.Unmarshal(s.Data(), state); err != nil {
		return coder.New(coder.CorruptRecord, "core.restore: %v", err)
	}
	c.register.Restore(provider.Offset(state.GetIntentsNext()), state.GetRegister())
	for _, k := range state.GetShards() {
		c.addShard(k.GetShard())
		c.shards[k.GetShard()].keeper.Restore(k)
	}
	for _, m := range state.GetMeters() {
		c.addShard(m.GetShard())
		c.shards[m.GetShard()].meter = meter.Restore(m, meter.WithGrace(c.d.settings.Timing.BillGrace))
	}
	for _, o := range state.GetOwnerships() {
		c.claimer.Restore(c.d.now(), o, s.Base())
	}
	c.claimer.Skip(s.Base())
	c.readAgain(provider.StreamIntents, provider.Offset(state.GetIntentsNext()))
	return nil
}

func (c *core) restoreLedger(s journaler.Snapshot) error {
	if c.ledger == nil {
		return nil
	}
	state := &schema.LedgerState{}
	if err := proto.Unmarshal(s.Data(), state); err != nil {
		return coder.New(coder.CorruptRecord, "core.restoreLedger: %v", err)
	}
	c.ledger = meter.RestoreLedger(state, c.ledger.Zone())
	return nil
}

// writeSnapshots has the owner of the data centre's first shard write the
// snapshots that are due.
func (c *core) writeSnapshots(now clock.Millis) {
	first := c.shards[claimer.ShardName(c.d.settings.DataCentre, 0)]
	if first == nil || first.epoch == claimer.NoEpoch {
		return
	}
	c.register.Purge(now)
	own := c.d.ownStream()
	if c.due(own, now) {
		c.write(own, now, c.dataCentreState())
	}
	if c.ledger != nil && c.due(provider.StreamUsage, now-c.rank()*writerStagger) {
		c.write(provider.StreamUsage, now, c.ledger.Snapshot())
	}
}

func (c *core) due(stream string, now clock.Millis) bool {
	return c.caughtUp[stream] && now >= c.snapshots.notBefore[stream] && c.snapshots.schedules[stream].Due(now)
}

// rank gives how many data centres come before the own.
func (c *core) rank() clock.Millis {
	n := clock.Millis(0)
	for _, dc := range c.state.DataCentres() {
		if dc.Name < c.d.settings.DataCentre {
			n++
		}
	}
	return n
}

// dataCentreState gives the state as of the records read, or nil while some of
// them wait for others.
func (c *core) dataCentreState() proto.Message {
	s := &schema.DataCentreState{Register: c.register.State(), IntentsNext: int64(c.register.Next())}
	for _, name := range c.names() {
		k, settled := c.shards[name].keeper.State()
		if !settled {
			return nil
		}
		s.Shards = append(s.Shards, k)
		s.Meters = append(s.Meters, c.shards[name].meter.Snapshot())
		s.Ownerships = append(s.Ownerships, c.claimer.Ledger().Ownership(name))
	}
	return s
}

func (c *core) write(stream string, now clock.Millis, state proto.Message) {
	if state == nil {
		return
	}
	data, err := proto.Marshal(state)
	if err != nil {
		c.d.logger.Emit(logger.RecordCorrupt, logger.String("stream", stream), logger.Err(err))
		return
	}
	c.snapshots.notBefore[stream] = now.Add(snapshotRetry)
	s := journaler.NewSnapshot(c.snapshots.kinds[stream], c.d.id(), c.next[stream], data)
	for _, r := range s.Records(now, c.d.settings.Name) {
		c.journalise(now, stream, r)
	}
}
