package conductor

import (
	"context"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/depositor"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/recorder"
)

const (
	// depositPollWait is how long the store may hold a read of the deposits until there
	// are new ones (long polling).
	depositPollWait = 600 * clock.Millis(1)
	// deleteInterval is the period at which deposits are deleted whose jobs are stored.
	deleteInterval = 500 * clock.Millis(1)
	// deleteTimeout bounds one append that deletes deposits, so that a lost response delays the
	// deletions by no more: the longest latency of the store in its fault specification.
	deleteTimeout = 2 * clock.Second
	// maxDeletions bounds the deposits of one append, which has then at most 0.3 MB of the 2 MB that the
	// store accepts.
	maxDeletions = 4096
)

// acceptDeposit passes a deposited job to the scheduler. It runs on the scheduler's
// goroutine.
func (c *Conductor) acceptDeposit(i recorder.Item) {
	if len(i.Value) == 0 {
		return
	}
	c.skipInvalid(i.Key, func() { c.submitDeposit(i) })
}

func (c *Conductor) submitDeposit(i recorder.Item) {
	s, err := depositor.Decode(i)
	if err == nil {
		known := c.sched.HasJob(s.ID)
		err = c.sched.SubmitDeposited(s, func(storeErr error) {
			if storeErr == nil {
				c.storedDeposits = append(c.storedDeposits, recorder.Item{Key: i.Key})
			}
		})
		if err == nil && !known {
			c.countAccepted(&s)
		}
	}
	if err != nil {
		// The job is deleted, since no leader could run it. This should not occur: hosts
		// validate a job before they deposit it.
		c.emit(logger.RecordInvalid, logger.String("key", i.Key[:min(len(i.Key), maxLoggedKey)]), logger.Err(err))
		if i.Key == "" {
			// The store has no key to delete.
			return
		}
		c.storedDeposits = append(c.storedDeposits, recorder.Item{Key: i.Key})
	}
}

// followDeposits accepts deposits until the term is over, and deletes those whose jobs
// are stored.
func (c *Conductor) followDeposits() {
	f := recorder.Follow(c.store, depositor.Topic, recorder.PollTiming{Wait: depositPollWait}, recorder.Callbacks{
		Reset: func(m map[string][]byte) {
			c.post(func() {
				for k, v := range m {
					c.acceptDeposit(recorder.Item{Key: k, Value: v})
				}
			})
		},
		Change: func(items []recorder.Item) {
			c.post(func() {
				for _, i := range items {
					c.acceptDeposit(i)
				}
			})
		},
		Read: func(_, age clock.Millis) {
			at := c.now() - age
			c.post(func() { c.noteDepositRead(at) })
		},
		Failed: c.followFailed,
	})
	defer f.Close()
	for recorder.Sleep(c.ctx, deleteInterval) {
		if !c.deleteStoredDeposits() {
			return
		}
	}
}

// noteDepositRead records that all deposits are known as of a time. It runs on the scheduler's goroutine.
func (c *Conductor) noteDepositRead(at clock.Millis) {
	c.lastDepositRead = max(c.lastDepositRead, at)
	c.sched.NoteDepositsRead(c.lastDepositRead)
}

// deleteStoredDeposits deletes the deposits whose jobs are stored. Deletions without a confirmation are
// repeated. It returns false if the term is over.
func (c *Conductor) deleteStoredDeposits() bool {
	var batch []recorder.Item
	waiting := 0
	if !c.call(func() {
		n := min(len(c.storedDeposits), maxDeletions)
		batch, c.storedDeposits = c.storedDeposits[:n:n], c.storedDeposits[n:]
		waiting = n + len(c.storedDeposits)
	}) {
		return false
	}
	c.metrics.Deposits(waiting)
	if len(batch) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(c.ctx, deleteTimeout.Duration())
	defer cancel()
	if _, err := c.store.Append(ctx, depositor.Topic, recorder.AnyEnd, batch); err != nil {
		c.deletionFailed(err, waiting)
		return c.call(func() { c.storedDeposits = append(c.storedDeposits, batch...) })
	}
	c.deletionSucceeded(len(batch))
	return c.call(func() {
		for _, i := range batch {
			c.sched.DepositDeleted(i.Key)
		}
	})
}

// deletionFailed logs the first of a series of deletions that the store has not confirmed.
func (c *Conductor) deletionFailed(err error, waiting int) {
	if c.deletionsFailSince == 0 && c.ctx.Err() == nil {
		c.deletionsFailSince = c.now()
		c.emit(logger.DepositsKept, logger.Int("deposits", int64(waiting)), logger.Err(err))
	}
}

// deletionSucceeded logs the end of such a series.
func (c *Conductor) deletionSucceeded(deleted int) {
	if c.deletionsFailSince != 0 {
		c.emit(logger.DepositsDeleted, logger.Int("deposits", int64(deleted)), logger.Int("failed-ms", int64(c.now()-c.deletionsFailSince)))
		c.deletionsFailSince = 0
	}
}
