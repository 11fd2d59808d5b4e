package conductor

import (
	"context"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// session is the contact with one life of a worker.
	session struct {
		worker string
		born   int64
		// slots bounds the orders on their way.
		slots chan struct{}
		// wake ends a wait for ends to be stored.
		wake chan struct{}
		// looking is whether a goroutine asks the worker.
		looking bool
	}
)

const (
	// ordersAtOnce bounds the orders on their way to one worker, and with it the
	// connections: one for each and one for the look.
	ordersAtOnce = 2
	// lookWait is how long a worker holds a look until a run ends. The lease is
	// extended with each look.
	lookWait = 1000 * clock.Millis(1)
	// gaugeWait is that for workers whose serving tasks are watched.
	gaugeWait = 500 * clock.Millis(1)
	// firstLooksAtOnce bounds the first looks that are on their way: opening the
	// connections to all workers at once would keep a small host busy for seconds.
	firstLooksAtOnce = 16
	// lookMargin is allowed for an answer beyond the wait.
	lookMargin = 800 * clock.Millis(1)
	// silentMargin is that for a worker that has not answered: where a cut has ended,
	// another attempt is sooner through than one that was begun during it.
	silentMargin = 400 * clock.Millis(1)
	// lookPause is the time before a worker that did not answer is asked again.
	lookPause = 100 * clock.Millis(1)
	// storeWait is how long a session waits for ends to be stored before it extends
	// the lease without acknowledging them.
	storeWait = 800 * clock.Millis(1)
)

func (c *Conductor) session(worker string, born int64) *session {
	k := sessionKey(worker, born)
	s := c.sessions[k]
	if s == nil {
		s = &session{worker: worker, born: born, slots: make(chan struct{}, ordersAtOnce), wake: make(chan struct{}, 1)}
		c.sessions[k] = s
	}
	return s
}

func (s *session) acquire(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *session) release() { <-s.slots }

// wake lets the session of a worker go on after its ends were stored.
func (c *Conductor) wake(worker string) {
	c.sched.SessionOf(worker, func(q scheduler.Session) {
		if s := c.sessions[sessionKey(worker, q.Born)]; s != nil {
			select {
			case s.wake <- struct{}{}:
			default:
			}
		}
	})
}

// manageSessions starts to look at workers that have become busy.
func (c *Conductor) manageSessions() {
	live := map[string]bool{}
	var idle []scheduler.Session
	c.sched.Sessions(func(q scheduler.Session) {
		k := sessionKey(q.Worker, q.Born)
		live[k] = true
		if !q.Busy || q.Address == "" {
			return
		}
		s := c.session(q.Worker, q.Born)
		switch {
		case s.looking:
		case q.Idle:
			idle = append(idle, q)
		default:
			c.startLooking(s, q.Inherited)
		}
	})
	for _, q := range idle {
		c.startLooking(c.session(q.Worker, q.Born), q.Inherited)
	}
	for k, s := range c.sessions {
		if !live[k] && !s.looking {
			delete(c.sessions, k)
		}
	}
}

func (c *Conductor) startLooking(s *session, inherited bool) {
	s.looking = true
	if inherited {
		c.awaiting = append(c.awaiting, s)
		c.startFirstLooks()
		return
	}
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		c.look(s)
	}()
}

// startFirstLooks asks workers for the first time in a term. After a takeover all of
// them are due at once; only some are asked at a time, those with runs first.
func (c *Conductor) startFirstLooks() {
	for c.firstLooks < firstLooksAtOnce && len(c.awaiting) > 0 {
		s := c.awaiting[0]
		c.awaiting = c.awaiting[1:]
		c.firstLooks++
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			q, busy, _ := c.question(s)
			if busy {
				c.lookOnce(q)
			}
			c.do(func() {
				c.firstLooks--
				c.startFirstLooks()
			})
			if busy {
				c.look(s)
			}
		}()
	}
}

// look asks a worker again and again while it is busy.
func (c *Conductor) look(s *session) {
	for {
		q, busy, blocked := c.question(s)
		switch {
		case !busy:
			return
		case blocked:
			s.await(c.ctx)
			if q, busy, blocked = c.question(s); !busy {
				return
			}
			if blocked {
				q.Wait = 0
			}
		}
		if !c.lookOnce(q) {
			recorder.Sleep(c.ctx, lookPause)
		} else if blocked {
			recorder.Sleep(c.ctx, storeWait)
		}
	}
}

// await waits until the ends of the worker are stored, within bounds.
func (s *session) await(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeWait.Duration())
	defer cancel()
	select {
	case <-s.wake:
	case <-ctx.Done():
	}
}

// question returns what to ask next, whether the session goes on, and whether ends
// await storing.
func (c *Conductor) question(s *session) (next Question, goesOn, awaitsStore bool) {
	var q Question
	var busy, blocked bool
	if !c.ask(func() {
		n, known := c.sched.Session(s.worker, s.born)
		if !known || !n.Busy {
			s.looking = false
			return
		}
		busy, blocked = true, n.Blocked
		q = Question{Worker: s.worker, Address: n.Address, Born: s.born, Acked: n.Acked, Wait: lookWait}
		margin := lookMargin
		switch {
		case n.Idle, n.Inherited, n.Silent:
			// A silent worker gets its lease extended by the look after its first answer.
			q.Wait = 0
		case n.Gauged:
			q.Wait = gaugeWait
		}
		if n.Silent {
			margin = silentMargin
		}
		q.Limit = q.Wait + margin
		q.Deadline, _ = c.deadline(s.worker)
	}) {
		return Question{}, false, false
	}
	return q, busy, blocked
}

// lookOnce asks the worker and reports whether it answered.
func (c *Conductor) lookOnce(q Question) bool {
	sent := c.now()
	ctx, cancel := context.WithTimeout(c.ctx, q.Limit.Duration())
	r, out := c.fleet.Look(ctx, q, c.epoch)
	cancel()
	c.measures.Poll(c.now() - sent)
	r.Worker, r.Sent = q.Worker, sent
	c.ask(func() {
		switch out {
		case scheduler.Done:
			c.sched.Told(q.Worker, q.Born, q.Acked)
			c.sched.Report(r)
		case scheduler.Fenced:
			c.end("a worker knows a newer leader", logger.String("worker", q.Worker))
		case scheduler.OtherLife:
			c.sched.Replaced(q.Worker, q.Born, r.Born)
		default:
			c.sched.Unanswered(q.Worker, q.Born, out == scheduler.Absent)
		}
	})
	return out == scheduler.Done
}
