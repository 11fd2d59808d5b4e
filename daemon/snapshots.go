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
	// snapshots are the states that replace records which the log will discard: the data
	// centre's state, including submissions up to then, in the data centre's stream, and
	// the ledger in the usage stream.
	snapshots struct {
		own        string
		kindOf     map[string]string
		schedules  map[string]*journaler.Schedule
		assemblers map[string]*journaler.Assembler
		// scans are the streams that are read only to find their newest snapshot.
		scans  map[string]*journaler.Assembler
		oldest map[string]provider.Offset
		// notBefore keeps the daemon from writing a snapshot again before it was able to
		// read the last one back.
		notBefore map[string]clock.Millis
	}
)

const (
	kindDataCentre = "data-centre"
	kindLedger     = "ledger"

	snapshotRetry = clock.Minute
	// writerStagger is the delay between the data centres in writing the ledger, so that
	// usually only the first one does.
	writerStagger = 10 * clock.Minute
)

func newSnapshots(d *Daemon) *snapshots {
	s := &snapshots{
		own:        d.dataCentreStream(),
		kindOf:     map[string]string{d.dataCentreStream(): kindDataCentre, provider.StreamUsage: kindLedger},
		schedules:  map[string]*journaler.Schedule{},
		assemblers: map[string]*journaler.Assembler{},
		scans:      map[string]*journaler.Assembler{},
		oldest:     map[string]provider.Offset{},
		notBefore:  map[string]clock.Millis{},
	}
	for stream, kind := range s.kindOf {
		s.schedules[stream] = journaler.NewSchedule(d.settings.Platform.Retention, d.settings.Limits.SnapshotRecords, d.now())
		s.assemblers[stream] = journaler.NewAssembler(kind)
	}
	return s
}

func (s *snapshots) scanning(stream string) bool { return s.scans[stream] != nil }

// consume counts a record towards the next snapshot, or assembles it if it is a snapshot
// chunk. It reports whether the record needs no other handling: it is a chunk, or the
// stream is read only to find a snapshot.
func (s *snapshots) consume(now clock.Millis, stream string, r *schema.Record) bool {
	c := r.GetSnapshot()
	if a := s.scans[stream]; a != nil {
		if c != nil {
			a.Add(c)
		}
		return true
	}
	schedule := s.schedules[stream]
	if schedule == nil {
		// The data centre's snapshot also covers the submissions.
		s.schedules[s.own].Count(1)
		return c != nil
	}
	schedule.Count(1)
	if c != nil && s.assemblers[stream].Add(c) {
		schedule.SnapshotWritten(now)
		s.assemblers[stream] = journaler.NewAssembler(s.kindOf[stream])
	}
	return c != nil
}

// handleGap starts a scan for a snapshot after the log has discarded records that this
// daemon hasn't read.
func (c *core) handleGap(stream string, oldest provider.Offset) {
	c.d.logger.Emit(logger.LogHole, logger.String("stream", stream), logger.Int("from", int64(c.next[stream])), logger.Int("to", int64(oldest)))
	own := c.d.dataCentreStream()
	switch stream {
	case provider.StreamUsage:
		c.startSnapshotScan(stream, oldest)
	case provider.StreamIntents:
		c.next[stream] = oldest
		if !c.snapshots.scanning(own) {
			c.startSnapshotScan(own, c.snapshots.oldest[own])
			c.d.requestReread(own, 0)
		}
	default:
		c.startSnapshotScan(own, oldest)
	}
}

func (c *core) startSnapshotScan(stream string, oldest provider.Offset) {
	c.snapshots.scans[stream] = journaler.NewAssembler(c.snapshots.kindOf[stream])
	c.snapshots.oldest[stream] = oldest
	c.restartRead(stream, oldest)
}

// isPaused reports whether a stream must not be applied yet: the stream of submissions
// waits for the data centre's snapshot, which covers the earlier submissions.
func (c *core) isPaused(stream string) bool {
	return stream == provider.StreamIntents && c.snapshots.scanning(c.d.dataCentreStream())
}

