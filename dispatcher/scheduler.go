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
	// scheduler gives executors to requests that wait. All but enqueue and nudge
	// belongs to its one goroutine.
	scheduler struct {
		now      func() clock.Millis
		snapshot func() *snapshot
		policy   policy
		arrivals chan *waiter
		nudges   chan struct{}
		queues   map[string]*limiter.Queue[*waiter]
		empty    map[string]clock.Millis
		waiting  int
		bytes    int
	}
)

const (
	// At most maxWaiting requests and maxWaitingBytes bytes of them wait at one daemon.
	maxWaiting      = 4096
	maxWaitingBytes = 8 << 20
	// sweepEvery is how often the waiting requests are looked through.
	sweepEvery = 5 * time.Millisecond
	// Up to maxPassed waiters that can use no free executor are passed over.
	maxPassed = 8

	minRetryAfter = 20 * clock.Millis(1)
	maxRetryAfter = 10 * clock.Second
)

func newScheduler(now func() clock.Millis, s func() *snapshot, p policy) *scheduler {
	return &scheduler{
		now:      now,
		snapshot: s,
		policy:   p,
		arrivals: make(chan *waiter, 256),
		nudges:   make(chan struct{}, 1),
		queues:   map[string]*limiter.Queue[*waiter]{},
		empty:    map[string]clock.Millis{},
	}
}

// enqueue hands in a waiter, which gets exactly one grant unless it leaves.
func (s *scheduler) enqueue(w *waiter) { s.arrivals <- w }

// nudge says that there may be room.
func (s *scheduler) nudge() {
	select {
	case s.nudges <- struct{}{}:
	default:
	}
}

// run serves waiters until stop is closed.
func (s *scheduler) run(stop <-chan struct{}) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	ticking := true
	for {
		if ticking != (s.waiting > 0) {
			ticking = s.waiting > 0
			ticker.Reset(pickPeriod(ticking))
		}
		select {
		case w := <-s.arrivals:
			s.arrive(w)
		case <-s.nudges:
			s.serve()
		case <-ticker.C:
			s.sweep()
			s.serve()
		case <-stop:
			s.refuseAll()
			return
		}
	}
}

// pickPeriod gives how often to look through the queues; an empty one needs no look.
func pickPeriod(waiting bool) time.Duration {
	if waiting {
		return sweepEvery
	}
	return time.Hour
}

func (s *scheduler) arrive(w *waiter) {
	r := s.snapshot().routes[w.service]
	if r == nil {
		w.settle(grant{code: coder.NoBackend, retryAfter: clock.Second, reason: noExecutor})
		return
	}
	q := s.queueOf(r)
	r.waiting.Add(1)
	s.count(w, 1)
	s.push(r, q, limiter.NewWaiter(w, w.team, w.deadline))
	s.shed()
	s.serveRoute(r, q)
}

func (s *scheduler) push(r *route, q *limiter.Queue[*waiter], w limiter.Waiter[*waiter]) {
	if w.Value().entered {
		q.PushFront(w)
		return
	}
	rank, last, full := q.Push(w)
	switch {
	case full:
		s.refuse(r, last, "too many requests wait")
	case s.policy.pace(r.service).Ready(s.now(), rank+1) > s.latest(r, w.Value()):
		s.refuse(r, q.Drop(rank), "it can't end in time")
	}
}

// latest gives the latest useful end of a request: its deadline, or where the queue has been standing
// for some time, so that waiting longer gains nothing, the latency target.
func (s *scheduler) latest(r *route, w *waiter) clock.Millis {
	now := s.now()
	if r.target == 0 || now-s.empty[r.name] < s.policy.standingAfter {
		return w.deadline
	}
	return min(w.deadline, now+max(r.target, 2*r.latency.Mean()))
}

func (s *scheduler) queueOf(r *route) *limiter.Queue[*waiter] {
	q := s.queues[r.name]
	if q == nil {
		q = limiter.NewQueue[*waiter](r.queue)
		s.queues[r.name] = q
	}
	q.SetLimit(r.queue)
	if q.Len() == 0 {
		s.empty[r.name] = s.now()
	}
	return q
}

