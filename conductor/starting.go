package conductor

import (
	"sync/atomic"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/scheduler"
)

const (
	// roundShare is the share of the time that rounds of placing may take. On a host with
	// little processor time, rounds that follow each other closely would leave nothing for
	// sending what they have placed.
	roundShare = 0.05
	// maxRoundGap bounds the time between two rounds, and thereby the time that a task waits
	// for the next one.
	maxRoundGap = 250 * clock.Millis(1)
)

// nextRoundGap returns the time until the next round of placing after one that took the given time.
func nextRoundGap(took clock.Millis) clock.Millis {
	return min(max(flushInterval, clock.Millis(float64(took)/roundShare)), maxRoundGap)
}

// place places tasks in one round, as many as can be sent in time, unless what is known of workers
// and evacuations is too old.
func (c *Conductor) place(now clock.Millis) {
	if now > c.startsUntil() {
		return
	}
	limit := c.regulator.StartLimit() - int(c.unsentStarts.Load())
	if limit <= 0 || c.sched.PlaceUpTo(limit) {
		c.regulator.Limited()
	}
}

// sendBatch sends the orders of a batch and measures how long that takes.
func (c *Conductor) sendBatch(os []scheduler.Order) {
	if len(os) == 0 {
		return
	}
	began, n := c.now(), int64(len(os))
	c.unsentStarts.Add(n)
	var left atomic.Int64
	left.Store(n)
	for _, o := range os {
		c.sendOrder(o, func() {
			c.unsentStarts.Add(-1)
			if left.Add(-1) == 0 {
				c.regulator.Sent(int(n), c.now()-began)
			}
		})
	}
}