// resumeFromSnapshot continues from the newest whole snapshot of a stream that was
// scanned to its end.
func (c *core) resumeFromSnapshot(stream string) {
	a := c.snapshots.scans[stream]
	delete(c.snapshots.scans, stream)
	oldest := c.snapshots.oldest[stream]
	snapshot, whole := a.Newest()
	if !whole || snapshot.Base() < oldest {
		c.d.logger.Emit(logger.LogHole, logger.String("stream", stream), logger.String("snapshot", "no whole snapshot found"), logger.Int("from", int64(oldest)))
		c.restartRead(stream, oldest)
		c.restartRead(provider.StreamIntents, c.next[provider.StreamIntents])
		return
	}
	if err := c.loadSnapshot(stream, snapshot); err != nil {
		c.d.logger.Emit(logger.RecordCorrupt, logger.String("stream", stream), logger.Err(err))
	}
	if stream == provider.StreamUsage {
		// Meters also need the hours that are in the ledger already.
		c.restartRead(stream, oldest)
		return
	}
	c.restartRead(stream, snapshot.Base())
}

func (c *core) loadSnapshot(stream string, s journaler.Snapshot) error {
	if stream == provider.StreamUsage {
		return c.loadLedgerSnapshot(s)
	}
	state := &schema.DataCentreState{}
	if err := proto.Unmarshal(s.Data(), state); err != nil {
		return coder.New(coder.CorruptRecord, "core.loadSnapshot: %v", err)
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
	c.restartRead(provider.StreamIntents, provider.Offset(state.GetIntentsNext()))
	return nil
}

func (c *core) loadLedgerSnapshot(s journaler.Snapshot) error {
	if c.ledger == nil {
		return nil
	}
	state := &schema.LedgerState{}
	if err := proto.Unmarshal(s.Data(), state); err != nil {
		return coder.New(coder.CorruptRecord, "core.loadLedgerSnapshot: %v", err)
	}
	c.ledger = meter.RestoreLedger(state, c.ledger.Zone())
	return nil
}

// writeSnapshots writes the snapshots that are due. Only the owner of the data centre's
// first shard does so.
func (c *core) writeSnapshots(now clock.Millis) {
	first := c.shards[claimer.ShardName(c.d.settings.DataCentre, 0)]
	if first == nil || first.epoch == claimer.NoEpoch {
		return
	}
	c.register.Purge(now)
	own := c.d.dataCentreStream()
	if c.snapshotDue(own, now) {
		c.writeSnapshot(own, now, c.dataCentreState())
	}
	if c.ledger != nil && c.snapshotDue(provider.StreamUsage, now-c.writerRank()*writerStagger) {
		c.writeSnapshot(provider.StreamUsage, now, c.ledger.Snapshot())
	}
}

func (c *core) snapshotDue(stream string, now clock.Millis) bool {
	return c.caughtUp[stream] && now >= c.snapshots.notBefore[stream] && c.snapshots.schedules[stream].Due(now)
}

// writerRank returns how many data centres precede this one by name.
func (c *core) writerRank() clock.Millis {
	n := clock.Millis(0)
	for _, dc := range c.state.DataCentres() {
		if dc.Name < c.d.settings.DataCentre {
			n++
		}
	}
	return n
}

// dataCentreState returns the state after the records read so far, or nil while the keeper
// of a shard has events or verdicts pending.
func (c *core) dataCentreState() proto.Message {
	s := &schema.DataCentreState{Register: c.register.State(), IntentsNext: int64(c.register.Next())}
	for _, name := range c.shardNames() {
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

func (c *core) writeSnapshot(stream string, now clock.Millis, state proto.Message) {
	if state == nil {
		return
	}
	data, err := proto.Marshal(state)
	if err != nil {
		c.d.logger.Emit(logger.RecordCorrupt, logger.String("stream", stream), logger.Err(err))
		return
	}
	c.snapshots.notBefore[stream] = now.Add(snapshotRetry)
	s := journaler.NewSnapshot(c.snapshots.kindOf[stream], c.d.newRecordID(), c.next[stream], data)
	for _, r := range s.Records(now, c.d.settings.Name) {
		c.enqueueRecord(now, stream, r)
	}
}
