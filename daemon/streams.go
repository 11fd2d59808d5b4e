package daemon

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/journaler"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/measurer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/replicator"
)

// applyConfigPage applies a page of the config stream from a read that started at
// startedAt.
func (c *core) applyConfigPage(p provider.Page, startedAt clock.Millis) {
	results, err := c.replicator.ApplyPage(c.d.now(), startedAt, p)
	if err != nil {
		c.d.logger.Emit(logger.LogHole, logger.String("stream", provider.StreamConfig), logger.Err(err))
	}
	for _, e := range p.Entries {
		c.d.metrics.Add(measurer.ReadBytes, int64(len(e.Data)))
	}
	c.handleResults(results)
	if c.replicator.Next() >= p.Next {
		c.caughtUp[provider.StreamConfig] = true
	}
}

// handleResults handles the results of changes that were read from the log or received
// from a peer.
func (c *core) handleResults(results []replicator.Result) {
	for _, r := range results {
		c.auditResult(r)
	}
	if s := c.replicator.State(); s != c.state {
		c.setState(s)
	}
	for _, r := range results {
		c.confirm(r.ID(), confirmation{offset: r.Offset(), refusal: r.Err()})
	}
}

func (c *core) auditResult(r replicator.Result) {
	change := r.Record().GetChange()
	c.d.trail.Add(r.Offset(), clock.Millis(r.Record().GetAtMillis()), change, r.PreviousItems(), r.Err())
	e := logger.ChangeAccepted
	if !r.Accepted() {
		e = logger.ChangeRefused
	}
	c.d.logger.Emit(e, logger.Int("offset", int64(r.Offset())), logger.String("operator", change.GetOperator()), logger.Int("items", int64(len(change.GetItems()))))
}

// applyPage applies a page of a stream other than the config stream, from a read that
// started at startedAt.
func (c *core) applyPage(stream string, p provider.Page, startedAt clock.Millis) {
	if p.Oldest > c.next[stream] {
		c.handleGap(stream, p.Oldest)
	}
	if c.isPaused(stream) {
		return
	}
	for _, e := range p.Entries {
		if e.Offset > c.next[stream] {
			c.d.requestReread(stream, c.next[stream])
			return
		}
		if e.Offset == c.next[stream] {
			c.applyEntry(stream, e)
		}
	}
	if c.next[stream] >= p.Next {
		c.reachedEnd(stream, startedAt)
	}
}

// restartRead has a stream read again from an offset. The stream isn't caught up until its
// end is reached.
func (c *core) restartRead(stream string, from provider.Offset) {
	c.next[stream] = from
	c.caughtUp[stream] = false
	c.d.requestReread(stream, from)
}

func (c *core) applyEntry(stream string, e provider.Entry) {
	c.next[stream] = e.Offset + 1
	c.d.metrics.Add(measurer.ReadBytes, int64(len(e.Data)))
	r, err := journaler.Decode(e)
	if err != nil {
		c.d.metrics.Add(measurer.CorruptRecords, 1)
		c.d.logger.Emit(logger.RecordCorrupt, logger.String("stream", stream), logger.Int("offset", int64(e.Offset)), logger.Err(err))
		c.skipEntry(stream, e.Offset)
		return
	}
	c.journal.MarkRead(r.GetId())
	if c.snapshots.consume(c.d.now(), stream, r) {
		c.skipEntry(stream, e.Offset)
		return
	}
	switch stream {
	case provider.StreamIntents:
		c.applyIntent(e.Offset, r)
	case provider.StreamUsage:
		c.applyUsage(e.Offset, r)
	default:
		c.applyEvent(e.Offset, r)
	}
}

// skipEntry makes the claimer skip a record that isn't passed to it. During a scan for a
// snapshot it does nothing, since the records are read again after the scan.
func (c *core) skipEntry(stream string, o provider.Offset) {
	if stream == c.d.dataCentreStream() && !c.snapshots.scanning(stream) {
		c.claimer.Skip(o + 1)
	}
}

func (c *core) reachedEnd(stream string, startedAt clock.Millis) {
	if c.snapshots.scanning(stream) {
		c.resumeFromSnapshot(stream)
		return
	}
	c.caughtUp[stream] = true
	c.fullReadStartedAt[stream] = startedAt
	if stream == c.d.dataCentreStream() {
		c.claimer.MarkCaughtUp(startedAt)
	}
}
