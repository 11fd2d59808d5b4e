package conductor

import (
	"context"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Cloud holds the calls to the platform that manages the workers' machines.
	Cloud struct {
		// List returns all machines.
		List func(context.Context) ([]scheduler.Machine, error)
		// Upkeep starts the maintenance of one machine. The epoch is the fencing token.
		Upkeep func(ctx context.Context, u scheduler.UpkeepOrder, epoch int64) scheduler.UpkeepOutcome
		// Publish stores the state of a maintenance wave for the operator. Published
		// returns the published states of all waves, with an empty state for one that
		// can't be decoded.
		Publish   func(ctx context.Context, wave string, s scheduler.WaveState) error
		Published func(context.Context) (map[string]scheduler.WaveState, error)
	}
)

const (
	// waveInterval is the period at which the machines are listed while a wave is in
	// progress. The platform allows 60 such calls a second for all daemons together.
	waveInterval = 100 * clock.Millis(1)
	// departureInterval is the period at which the machines are listed while a worker seems
	// to have left. Two lists show that it has, so its tasks wait for less than a second.
	departureInterval = 300 * clock.Millis(1)
	// cloudTimeout bounds the calls of one round, of which the listing of the machines
	// may be slow.
	cloudTimeout = 1500 * clock.Millis(1)
)

// WithCloud sets the calls to the platform. Without it no maintenance wave is carried
// out, and the tasks of a drained worker that has left wait for the end of its lease.
func WithCloud(m Cloud) Option { return func(c *Conductor) { c.cloud = m } }

// SetWaves replaces the maintenance waves that the operator has ordered.
func (c *Conductor) SetWaves(ws []scheduler.Wave) {
	c.post(func() { c.sched.SetWaves(ws) })
}

// watchMachines lists the machines while a maintenance wave is in progress or a worker seems
// to have left, and carries out the waves, until the term is over.
func (c *Conductor) watchMachines() {
	if c.cloud.List == nil {
		return
	}
	restored, listedAt := false, clock.Millis(0)
	for recorder.Sleep(c.ctx, waveInterval) {
		active, departing := false, false
		switch {
		case !c.call(func() { active, departing = c.sched.WaveInProgress(), c.sched.HasDeparting() }):
			return
		case !active && (!departing || c.now()-listedAt < departureInterval):
			continue
		}
		listedAt = c.now()
		if active && !restored {
			restored = c.restorePublished()
		}
		if restored || departing {
			c.applyMachines(restored)
		}
	}
}

// restorePublished loads the states that a previous leader published and reports whether
// it succeeded.
func (c *Conductor) restorePublished() bool {
	ctx, cancel := context.WithTimeout(c.ctx, cloudTimeout.Duration())
	defer cancel()
	states, err := c.cloud.Published(ctx)
	if err != nil {
		c.emit(logger.CloudFailed, logger.Err(err))
		return false
	}
	return c.call(func() {
		for id, s := range states {
			if s == "" {
				// The wave is carried out again; the platform's answers show which
				// machines are already done.
				c.emit(logger.RecordInvalid, logger.String("wave", id))
				continue
			}
			c.sched.WaveStatePublished(id, s)
		}
	})
}

// applyMachines lists the machines and removes the workers that have left. If withWaves is
// set, it also sends the maintenance orders that are due and publishes the waves' states.
func (c *Conductor) applyMachines(withWaves bool) {
	ctx, cancel := context.WithTimeout(c.ctx, cloudTimeout.Duration())
	defer cancel()
	listedAt := c.now()
	ms, err := c.cloud.List(ctx)
	if err != nil {
		c.emit(logger.CloudFailed, logger.Err(err))
		return
	}
	var states map[string]scheduler.WaveState
	if !c.call(func() {
		c.sched.RemoveDeparted(ms)
		if !withWaves {
			return
		}
		c.sched.ApplyMachineList(ms, listedAt)
		for _, u := range c.sched.TakeUpkeepOrders() {
			c.sendUpkeep(u)
		}
		states = c.sched.WaveStates()
	}) {
		return
	}
	for id, s := range states {
		if err := c.cloud.Publish(ctx, id, s); err != nil {
			c.emit(logger.CloudFailed, logger.String("wave", id), logger.Err(err))
			continue
		}
		c.call(func() { c.sched.WaveStatePublished(id, s) })
	}
}

// sendUpkeep sends a maintenance order from a goroutine of its own. It is not sent if another daemon
// may lead, since some platforms don't check the epoch.
func (c *Conductor) sendUpkeep(u scheduler.UpkeepOrder) {
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		ctx, cancel := context.WithTimeout(c.ctx, OrderTimeout.Duration())
		defer cancel()
		out := scheduler.UpkeepBusy
		if !c.renewalOverdue() {
			out = c.cloud.Upkeep(ctx, u, c.epoch)
		}
		c.post(func() { c.sched.UpkeepAnswered(u, out) })
	}()
}
