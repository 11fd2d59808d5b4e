package conductor

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/depositor"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/recorder"
)

const (
	// depositWait is how long the store holds a read of the deposits without news.
	depositWait = clock.Second
	// collectEvery is how often deposits that were collected are dropped.
	collectEvery = 500 * clock.Millis(1)
)

// deposited accepts one deposit. It runs on the owning goroutine.
func (c *Conductor) deposited(i recorder.Item) {
	if len(i.Value) == 0 {
		return
	}
	s, err := depositor.Decode(i)
	if err == nil {
		err = c.sched.Adopt(s, func(refused error) {
			if refused == nil {
				c.collected = append(c.collected, recorder.Item{Key: i.Key})
			}
		})
	}
	if err != nil {
		// Nobody can run it, and hosts deposit only what they have checked.
		c.emit(logger.RecordInvalid, logger.String("key", i.Key), logger.Err(err))
		c.collected = append(c.collected, recorder.Item{Key: i.Key})
	}
}

// collect follows the deposits until the term is over, and drops those whose jobs
// are stored.
func (c *Conductor) collect() {
	f := recorder.Follow(c.store, depositor.Topic, recorder.PollTiming{Wait: depositWait}, recorder.Callbacks{
		Reset: func(m map[string][]byte) {
			c.do(func() {
				for k, v := range m {
					c.deposited(recorder.Item{Key: k, Value: v})
				}
			})
		},
		Change: func(items []recorder.Item) {
			c.do(func() {
				for _, i := range items {
					c.deposited(i)
				}
			})
		},
		Read:   func(clock.Millis) { c.do(func() { c.depositsRead = c.now() }) },
		Failed: func(error) {},
	})
	defer f.Close()
	for recorder.Sleep(c.ctx, collectEvery) {
		var done []recorder.Item
		if !c.ask(func() { done, c.collected = c.collected, nil }) {
			return
		}
		if len(done) == 0 {
			continue
		}
		if _, err := c.store.Append(c.ctx, depositor.Topic, recorder.AnyEnd, done); err != nil {
			c.ask(func() { c.collected = append(c.collected, done...) })
		}
	}
}
