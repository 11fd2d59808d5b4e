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

// sleep waits for m. It reports false if the daemon has stopped.
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

// runEvery calls f in its own goroutine until the daemon stops, with a period between the
// calls.
func (d *Daemon) runEvery(period clock.Millis, f func()) {
	d.loops.Go(func() {
		for {
			f()
			if !d.sleep(period) {
				return
			}
		}
	})
}

// readStream reads one stream of the log continuously and passes its pages to the core.
func (d *Daemon) readStream(stream string) {
	var next provider.Offset
	down := false
	for {
		if from, requested := d.rereadFrom.LoadAndDelete(stream); requested {
			next = from.(provider.Offset)
		}
		startedAt := d.now()
		ctx, cancel := d.platformContext()
		p, err := d.platform.Log.Read(ctx, stream, next, readLimit)
		cancel()
		if (err != nil) != down {
			down = err != nil
			d.logStreamReachability(stream, err)
		}
		if err == nil {
			if n := len(p.Entries); n > 0 {
				next = p.Entries[n-1].Offset + 1
			}
			d.post(func(c *core) { c.applyPage(stream, p, startedAt) })
		} else {
			d.metrics.Add(measurer.LogErrors, 1)
		}
		if (err != nil || next >= p.Next) && !d.sleep(d.pollInterval(stream)) {
			return
		}
		if d.ctx.Err() != nil {
			return
		}
	}
}

// pollInterval returns how often to look for new records at the end of a stream. Usage
// records come once an hour and no request waits for them, so their stream is polled less
// often.
func (d *Daemon) pollInterval(stream string) clock.Millis {
	if stream == provider.StreamUsage {
		return max(d.settings.Timing.HostPoll, d.settings.Timing.LogPoll)
	}
	return d.settings.Timing.LogPoll
}

// requestReread has the goroutine that reads a stream continue from an offset.
func (d *Daemon) requestReread(stream string, from provider.Offset) { d.rereadFrom.Store(stream, from) }

func (d *Daemon) logStreamReachability(stream string, err error) {
	if err != nil {
		d.logger.Emit(logger.LogDown, logger.String("stream", stream), logger.Err(err))
		return
	}
	d.logger.Emit(logger.LogUp, logger.String("stream", stream))
}

func (d *Daemon) platformContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(d.ctx, d.settings.Timing.PlatformCall.Duration())
}

func (d *Daemon) logHostsReachability(err error) {
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
		d.logHostsReachability(err)
	}
	if err != nil {
		return
	}
	d.post(func(c *core) {
		// If the list is empty, the platform may not have finished loading it.
		c.hostsListed = c.hostsListed || len(hosts) > 0
		c.gatherer.ApplyHostList(d.now(), hosts)
	})
}

// step runs a step of the core and waits for it to end.
func (d *Daemon) step() {
	done := make(chan struct{})
	if !d.post(func(c *core) {
		startedAt := d.now()
		c.step(startedAt)
		d.metrics.Record(measurer.StepTime, d.now().Sub(startedAt).Duration())
		close(done)
	}) {
		return
	}
	select {
	case <-done:
	case <-d.ctx.Done():
	}
}

// readConfig reads the config stream from the replicator's next offset, which entries
// from peers may have advanced since the last read.
func (d *Daemon) readConfig() {
	next, err := queryCore(d.ctx, d, func(c *core) provider.Offset { return c.replicator.Next() })
	if err != nil {
		return
	}
	startedAt := d.now()
	ctx, cancel := d.platformContext()
	defer cancel()
	p, err := d.platform.Log.Read(ctx, provider.StreamConfig, next, readLimit)
	if err != nil {
		d.metrics.Add(measurer.LogErrors, 1)
		return
	}
	d.post(func(c *core) { c.applyConfigPage(p, startedAt) })
}

func (d *Daemon) appendBatch(b journaler.Batch) {
	d.loops.Go(func() {
		_, err := d.append(d.ctx, b.Stream(), b.Records())
		d.post(func(c *core) { c.journal.Done(d.now(), b.Number(), err) })
	})
}

// appendConfig appends records of the replicator and reports the outcome to it. If the records
// can't be encoded, it neither appends nor reports anything.
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
	startedAt := d.now()
	o, err := d.platform.Log.Append(ctx, stream, records)
	d.metrics.Record(measurer.AppendTime, d.now().Sub(startedAt).Duration())
	d.metrics.Add(measurer.Appends, 1)
	for _, r := range records {
		d.metrics.Add(measurer.AppendedBytes, int64(len(r)))
	}
	if err != nil {
		d.metrics.Add(measurer.LogErrors, 1)
	}
	return o, err
}

// appendedNothing reports whether the error of an append guarantees that nothing was
// appended.
func appendedNothing(err error) bool {
	switch coder.Of(err) {
	case coder.LogDown, coder.RateLimited, coder.TooLarge:
		return true
	}
	return false
}

// appendClaims appends records of the claimer and reports the outcome to it. If the records
// can't be encoded, it neither appends nor reports anything.
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

// sendOrder carries out an order to a worker in its own goroutine. The settings limit how
// many orders run at a time.
func (d *Daemon) sendOrder(s *shard, o *keeper.Order) {
	d.loops.Go(func() {
		select {
		case d.orderSlots <- struct{}{}:
		case <-d.ctx.Done():
			return
		}
		defer func() { <-d.orderSlots }()
		ctx, cancel := d.platformContext()
		defer cancel()
		startedAt := d.now()
		r := o.Do(ctx, d.platform.Workers)
		d.metrics.Add(measurer.Orders, 1)
		d.metrics.Record(measurer.OrderTime, d.now().Sub(startedAt).Duration())
		if r.Err() != nil {
			d.metrics.Add(measurer.OrderErrors, 1)
			d.logger.Emit(logger.OrderFailed, logger.String("worker", o.Worker()), logger.Err(r.Err()))
		}
		d.post(func(c *core) {
			if r.Err() == nil {
				c.noteWorkerAnswer(o.Worker())
			}
			s.keeper.ApplyResult(d.now(), r)
		})
	})
}
