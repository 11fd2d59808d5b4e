package daemon

import (
	"context"
	"strconv"
	"time"

	"galenawharf.example/galenawharf/claimer"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/journaler"
	"galenawharf.example/galenawharf/keeper"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/measurer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// sleep waits, and gives false where the daemon has stopped.
func (d *Daemon) sleep(m clock.Millis) bool {
	t := time.NewTimer(m.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.ctx.Done():
		return false
	}
}

// every calls f again and again until the daemon stops.
func (d *Daemon) every(period clock.Millis, f func()) {
	d.loops.Go(func() {
		for {
			f()
			if !d.sleep(period) {
				return
			}
		}
	})
}

// readStream follows one stream of the log.
func (d *Daemon) readStream(stream string) {
	var next provider.Offset
	down := false
	for {
		if to, again := d.rewound.LoadAndDelete(stream); again {
			next = to.(provider.Offset)
		}
		began := d.now()
		ctx, cancel := d.platformContext()
		p, err := d.platform.Log.Read(ctx, stream, next, readLimit)
		cancel()
		if (err != nil) != down {
			down = err != nil
			d.noteLog(stream, err)
		}
		if err == nil {
			if n := len(p.Entries); n > 0 {
				next = p.Entries[n-1].Offset + 1
			}
			d.post(func(c *core) { c.page(stream, p, began) })
		} else {
			d.metrics.Add(measurer.LogErrors, 1)
		}
		if (err != nil || next >= p.Next) && !d.sleep(d.pollOf(stream)) {
			return
		}
		if d.ctx.Err() != nil {
			return
		}
	}
}

// pollOf gives how often the end of a stream is looked for. Usage comes by the
// hour, and nobody waits for it.
func (d *Daemon) pollOf(stream string) clock.Millis {
	if stream == provider.StreamUsage {
		return max(d.settings.Timing.HostPoll, d.settings.Timing.LogPoll)
	}
	return d.settings.Timing.LogPoll
}

// rewind has a stream read again from an offset.
func (d *Daemon) rewind(stream string, to provider.Offset) { d.rewound.Store(stream, to) }

func (d *Daemon) noteLog(stream string, err error) {
	if err != nil {
		d.logger.Emit(logger.LogDown, logger.String("stream", stream), logger.Err(err))
		return
	}
	d.logger.Emit(logger.LogUp, logger.String("stream", stream))
}

func (d *Daemon) platformContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(d.ctx, d.settings.Timing.PlatformCall.Duration())
}

func (d *Daemon) noteHosts(err error) {
	if err != nil {
		d.logger.Emit(logger.HostsDown, logger.Err(err))
		return
	}
	d.logger.Emit(logger.HostsUp)
}

func (d *Daemon) readHosts() {
	ctx, cancel := d.platformContext()
	defer cancel()
	hosts, err := d.platform.Hosts.List(ctx)
	if down := err != nil; d.hostsDown.Swap(down) != down {
		d.noteHosts(err)
	}
	if err != nil {
		return
	}
	d.post(func(c *core) {
		// An empty list is one that has not caught up.
		c.listed = c.listed || len(hosts) > 0
		c.gatherer.Listed(d.now(), hosts)
	})
}

// step lets the core decide, and waits until it has.
func (d *Daemon) step() {
	done := make(chan struct{})
	if !d.post(func(c *core) {
		began := d.now()
		c.step(began)
		d.metrics.Record(measurer.StepTime, d.now().Sub(began).Duration())
		close(done)
	}) {
		return
	}
	select {
	case <-done:
	case <-d.ctx.Done():
	}
}

// readConfig reads the config stream from where the core stands, which peers
// may have moved on.
func (d *Daemon) readConfig() {
	next, err := within(d.ctx, d, func(c *core) provider.Offset { return c.replicator.Next() })
	if err != nil {
		return
	}
	asked := d.now()
	ctx, cancel := d.platformContext()
	defer cancel()
	p, err := d.platform.Log.Read(ctx, provider.StreamConfig, next, readLimit)
	if err != nil {
		d.metrics.Add(measurer.LogErrors, 1)
		return
	}
	d.post(func(c *core) { c.configPage(p, asked) })
}

func (d *Daemon) appendBatch(b journaler.Batch) {
	d.loops.Go(func() {
		_, err := d.append(d.ctx, b.Stream(), b.Records())
		d.post(func(c *core) { c.journal.Done(d.now(), b.Number(), err) })
	})
}

// appendConfig appends records of the replicator, and tells it what came of it.
func (d *Daemon) appendConfig(records []*schema.Record) {
	data, err := claimer.Encode(records)
	if err != nil {
		return
	}
	d.loops.Go(func() {
		_, err := d.append(d.ctx, provider.StreamConfig, data)
		d.post(func(c *core) { c.replicator.Appended(records, err) })
	})
}

func (d *Daemon) append(ctx context.Context, stream string, records [][]byte) (provider.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Timing.PlatformCall.Duration())
	defer cancel()
	began := d.now()
	o, err := d.platform.Log.Append(ctx, stream, records)
	d.metrics.Record(measurer.AppendTime, d.now().Sub(began).Duration())
	d.metrics.Add(measurer.Appends, 1)
	for _, r := range records {
		d.metrics.Add(measurer.AppendedBytes, int64(len(r)))
	}
	if err != nil {
		d.metrics.Add(measurer.LogErrors, 1)
	}
	return o, err
}

// nothingAdded tells whether a failed append certainly added nothing.
func nothingAdded(err error) bool {
	switch coder.Of(err) {
	case coder.LogDown, coder.RateLimited, coder.TooLarge:
		return true
	}
	return false
}

// appendClaims appends records of the claimer, and tells it what came of it.
func (d *Daemon) appendClaims(records []*schema.Record) {
	data, err := claimer.Encode(records)
	if err != nil {
		return
	}
	d.loops.Go(func() {
		_, err := d.append(d.ctx, provider.StreamOf(d.settings.DataCentre), data)
		d.post(func(c *core) { c.claimer.Appended(records, err) })
	})
}

// send carries an order out beside others, at most as many as the settings
// allow at a time.
func (d *Daemon) send(s *shard, o *keeper.Order) {
	d.loops.Go(func() {
		select {
		case d.orders <- struct{}{}:
		case <-d.ctx.Done():
			return
		}
		defer func() { <-d.orders }()
		ctx, cancel := d.platformContext()
		defer cancel()
		began := d.now()
		r := o.Do(ctx, d.platform.Workers)
		d.metrics.Add(measurer.Orders, 1)
		d.metrics.Record(measurer.OrderTime, d.now().Sub(began).Duration())
		if r.Err() != nil {
			d.metrics.Add(measurer.OrderErrors, 1)
			d.logger.Emit(logger.OrderFailed, logger.String("worker", o.Worker()), logger.Err(r.Err()))
		}
		d.post(func(c *core) {
			if r.Err() == nil {
				c.heardWorker(o.Worker())
			}
			s.keeper.Done(d.now(), r)
		})
	})
}
