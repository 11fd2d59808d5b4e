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
	roundShare = 0.35
	// maxRoundGap bounds the time between two rounds, and thereby the time that a task waits
	// for the next one.
	maxRoundGap = 250 * clock.Millis(1)
	// measuredShare is the share of the orders of a batch that are waited for to measure how
	// long orders take. The others may be for workers that are cut off: up to a third, those of
	// one data centre.
	measuredShare = 0.6
)

// roundGap returns the time from the end of a round of placing that took the given time to the next.
func roundGap(took clock.Millis) clock.Millis {
	return min(clock.Millis(float64(took)/roundShare), maxRoundGap)
}

// place places tasks in one round, as many as can be sent in time, if a round is due and what is
// known of workers and evacuations is not too old.
func (c *Conductor) place(now clock.Millis) {
	if now < c.nextRound {
		c.scheduleFlush(c.nextRound - now)
		return
	}
	if now > c.startsUntil() {
		return
	}
	defer func() {
		end := c.now()
		c.nextRound = end + roundGap(end-now)
	}()
	limit := c.regulator.StartLimit() - int(c.startsInFlight.Load())
	c.regulator.Round(limit <= 0 || c.sched.PlaceUpTo(limit))
}

// sendBatch sends the orders of a batch and measures how long they take.
func (c *Conductor) sendBatch(os []scheduler.Order) {
	if len(os) == 0 {
		return
	}
	began, n := c.now(), int64(len(os))
	c.startsInFlight.Add(n)
	measured := max(int64(measuredShare*float64(n)), 1)
	var answered atomic.Int64
	for _, o := range os {
		c.sendOrder(o, func() {
			c.startsInFlight.Add(-1)
			if answered.Add(1) == measured {
				c.regulator.Sent(int(n), int(measured), c.now()-began)
			}
		})
	}
}
