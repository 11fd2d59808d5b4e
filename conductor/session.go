package conductor

import (
	"context"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// session is the state of the calls to one process of a worker. A worker that
	// restarts gets a new session.
	session struct {
		worker string
		// born is the start time of the worker's process, in Unix ms.
		born int64
		// slots limits the orders in flight.
		slots chan struct{}
		// wake signals that ended runs of the worker were stored and can be acknowledged.
		wake chan struct{}
		// polling is whether a goroutine polls the worker.
		polling bool
	}
)

const (
	// maxOrdersInFlight limits the orders in flight to one worker, and thereby its
	// connections: one for each order and one for the poll.
	maxOrdersInFlight = 2
	// pollWait is the longest time that a worker holds a poll; it answers sooner if a run
	// ends. Each poll extends the lease.
	pollWait = 1000 * clock.Millis(1)
	// colocatedPollWait replaces pollWait for workers on which services share the machine
	// with batch work. The latency of the services is read from the reports.
	colocatedPollWait = 500 * clock.Millis(1)
	// maxFirstPolls limits the first polls in flight after a takeover: opening the
	// connections to all workers at once would keep a small host busy for seconds.
	maxFirstPolls = 16
	// pollMargin is added to the wait for the timeout of a poll.
	pollMargin = 800 * clock.Millis(1)
	// silentPollMargin replaces pollMargin for a worker that has not answered: after a
	// network partition ends, a new attempt gets through sooner than one that was started
	// during it.
	silentPollMargin = 400 * clock.Millis(1)
	// pollRetryDelay is the time before an unanswered poll is retried.
	pollRetryDelay = 100 * clock.Millis(1)
	// ackWait is how long a session waits for ended runs to be stored before it extends
	// the lease without acknowledging them.
	ackWait = 800 * clock.Millis(1)
)

func (c *Conductor) session(worker string, born int64) *session {
	k := sessionKey(worker, born)
	s := c.sessions[k]
	if s == nil {
		s = &session{worker: worker, born: born, slots: make(chan struct{}, maxOrdersInFlight), wake: make(chan struct{}, 1)}
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

// wakeSession continues the polling of a worker whose ended runs were stored.
func (c *Conductor) wakeSession(worker string) {
	c.sched.SessionOf(worker, func(q scheduler.Session) {
		if s := c.sessions[sessionKey(worker, q.Born)]; s != nil {
			select {
			case s.wake <- struct{}{}:
			default:
			}
		}
	})
}

// updateSessions starts polling the workers that have to be polled (see
// scheduler.Session.Busy), those with runs first. It drops the sessions of workers that
// are gone.
func (c *Conductor) updateSessions() {
	live := map[string]bool{}
	var withoutRuns []scheduler.Session
	c.sched.Sessions(func(q scheduler.Session) {
		k := sessionKey(q.Worker, q.Born)
		live[k] = true
		if !q.Busy || q.Address == "" {
			return
		}
		s := c.session(q.Worker, q.Born)
		switch {
		case s.polling:
		case q.Idle:
			withoutRuns = append(withoutRuns, q)
		default:
			c.startPolling(s, q.Inherited)
		}
	})
	for _, q := range withoutRuns {
		c.startPolling(c.session(q.Worker, q.Born), q.Inherited)
	}
	for k, s := range c.sessions {
		if !live[k] && !s.polling {
			delete(c.sessions, k)
		}
	}
}

func (c *Conductor) startPolling(s *session, inherited bool) {
	s.polling = true
	if inherited {
		c.firstPollQueue = append(c.firstPollQueue, s)
		c.startFirstPolls()
		return
	}
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		c.pollWhileBusy(s)
	}()
}

// startFirstPolls polls workers for the first time in a term. After a takeover all
// workers are due at once; maxFirstPolls limits how many are polled at a time.
func (c *Conductor) startFirstPolls() {
	for c.firstPolls < maxFirstPolls && len(c.firstPollQueue) > 0 {
		s := c.firstPollQueue[0]
		c.firstPollQueue = c.firstPollQueue[1:]
		c.firstPolls++
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			q, busy, _ := c.nextPoll(s)
			if busy {
				c.poll(q)
			}
			c.post(func() {
				c.firstPolls--
				c.startFirstPolls()
			})
			if busy {
				c.pollWhileBusy(s)
			}
		}()
	}
}

// pollWhileBusy polls a worker until it needn't be polled any more (see
// scheduler.Session.Busy).
func (c *Conductor) pollWhileBusy(s *session) {
	for {
		q, busy, blocked := c.nextPoll(s)
		switch {
		case !busy:
			return
		case blocked:
			s.awaitStored(c.ctx)
			if q, busy, blocked = c.nextPoll(s); !busy {
				return
			}
			if blocked {
				q.Wait = 0
			}
		}
		if !c.poll(q) {
			recorder.Sleep(c.ctx, pollRetryDelay)
		} else if blocked {
			recorder.Sleep(c.ctx, ackWait)
		}
	}
}

// awaitStored waits until the worker's ended runs are stored, at most for ackWait.
func (s *session) awaitStored(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ackWait.Duration())
	defer cancel()
	select {
	case <-s.wake:
	case <-ctx.Done():
	}
}

// nextPoll returns the next poll of a worker, whether to go on polling, and whether ended
// runs of the worker are not stored yet and therefore can't be acknowledged.
func (c *Conductor) nextPoll(s *session) (request PollRequest, keepPolling, unacknowledged bool) {
	var q PollRequest
	var busy, blocked bool
	if !c.call(func() {
		n, known := c.sched.Session(s.worker, s.born)
		if !known || !n.Busy {
			s.polling = false
			return
		}
		busy, blocked = true, n.Blocked
		q = PollRequest{Worker: s.worker, Address: n.Address, Born: s.born, Acked: n.Acked, Wait: pollWait}
		margin := pollMargin
		switch {
		case n.Idle, n.Inherited, n.Silent:
			// The worker answers at once. Idle: it has no run whose end it could wait for.
			// Inherited: its runs are not known until it reports. Silent: its lease is
			// extended only by the poll after the first one that it answers again.
			q.Wait = 0
		case n.ServingWithFillers:
			q.Wait = colocatedPollWait
		}
		if n.Silent {
			margin = silentPollMargin
		}
		q.Timeout = q.Wait + margin
		q.Deadline, _ = c.leaseDeadline(s.worker, s.born)
	}) {
		return PollRequest{}, false, false
	}
	return q, busy, blocked
}

// poll polls the worker once and reports whether it answered.
func (c *Conductor) poll(q PollRequest) bool {
	sent := c.now()
	r, out := c.fleet.Poll(c.ctx, q, c.epoch)
	c.metrics.Poll(c.now() - sent)
	r.Worker, r.Sent = q.Worker, sent
	c.call(func() {
		switch out {
		case scheduler.Done:
			c.sched.AckDelivered(q.Worker, q.Born, q.Acked)
			c.sched.Report(r)
		case scheduler.Fenced:
			c.end("a worker has seen a newer leader's epoch", logger.String("worker", q.Worker))
		case scheduler.WorkerRestarted:
			c.sched.WorkerReplaced(q.Worker, q.Address, q.Born, r.Born)
		default:
			c.sched.CallFailed(q.Worker, q.Born, out == scheduler.ConnectionRefused)
		}
	})
	return out == scheduler.Done
}
