package dispatcher

import (
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/limiter"
	"galenawharf.example/galenawharf/retrier"
	"galenawharf.example/galenawharf/router"
)

type (
	// scheduler assigns executors to queued requests. It runs in one goroutine; only
	// enqueue and trigger may be called from others.
	scheduler struct {
		now      func() clock.Millis
		snapshot func() *snapshot
		policy   policy
		arrivals chan *waiter
		triggers chan struct{}
		// queues holds the queue of each service.
		queues map[string]*limiter.Queue[*waiter]
		// emptySince is, by service, when a request last arrived at an empty queue.
		emptySince map[string]clock.Millis
		// waiting and bytes are the number of queued requests and the size of their
		// payloads.
		waiting int
		bytes   int
	}
)

const (
	// Limits of all queues of a daemon together: the number of requests, and the bytes of
	// their payloads.
	maxWaiting      = 4096
	maxWaitingBytes = 8 << 20
	// sweepPeriod is the interval at which queued requests are checked against their
	// deadlines.
	sweepPeriod = 5 * time.Millisecond
	// maxSkipped is the most requests of a queue that are skipped because they have already
	// tried every free executor.
	maxSkipped = 8

	minRetryAfter = 20 * clock.Millis(1)
	maxRetryAfter = 10 * clock.Second
)

func newScheduler(now func() clock.Millis, s func() *snapshot, p policy) *scheduler {
	return &scheduler{
		now:        now,
		snapshot:   s,
		policy:     p,
		arrivals:   make(chan *waiter, 256),
		triggers:   make(chan struct{}, 1),
		queues:     map[string]*limiter.Queue[*waiter]{},
		emptySince: map[string]clock.Millis{},
	}
}

// enqueue queues a waiter. The waiter gets exactly one grant unless it leaves.
func (s *scheduler) enqueue(w *waiter) { s.arrivals <- w }

// trigger requests a pass over the queues, because an executor may be free.
func (s *scheduler) trigger() {
	select {
	case s.triggers <- struct{}{}:
	default:
	}
}

// run serves the queues until stop is closed.
func (s *scheduler) run(stop <-chan struct{}) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	ticking := true
	for {
		if ticking != (s.waiting > 0) {
			ticking = s.waiting > 0
			ticker.Reset(tickPeriod(ticking))
		}
		select {
		case w := <-s.arrivals:
			s.handleArrival(w)
		case <-s.triggers:
			s.serveAll()
		case <-ticker.C:
			s.sweep()
			s.serveAll()
		case <-stop:
			s.refuseAll()
			return
		}
	}
}

// tickPeriod returns the interval between sweeps. Empty queues need no sweep, so their
// interval is an hour.
func tickPeriod(waiting bool) time.Duration {
	if waiting {
		return sweepPeriod
	}
	return time.Hour
}

func (s *scheduler) handleArrival(w *waiter) {
	r := s.snapshot().routes[w.service]
	if r == nil {
		w.deliver(grant{code: coder.NoBackend, retryAfter: clock.Second, reason: noExecutor})
		return
	}
	q := s.queueOf(r)
	r.waiting.Add(1)
	s.addWaiting(w, 1)
	s.push(r, q, limiter.NewWaiter(w, w.team, w.deadline))
	s.shed()
	s.serveRoute(r, q)
}

func (s *scheduler) push(r *route, q *limiter.Queue[*waiter], w limiter.Waiter[*waiter]) {
	if w.Value().admitted {
		q.PushFront(w)
		return
	}
	rank, last, full := q.Push(w)
	switch {
	case full:
		s.refuse(r, last, "the queue of the service is full")
	case s.policy.pace(r.service).Ready(s.now(), rank+1) > s.latestUsefulEnd(r, w.Value()):
		s.refuse(r, q.Drop(rank), "the request can't be answered in time")
	}
}

// latestUsefulEnd returns the time by which a new request must be expected to be answered,
// or else is refused. This is its deadline. If the queue has not been empty for
// standingQueueAfter, it is at most the latency target (at least twice the mean latency)
// from now, because a standing queue adds latency without raising throughput.
func (s *scheduler) latestUsefulEnd(r *route, w *waiter) clock.Millis {
	now := s.now()
	if r.latencyTarget == 0 || now-s.emptySince[r.name] < s.policy.standingQueueAfter {
		return w.deadline
	}
	return min(w.deadline, now+max(r.latencyTarget, 2*r.latency.Mean()))
}

func (s *scheduler) queueOf(r *route) *limiter.Queue[*waiter] {
	q := s.queues[r.name]
	if q == nil {
		q = limiter.NewQueue[*waiter](r.queueLimit)
		s.queues[r.name] = q
	}
	q.SetLimit(r.queueLimit)
	if q.Len() == 0 {
		s.emptySince[r.name] = s.now()
	}
	return q
}

