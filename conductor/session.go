package conductor

import (
	"context"
	"sync"
	"time"

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

	// sessionKey identifies one process of a worker by its start time.
	sessionKey struct {
		worker string
		born   int64
	}

	// nextPoll is the poll of a worker that follows the previous one.
	nextPoll struct {
		request PollRequest
		// due is whether the worker has to be polled.
		due bool
		// blocked is whether ended runs of the worker are not stored yet and therefore can't
		// be acknowledged.
		blocked bool
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
	// trialPollWait replaces pollWait while a task on trial has a worker for itself: the report that
	// lists it some time after its start ends the trial.
	trialPollWait = 150 * clock.Millis(1)
	// unextendedPollWait bounds pollWait for a poll that does not extend the lease, so that the
	// next one can soon after the store is back.
	unextendedPollWait = 500 * clock.Millis(1)
	// maxFirstPolls limits the first polls in flight after a takeover: opening the
	// connections to all workers at once would keep a small host busy for seconds.
	maxFirstPolls = 16
	// A first poll counts as in flight for firstPollFactor times as long as workers take to
	// answer theirs, within minFirstPollTime and maxFirstPollTime. One that does not answer is no
	// work for this host, and the leases of the workers that wait behind it run out: with 1,000
	// of 3,000 workers silent, 150 ms for each would add up to 9 s, and a lease lasts 6 s.
	firstPollFactor  = 4
	minFirstPollTime = 20 * clock.Millis(1)
	maxFirstPollTime = 150 * clock.Millis(1)
	// firstPollWeight is the weight of the newest answer in the moving average of their times.
	firstPollWeight = 0.1
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
	k := sessionKey{worker, born}
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
	default:
	}
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
		if s := c.sessions[sessionKey{worker, q.Born}]; s != nil {
			select {
			case s.wake <- struct{}{}:
			default:
			}
		}
	})
}

// updateSessions starts polling the workers that have to be polled (see
// scheduler.Session.Busy), those with runs first. It drops the sessions of workers that
// are gone. Workers that only a batch concerns are updated by updateSession.
func (c *Conductor) updateSessions() {
	var withoutRuns []scheduler.Session
	c.sched.Sessions(func(q scheduler.Session) {
		if q.Idle && q.Busy {
			withoutRuns = append(withoutRuns, q)
			return
		}
		c.updateSession(q)
	})
	for _, q := range withoutRuns {
		c.updateSession(q)
	}
	for k, s := range c.sessions {
		if s.polling {
			continue
		}
		if _, known := c.sched.Session(k.worker, k.born); !known {
			delete(c.sessions, k)
		}
	}
}

// updateSession starts polling a worker if it has to be polled and is not.
func (c *Conductor) updateSession(q scheduler.Session) {
	if !q.Busy || q.Address == "" {
		return
	}
	if s := c.session(q.Worker, q.Born); !s.polling {
		c.startPolling(s, q.Inherited)
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
		c.pollWhileDue(s, c.nextPoll(s))
	}()
}

// startFirstPolls polls workers for the first time in a term. After a takeover all
// workers are due at once; maxFirstPolls limits how many are polled at a time. Silent workers
// hold up the others for firstPollTime each.
func (c *Conductor) startFirstPolls() {
	for c.firstPolls < maxFirstPolls && len(c.firstPollQueue) > 0 {
		s := c.firstPollQueue[0]
		c.firstPollQueue = c.firstPollQueue[1:]
		c.firstPolls++
		ended := c.firstPollInFlight()
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			n := c.nextPoll(s)
			if n.due {
				sent, answered := c.now(), false
				if n, answered = c.poll(s, n.request); answered {
					c.noteFirstPoll(c.now() - sent)
				}
			}
			ended()
			c.pollWhileDue(s, n)
		}()
	}
}

// noteFirstPoll records how long a worker took to answer its first poll.
func (c *Conductor) noteFirstPoll(took clock.Millis) {
	c.post(func() {
		if c.firstPollAnswer == 0 {
			c.firstPollAnswer = float64(took)
		}
		c.firstPollAnswer += firstPollWeight * (float64(took) - c.firstPollAnswer)
	})
}

// firstPollTime returns how long a first poll counts as in flight. It runs on the scheduler's
// goroutine.
func (c *Conductor) firstPollTime() clock.Millis {
	if c.firstPollAnswer == 0 {
		return maxFirstPollTime
	}
	return min(max(clock.Millis(firstPollFactor*c.firstPollAnswer), minFirstPollTime), maxFirstPollTime)
}

