package conductor

import (
	"sync"
	"time"

	"galenawharf.example/galenawharf/clock"
)

// sentBatch counts the unanswered orders of a batch and measures how long answers take. An order counts
// as in flight for maxInFlightTime: after that it is the worker that does not answer, and not this
// process that is slow. Orders without an answer are not measured.
type sentBatch struct {
	c      *Conductor
	sentAt clock.Millis
	size   int
	timer  *time.Timer

	mu sync.Mutex
	// done is the number of orders that have ended, answerTimes how long the answered ones took,
	// expired whether the others do not count as in flight any more.
	done        int
	answerTimes []clock.Millis
	expired     bool
}

// maxInFlightTime is twice the time in which the regulator wants orders to be answered.
const maxInFlightTime = 300 * clock.Millis(1)

func newSentBatch(c *Conductor, size int) *sentBatch {
	b := &sentBatch{c: c, sentAt: c.now(), size: size}
	c.startsInFlight.Add(int64(size))
	b.timer = time.AfterFunc(maxInFlightTime.Duration(), b.expire)
	return b
}

// end must be called once for each order, with whether the worker has answered.
func (b *sentBatch) end(answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done++
	if !b.expired {
		b.c.startsInFlight.Add(-1)
	}
	if answered {
		b.answerTimes = append(b.answerTimes, b.c.now()-b.sentAt)
	}
	if b.done < b.size {
		return
	}
	b.timer.Stop()
	half, took := (len(b.answerTimes)+1)/2, clock.Millis(0)
	if half > 0 {
		took = b.answerTimes[half-1]
	}
	b.c.regulator.Sent(b.size, half, took)
}

// expire ends the time in which the orders count.
func (b *sentBatch) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expired = true
	b.c.startsInFlight.Add(int64(b.done - b.size))
}
