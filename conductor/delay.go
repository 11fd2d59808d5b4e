package conductor

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

const (
	// delayLimit is the delay of the scheduler's goroutine from which silent workers have to be
	// asked again before their runs are given up, and which is logged. Half of it is the delay
	// at which it counts as over.
	delayLimit = 400 * clock.Millis(1)
	// maxRegistryAge is the age of the registry up to which tasks may be started. Starts must
	// end 2 s after the registry has shown that a worker leaves; an order takes at most half a
	// second.
	maxRegistryAge = 1500 * clock.Millis(1)
	// maxOperatorAge is the age of the operator's records up to which tasks may be started.
	// Starts must end 5 s after the operator has asked for an evacuation. The records are read
	// with a long poll of a second.
	maxOperatorAge = 3500 * clock.Millis(1)
	// maxPollExtension bounds the extra time for the answer of a poll while this process is
	// delayed.
	maxPollExtension = 2 * clock.Second
)

// startsUntil returns the time until which tasks may be started by what is known of workers that
// leave, of evacuations and of tenants.
func (c *Conductor) startsUntil() clock.Millis {
	age := maxOperatorAge
	if c.hasTenants {
		age = min(age, c.tenantAge)
	}
	return min(c.lastRegistryRead.Add(maxRegistryAge), c.operatorRead().Add(age))
}

// noteDelay measures the delay of the scheduler's goroutine, and logs when it crosses delayLimit.
func (c *Conductor) noteDelay() {
	late := c.timekeeper.Turn()
	c.metrics.Delay(late)
	if late > delayLimit {
		c.sched.NoteDelay()
	}
	switch recent := c.timekeeper.Recent(); {
	case !c.delayed && recent > delayLimit:
		c.delayed = true
		c.emit(logger.ProcessDelayed, logger.Int("delay-ms", int64(recent)))
	case c.delayed && recent < delayLimit/2:
		c.delayed = false
		c.emit(logger.ProcessInTime)
	}
}

// pollExtension returns the extra time for the answer of a poll.
func (c *Conductor) pollExtension() clock.Millis {
	return min(2*c.timekeeper.Recent(), maxPollExtension)
}