// firstPollInFlight returns a function that must be called when a first poll has ended. If that takes
// longer than firstPollTime and this process is not delayed itself, the next one starts before. It
// runs on the scheduler's goroutine.
func (c *Conductor) firstPollInFlight() (ended func()) {
	// next is called on the scheduler's goroutine.
	next := sync.OnceFunc(func() {
		c.firstPolls--
		c.startFirstPolls()
	})
	var expire func()
	expire = func() {
		c.post(func() {
			if c.timekeeper.Recent() > delayLimit/2 {
				time.AfterFunc(c.firstPollTime().Duration(), expire)
				return
			}
			next()
		})
	}
	timer := time.AfterFunc(c.firstPollTime().Duration(), expire)
	return func() {
		timer.Stop()
		c.post(next)
	}
}

// pollWhileDue polls a worker until it needn't be polled any more (see
// scheduler.Session.Busy).
func (c *Conductor) pollWhileDue(s *session, n nextPoll) {
	for n.due {
		blocked := n.blocked
		if blocked {
			s.awaitStored(c.ctx)
			if n = c.nextPoll(s); !n.due {
				return
			}
			if blocked = n.blocked; blocked {
				n.request.Wait = 0
			}
		}
		var answered bool
		switch n, answered = c.poll(s, n.request); {
		case !answered:
			recorder.Sleep(c.ctx, pollRetryDelay)
			n = c.nextPoll(s)
		case blocked:
			recorder.Sleep(c.ctx, ackWait)
			n = c.nextPoll(s)
		}
	}
}

// awaitStored waits until the worker's ended runs are stored, at most for ackWait.
func (s *session) awaitStored(ctx context.Context) {
	t := time.NewTimer(ackWait.Duration())
	defer t.Stop()
	select {
	case <-s.wake:
	case <-t.C:
	case <-ctx.Done():
	}
}

// nextPoll returns the next poll of a worker. It is not due if the term is over.
func (c *Conductor) nextPoll(s *session) nextPoll {
	var n nextPoll
	if !c.call(func() { n = c.planPoll(s) }) {
		return nextPoll{}
	}
	return n
}

// planPoll returns the next poll of a worker, and ends its polling if none is due. It runs on the
// scheduler's goroutine.
func (c *Conductor) planPoll(s *session) nextPoll {
	n, known := c.sched.Session(s.worker, s.born)
	if !known || !n.Busy {
		s.polling = false
		return nextPoll{}
	}
	q := PollRequest{Worker: s.worker, Address: n.Address, Born: s.born, Acked: n.Acked, Wait: pollWait}
	margin := pollMargin
	switch {
	case n.Idle, n.Inherited, n.Silent, n.Unresolved:
		// The worker answers at once. Idle: it has no run whose end it could wait for.
		// Inherited: its runs are not known until it reports. Silent: its lease is
		// extended only by the poll after the first one that it answers again. Unresolved: a
		// task waits for the report.
		q.Wait = 0
	case n.OnTrial:
		q.Wait = trialPollWait
	case n.ServingWithFillers:
		q.Wait = colocatedPollWait
	}
	if n.Silent {
		margin = silentPollMargin
	}
	var extends bool
	if q.Deadline, extends = c.leaseDeadline(s.worker, s.born); !extends {
		q.Wait = min(q.Wait, unextendedPollWait)
	}
	q.Timeout = q.Wait + margin + c.pollExtension()
	return nextPoll{request: q, due: true, blocked: n.Blocked}
}

// poll polls the worker once. It returns the next poll, and whether the worker answered.
func (c *Conductor) poll(s *session, q PollRequest) (nextPoll, bool) {
	sent, lost := c.now(), c.timekeeper.Lost()
	r, out := c.fleet.Poll(c.ctx, q, c.epoch)
	c.metrics.Poll(c.now() - sent)
	r.Worker, r.Sent = q.Worker, sent
	var n nextPoll
	if !c.call(func() {
		c.applyPoll(q, r, out, c.timekeeper.Lost()-lost > (q.Timeout-q.Wait)/2)
		n = c.planPoll(s)
	}) {
		return nextPoll{}, false
	}
	return n, out == scheduler.Done
}

// applyPoll passes the outcome of a poll to the scheduler, or ends the term if the worker rejected
// its epoch. A missing answer says nothing of the worker if this process was delayed meanwhile.
func (c *Conductor) applyPoll(q PollRequest, r scheduler.Report, out scheduler.Outcome, delayed bool) {
	switch out {
	case scheduler.Done:
		c.sched.AckDelivered(q.Worker, q.Born, q.Acked)
		c.sched.Report(r)
	case scheduler.Fenced:
		c.end("a worker has seen a newer leader's epoch", logger.String("worker", q.Worker))
	case scheduler.WorkerRestarted:
		c.sched.WorkerReplaced(q.Worker, q.Address, q.Born, r.Born)
	default:
		if delayed && out != scheduler.ConnectionRefused {
			c.sched.CallUnheard(q.Worker, q.Born)
			return
		}
		c.sched.CallFailed(q.Worker, q.Born, out == scheduler.ConnectionRefused)
	}
}