// addWaiting adds n requests of the size of w to the totals; n may be negative.
func (s *scheduler) addWaiting(w *waiter, n int) {
	s.waiting += n
	s.bytes += n * w.bytes
}

// shed refuses the last queued requests of the service with the lowest priority while the
// limits of the daemon are exceeded.
func (s *scheduler) shed() {
	for s.waiting > maxWaiting || s.bytes > maxWaitingBytes {
		r, q := s.lowestPriority()
		if q == nil {
			return
		}
		s.refuse(r, q.Drop(q.Len()-1), "the daemon is overloaded")
	}
}

func (s *scheduler) lowestPriority() (*route, *limiter.Queue[*waiter]) {
	var lowest *route
	routes := s.snapshot().routes
	for name, q := range s.queues {
		r := routes[name]
		if r == nil || q.Len() == 0 {
			continue
		}
		if lowest == nil || r.priority < lowest.priority || r.priority == lowest.priority && name < lowest.name {
			lowest = r
		}
	}
	if lowest == nil {
		return nil, nil
	}
	return lowest, s.queues[lowest.name]
}

// sweep refuses the queued requests that can no longer be answered by their deadline, and
// all requests of services without executors.
func (s *scheduler) sweep() {
	routes := s.snapshot().routes
	for name, q := range s.queues {
		r := routes[name]
		if r == nil {
			s.refuseQueue(q, grant{code: coder.NoBackend, retryAfter: clock.Second, reason: noExecutor})
			delete(s.queues, name)
			delete(s.emptySince, name)
			continue
		}
		r.updateSlots()
		s.sweepRoute(r, q)
	}
}

func (s *scheduler) sweepRoute(r *route, q *limiter.Queue[*waiter]) {
	for _, late := range q.Sweep(s.now(), s.policy.pace(r.service), (*waiter).done) {
		s.refuse(r, late, "the request can't be answered in time")
	}
}

// refuseQueue empties a queue and delivers g to each of its requests.
func (s *scheduler) refuseQueue(q *limiter.Queue[*waiter], g grant) {
	for q.Len() > 0 {
		w := q.Drop(0).Value()
		s.addWaiting(w, -1)
		w.deliver(g)
	}
}

// refuse answers a request that was removed from the queue. The code is DeadlineTooShort
// if the request could not have been answered in time with an empty queue either, and
// Overloaded otherwise.
func (s *scheduler) refuse(r *route, removed limiter.Waiter[*waiter], reason string) {
	w := removed.Value()
	r.waiting.Add(-1)
	s.addWaiting(w, -1)
	p := s.policy.pace(r.service)
	c := coder.Overloaded
	if p.Ready(s.now(), 0) > w.deadline {
		c = coder.DeadlineTooShort
	}
	w.deliver(grant{code: c, retryAfter: retryAfter(p.Drain(s.queues[r.name].Len()), w.seed), reason: reason})
}

// retryAfter bounds d and adds jitter derived from r, so that refused callers don't all
// retry at once.
func retryAfter(d clock.Millis, r uint64) clock.Millis {
	return retrier.Jitter(min(max(d, minRetryAfter), maxRetryAfter), r)
}

func (s *scheduler) serveAll() {
	routes := s.snapshot().routes
	for name, q := range s.queues {
		if r := routes[name]; r != nil && q.Len() > 0 {
			s.serveRoute(r, q)
		}
	}
}

// serveRoute assigns free executors to requests in queue order. It skips a request that
// has tried every free executor.
func (s *scheduler) serveRoute(r *route, q *limiter.Queue[*waiter]) {
	for rank := 0; rank < min(q.Len(), maxSkipped); {
		w := q.At(rank).Value()
		if w.done() {
			s.dequeue(r, q, rank)
			continue
		}
		t := s.policy.pick(r.pool, w.seed, r.latency.Mean(), w.tried)
		if t == nil && len(w.tried) == 0 {
			return
		}
		if t == nil {
			rank++
			continue
		}
		if !w.admitted && !r.gate.Enter(s.now()) {
			t.Release()
			return
		}
		s.dequeue(r, q, rank)
		if !w.deliver(grant{target: t}) {
			s.undoGrant(r, w, t)
		}
	}
}

func (s *scheduler) dequeue(r *route, q *limiter.Queue[*waiter], rank int) {
	s.addWaiting(q.Take(rank).Value(), -1)
	r.waiting.Add(-1)
}

// undoGrant releases the executor of a waiter that left before the grant was delivered.
func (s *scheduler) undoGrant(r *route, w *waiter, t *router.Target) {
	t.Release()
	if !w.admitted {
		r.gate.Leave()
	}
}

func (s *scheduler) refuseAll() {
	g := grant{code: coder.ShuttingDown, retryAfter: clock.Second, reason: shuttingDown}
	for _, q := range s.queues {
		s.refuseQueue(q, g)
	}
	for {
		select {
		case w := <-s.arrivals:
			w.deliver(g)
		default:
			return
		}
	}
}
