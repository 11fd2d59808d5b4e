package conductor

import (
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

// sendBatch sends the orders of a batch.
func (c *Conductor) sendBatch(os []scheduler.Order) {
	if len(os) == 0 {
		return
	}
	b := newSentBatch(c, len(os))
	for _, o := range os {
		c.sendOrder(o, b.end)
	}
}
