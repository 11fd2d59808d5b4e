package dispatcher

import (
	"context"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/retrier"
	"galenawharf.example/galenawharf/router"
	"galenawharf.example/galenawharf/schema"
)

type (
	// run takes one call through its attempts. All of it belongs to one goroutine.
	run struct {
		d        *Dispatcher
		c        *call
		route    *route
		id       string
		team     string
		request  provider.Request
		deadline clock.Millis
		seed     uint64

		attempts [retrier.MaxAttempts]attempt
		tried    [retrier.MaxAttempts]*router.Target
		n        int
		pending  int
		failures int
		lastErr  error
		entered  bool
		waiter   *waiter
		retryAt  clock.Millis
		hedgeAt  clock.Millis
		silentAt clock.Millis
		results  chan result
		timer    *time.Timer
	}
)

// silentWeight is how many failed attempts a silent one stands for.
const silentWeight = 2

// serve gives the final answer.
func (r *run) serve() *schema.Answer {
	defer r.end()
	r.retryAt, r.hedgeAt, r.silentAt = clock.Never, clock.Never, clock.Never
	if a := r.next(); a != nil {
		return a
	}
	for {
		if a := r.step(); a != nil {
			return a
		}
	}
}

// step waits for the next event and gives the final answer if there is one.
func (r *run) step() *schema.Answer {
	select {
	case o := <-r.results:
		return r.take(o)
	case g := <-r.grants():
		return r.granted(g)
	case <-r.alarm():
		return r.wake()
	case <-r.c.ctx.Done():
		return r.giveUp()
	}
}

func (r *run) grants() <-chan grant {
	if r.waiter == nil {
		return nil
	}
	return r.waiter.grants
}

// alarm gives a channel that fires at the next point in time to act on.
func (r *run) alarm() <-chan time.Time {
	at := min(r.retryAt, r.hedgeAt, r.silentAt)
	if at == clock.Never {
		return nil
	}
	d := max(at-r.d.now(), 0).Duration()
	if r.timer == nil {
		r.timer = time.NewTimer(d)
	} else {
		r.timer.Reset(d)
	}
	return r.timer.C
}

func (r *run) wake() *schema.Answer {
	now := r.d.now()
	if now >= r.hedgeAt {
		r.hedgeAt = clock.Never
		r.hedge()
	}
	if now >= r.retryAt {
		r.retryAt = clock.Never
		if a := r.next(); a != nil {
			return a
		}
	}
	if now >= r.silentAt {
		return r.silent(now)
	}
	return nil
}

// next begins an attempt, now or when the scheduler grants one.
func (r *run) next() *schema.Answer {
	route := r.d.snapshot.Load().routes[r.route.name]
	if route == nil {
		return r.refuse(coder.NoBackend, clock.Second, noExecutor)
	}
	r.route = route
	if route.waiting.Load() == 0 && r.direct() {
		return nil
	}
	r.waiter = &waiter{
		service:  route.name,
		team:     r.team,
		deadline: r.deadline,
		bytes:    len(r.request.Payload),
		seed:     r.random(),
		tried:    r.excluded(),
		entered:  r.entered,
		grants:   make(chan grant, 1),
	}
	r.d.scheduler.enqueue(r.waiter)
	return nil
}

// direct begins an attempt if an executor is free and the limits allow it.
func (r *run) direct() bool {
	t := r.pick()
	if t == nil {
		return false
	}
	if !r.entered && !r.route.gate.Enter(r.d.now()) {
		t.Release()
		return false
	}
	r.entered = true
	r.launch(t)
	return true
}

func (r *run) pick() *router.Target {
	return r.d.policy.pick(r.route.pool, r.random(), r.route.latency.Mean(), r.excluded())
}

// excluded gives the executors that were tried; where there is no other, only
// those with an attempt in flight.
func (r *run) excluded() []*router.Target {
	if r.n < len(r.route.pool.Targets()) {
		return r.tried[:r.n]
	}
	var busy []*router.Target
	for i := range r.n {
		if r.attempts[i].state == attemptPending {
			busy = append(busy, r.tried[i])
		}
	}
	return busy
}

// random gives a number that depends on the seed, the request and the attempts so far.
func (r *run) random() uint64 { return router.Mix(r.seed + uint64(r.n)) }

func (r *run) granted(g grant) *schema.Answer {
	r.waiter = nil
	if g.target == nil {
		if r.maybeRan() {
			return r.unknown(g.reason)
		}
		return r.refuse(g.code, g.retryAfter, g.reason)
	}
	r.entered = true
	r.launch(g.target)
	return nil
}

// launch sends the request to an executor.
func (r *run) launch(t *router.Target) {
	now := r.d.now()
	ctx, cancel := context.WithCancelCause(r.c.ctx)
	i := r.n
	r.attempts[i] = attempt{target: t, start: now, cancel: cancel}
	r.tried[i] = t
	r.n++
	r.pending++
	r.schedule(now)
	q := r.request
	q.Budget = int64(r.deadline - now)
	r.route.attempts.Add(1)
	r.d.tasks.Go(func() {
		o, err := r.d.executors.Run(ctx, t.Host().Address, q)
		r.results <- result{index: i, response: o, err: err}
	})
}

// schedule sets when to hedge and when to take the newest attempt for silent.
func (r *run) schedule(now clock.Millis) {
	r.hedgeAt = clock.Never
	if r.pending == 1 {
		r.hedgeAt = now.Add(r.d.policy.hedgeAfter(&r.route.latency))
	}
	r.silentAt = now.Add(r.patience())
}

// patience gives how long the newest attempt may go without an answer.
func (r *run) patience() clock.Millis {
	return r.d.policy.silentAfter(&r.route.latency, r.n)
}

// hedge begins a second attempt beside a slow one, where nothing waits, an
// executor is free and the budget allows it.
func (r *run) hedge() {
	if r.pending != 1 || r.n == retrier.MaxAttempts || r.route.waiting.Load() > 0 {
		return
	}
	t := r.pick()
	if t == nil {
		return
	}
	if !r.route.budget.TakeSpare() {
		t.Release()
		return
	}
	r.d.counts.hedges.Add(1)
	r.launch(t)
}
