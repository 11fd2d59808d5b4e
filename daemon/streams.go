package daemon

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/journaler"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/measurer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/replicator"
)

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
	c.d.trail.Add(r.Offset(), clock.Millis(r.Record().GetAtMillis()), change, r.PreviousItems(), r.Err())
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
	c.journal.MarkRead(r.GetId())
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
