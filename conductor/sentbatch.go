package conductor

import (
	"sync"
	"time"

	"galenawharf.example/galenawharf/clock"
)

// sentBatch counts the unanswered orders of a batch and measures how long they take. An order counts
// as in flight for maxInFlightTime: after that it is the worker that does not answer, and not this
// process that is slow.
type sentBatch struct {
	c        *Conductor
	sentAt   clock.Millis
	size     int
	measured int
	timer    *time.Timer

	mu sync.Mutex
	// replies is the number of orders that were answered, over whether the batch was measured,
	// expired whether its orders do not count any more.
	replies       int
	over, expired bool
}

const (
	// measuredShare is the share of the orders of a batch that are waited for to measure how
	// long orders take. The others may be for workers that are cut off: up to a third, those of
	// one data centre.
	measuredShare = 0.6
	// maxInFlightTime is twice the time in which the regulator wants orders to be answered.
	maxInFlightTime = 300 * clock.Millis(1)
)

func newSentBatch(c *Conductor, size int) *sentBatch {
	b := &sentBatch{c: c, sentAt: c.now(), size: size, measured: max(int(measuredShare*float64(size)), 1)}
	c.startsInFlight.Add(int64(size))
	b.timer = time.AfterFunc(maxInFlightTime.Duration(), b.expire)
	return b
}

// answered must be called once for each order.
func (b *sentBatch) answered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replies++
	if !b.expired {
		b.c.startsInFlight.Add(-1)
	}
	if b.replies == b.measured {
		b.measure()
	}
	if b.replies == b.size {
		b.timer.Stop()
	}
}

// expire ends the time in which the orders count.
func (b *sentBatch) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expired = true
	b.c.startsInFlight.Add(int64(b.replies - b.size))
	b.measure()
}

// measure passes the time that the orders take to the regulator, once.
func (b *sentBatch) measure() {
	if !b.over {
		b.over = true
		b.c.regulator.Sent(b.size, max(b.replies, 1), b.c.now()-b.sentAt)
	}
}
