package conductor

import (
	"context"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Cloud is how the machines of the workers are reached.
	Cloud struct {
		// List returns all machines.
		List func(context.Context) ([]scheduler.Machine, error)
		// Upkeep orders one machine into its upkeep, under an epoch.
		Upkeep func(ctx context.Context, u scheduler.Upkeep, epoch int64) scheduler.UpkeepOutcome
		// Publish tells the operator the state of a wave, Published returns what the
		// operator was told of all waves, an empty state for what can't be read.
		Publish   func(ctx context.Context, wave string, s scheduler.WaveState) error
		Published func(context.Context) (map[string]scheduler.WaveState, error)
	}
)

const (
	// maintainEvery is how often the machines are listed while a wave is under way;
	// the platform takes 60 such calls a second from all daemons.
	maintainEvery = 100 * clock.Millis(1)
	// cloudLimit bounds a listing of machines, which the platform may answer slowly.
	cloudLimit = 1500 * clock.Millis(1)
)

// WithCloud sets how the machines are reached; without it no wave is carried out.
func WithCloud(m Cloud) Option { return func(c *Conductor) { c.cloud = m } }

// SetWaves replaces the waves of upkeep that the operator asks for.
func (c *Conductor) SetWaves(ws []scheduler.Wave) {
	c.do(func() { c.sched.SetWaves(ws) })
}

// maintain carries out waves until the term is over.
func (c *Conductor) maintain() {
	if c.cloud.List == nil {
		return
	}
	known := false
	for recorder.Sleep(c.ctx, maintainEvery) {
		open := false
		switch {
		case !c.ask(func() { open = c.sched.Maintaining() }):
			return
		case !open:
			continue
		}
		if !known {
			known = c.learnPublished()
			continue
		}
		c.maintainOnce()
	}
}

// learnPublished takes over what a former leader told the operator.
func (c *Conductor) learnPublished() bool {
	ctx, cancel := context.WithTimeout(c.ctx, cloudLimit.Duration())
	defer cancel()
	states, err := c.cloud.Published(ctx)
	if err != nil {
		c.emit(logger.CloudFailed, logger.Err(err))
		return false
	}
	return c.ask(func() {
		for id, s := range states {
			if s == "" {
				// The wave is gone through again; machines that are done answer so.
				c.emit(logger.RecordInvalid, logger.String("wave", id))
				continue
			}
			c.sched.Published(id, s)
		}
	})
}

func (c *Conductor) maintainOnce() {
	ctx, cancel := context.WithTimeout(c.ctx, cloudLimit.Duration())
	defer cancel()
	asked := c.now()
	ms, err := c.cloud.List(ctx)
	if err != nil {
		c.emit(logger.CloudFailed, logger.Err(err))
		return
	}
	var states map[string]scheduler.WaveState
	if !c.ask(func() {
		c.sched.ListMachines(ms, asked)
		for _, u := range c.sched.Upkeeps() {
			c.upkeep(u)
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
		c.ask(func() { c.sched.Published(id, s) })
	}
}

// upkeep carries out an order beside the owning goroutine.
func (c *Conductor) upkeep(u scheduler.Upkeep) {
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		ctx, cancel := context.WithTimeout(c.ctx, orderLimit.Duration())
		defer cancel()
		out := c.cloud.Upkeep(ctx, u, c.epoch)
		c.do(func() { c.sched.UpkeepAnswered(u, out) })
	}()
}