// count keeps the number and bytes of what waits.
func (s *scheduler) count(w *waiter, n int) {
	s.waiting += n
	s.bytes += n * w.bytes
}

// shed refuses requests of the services with the lowest priority while too
// much waits at the daemon.
func (s *scheduler) shed() {
	for s.waiting > maxWaiting || s.bytes > maxWaitingBytes {
		r, q := s.lowest()
		if q == nil {
			return
		}
		s.refuse(r, q.Drop(q.Len()-1), "the daemon is overloaded")
	}
}

func (s *scheduler) lowest() (*route, *limiter.Queue[*waiter]) {
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

// sweep refuses, in each queue, the requests that can't end in time.
func (s *scheduler) sweep() {
	routes := s.snapshot().routes
	for name, q := range s.queues {
		r := routes[name]
		if r == nil {
			s.drop(q, grant{code: coder.NoBackend, retryAfter: clock.Second, reason: noExecutor})
			delete(s.queues, name)
			delete(s.empty, name)
			continue
		}
		r.measure()
		s.sweepRoute(r, q)
	}
}

func (s *scheduler) sweepRoute(r *route, q *limiter.Queue[*waiter]) {
	for _, late := range q.Sweep(s.now(), s.policy.pace(r.service), (*waiter).gone) {
		s.refuse(r, late, "it can't end in time")
	}
}

// drop gives everything in a queue a refusal.
func (s *scheduler) drop(q *limiter.Queue[*waiter], g grant) {
	for q.Len() > 0 {
		w := q.Drop(0).Value()
		s.count(w, -1)
		w.settle(g)
	}
}

// refuse ends the wait of a request that was taken from the queue: it was not run, and is told so
// at once with the time at which to come back.
func (s *scheduler) refuse(r *route, late limiter.Waiter[*waiter], reason string) {
	w := late.Value()
	r.waiting.Add(-1)
	s.count(w, -1)
	p := s.policy.pace(r.service)
	c := coder.Overloaded
	if p.Ready(s.now(), 0) > w.deadline {
		c = coder.DeadlineTooShort
	}
	w.settle(grant{code: c, retryAfter: retryAfter(p.Drain(s.queues[r.name].Len()), w.seed), reason: reason})
}

// retryAfter gives when a refused caller should come back, spread so that not
// all come back at once.
func retryAfter(d clock.Millis, r uint64) clock.Millis {
	return retrier.Jitter(min(max(d, minRetryAfter), maxRetryAfter), r)
}

func (s *scheduler) serve() {
	routes := s.snapshot().routes
	for name, q := range s.queues {
		if r := routes[name]; r != nil && q.Len() > 0 {
			s.serveRoute(r, q)
		}
	}
}

// serveRoute gives free executors to waiters in the order of the queue. One
// that tried all that are free is passed over.
func (s *scheduler) serveRoute(r *route, q *limiter.Queue[*waiter]) {
	for rank := 0; rank < min(q.Len(), maxPassed); {
		w := q.At(rank).Value()
		if w.gone() {
			s.take(r, q, rank)
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
		if !w.entered && !r.gate.Enter(s.now()) {
			t.Release()
			return
		}
		s.take(r, q, rank)
		if !w.settle(grant{target: t}) {
			s.giveBack(r, w, t)
		}
	}
}

func (s *scheduler) take(r *route, q *limiter.Queue[*waiter], rank int) {
	s.count(q.Take(rank).Value(), -1)
	r.waiting.Add(-1)
}

// giveBack undoes the grant of a waiter that has gone meanwhile.
func (s *scheduler) giveBack(r *route, w *waiter, t *router.Target) {
	t.Release()
	if !w.entered {
		r.gate.Leave()
	}
}

func (s *scheduler) refuseAll() {
	g := grant{code: coder.ShuttingDown, retryAfter: clock.Second, reason: shuttingDown}
	for _, q := range s.queues {
		s.drop(q, g)
	}
	for {
		select {
		case w := <-s.arrivals:
			w.settle(g)
		default:
			return
		}
	}
}
