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
	// run executes one call with up to retrier.MaxAttempts attempts. All fields belong to
	// one goroutine; attempts report to it through results.
	run struct {
		dispatcher *Dispatcher
		call       *call
		route      *route
		id         string
		team       string
		request    provider.Request
		deadline   clock.Millis
		seed       uint64

		// The first launched elements of attempts and tried are in use. tried holds the
		// executor of each attempt.
		attempts [retrier.MaxAttempts]attempt
		tried    [retrier.MaxAttempts]*router.Target
		launched int
		// pending is the number of attempts in flight.
		pending  int
		failures int
		lastErr  error
		// admitted is set if the request counts towards the limits of the service.
		admitted bool
		// waiter is set while the run is queued at the scheduler.
		waiter *waiter
		// The times of the next retry, of a hedge and of the silence check; clock.Never if
		// none is due.
		retryAt  clock.Millis
		hedgeAt  clock.Millis
		silentAt clock.Millis
		results  chan result
		timer    *time.Timer
	}
)

// silentFailureWeight is the number of failures as which a silent attempt counts.
const silentFailureWeight = 2

// serve runs the call and returns the final answer.
func (r *run) serve() *schema.Answer {
	defer r.cleanUp()
	r.retryAt, r.hedgeAt, r.silentAt = clock.Never, clock.Never, clock.Never
	if a := r.nextAttempt(); a != nil {
		return a
	}
	for {
		if a := r.step(); a != nil {
			return a
		}
	}
}

// step waits for the next event and returns the final answer, or nil if the run goes on.
func (r *run) step() *schema.Answer {
	select {
	case o := <-r.results:
		return r.handleResult(o)
	case g := <-r.grants():
		return r.handleGrant(g)
	case <-r.nextTimer():
		return r.onTimer()
	case <-r.call.ctx.Done():
		return r.giveUp()
	}
}

func (r *run) grants() <-chan grant {
	if r.waiter == nil {
		return nil
	}
	return r.waiter.grants
}

// nextTimer returns a channel that fires at the earliest of the retry, hedge and silence
// times, or nil if none is set.
func (r *run) nextTimer() <-chan time.Time {
	at := min(r.retryAt, r.hedgeAt, r.silentAt)
	if at == clock.Never {
		return nil
	}
	d := max(at-r.dispatcher.now(), 0).Duration()
	if r.timer == nil {
		r.timer = time.NewTimer(d)
	} else {
		r.timer.Reset(d)
	}
	return r.timer.C
}

func (r *run) onTimer() *schema.Answer {
	now := r.dispatcher.now()
	if now >= r.hedgeAt {
		r.hedgeAt = clock.Never
		r.hedge()
	}
	if now >= r.retryAt {
		r.retryAt = clock.Never
		if a := r.nextAttempt(); a != nil {
			return a
		}
	}
	if now >= r.silentAt {
		return r.checkSilence(now)
	}
	return nil
}

// nextAttempt starts an attempt if no request of the service is queued and an executor is
// free. Otherwise it queues the run at the scheduler. It returns the final answer if the
// service has no executor, else nil.
func (r *run) nextAttempt() *schema.Answer {
	route := r.dispatcher.snapshot.Load().routes[r.route.name]
	if route == nil {
		return r.failWith(coder.NoBackend, clock.Second, noExecutor)
	}
	r.route = route
	if route.waiting.Load() == 0 && r.launchDirect() {
		return nil
	}
	r.waiter = &waiter{
		service:  route.name,
		team:     r.team,
		deadline: r.deadline,
		bytes:    len(r.request.Payload),
		seed:     r.random(),
		tried:    r.excluded(),
		admitted: r.admitted,
		grants:   make(chan grant, 1),
	}
	r.dispatcher.scheduler.enqueue(r.waiter)
	return nil
}

// launchDirect starts an attempt without queueing. It returns false if no executor is
// free or the declared limits don't allow it.
func (r *run) launchDirect() bool {
	t := r.pick()
	if t == nil {
		return false
	}
	if !r.admitted && !r.route.gate.Enter(r.dispatcher.now()) {
		t.Release()
		return false
	}
	r.admitted = true
	r.launch(t)
	return true
}

func (r *run) pick() *router.Target {
	return r.dispatcher.policy.pick(r.route.pool, r.random(), r.route.latency.Mean(), r.excluded())
}

// excluded returns the executors that a new attempt must avoid: all executors tried so far
// or, once there were as many attempts as executors, the executors with an attempt in
// flight.
func (r *run) excluded() []*router.Target {
	if r.launched < len(r.route.pool.Targets()) {
		return r.tried[:r.launched]
	}
	var inFlight []*router.Target
	for i := range r.launched {
		if r.attempts[i].state == attemptPending {
			inFlight = append(inFlight, r.tried[i])
		}
	}
	return inFlight
}

// random returns a pseudo-random number that depends on the seed, the request and the
// number of attempts.
func (r *run) random() uint64 { return router.Mix(r.seed + uint64(r.launched)) }

func (r *run) handleGrant(g grant) *schema.Answer {
	r.waiter = nil
	if g.target == nil {
		if r.maybeRan() {
			return r.unknownAnswer(g.reason)
		}
		return r.failWith(g.code, g.retryAfter, g.reason)
	}
	r.admitted = true
	r.launch(g.target)
	return nil
}

// launch sends the request to an executor whose slot is reserved.
func (r *run) launch(t *router.Target) {
	now := r.dispatcher.now()
	ctx, cancel := context.WithCancelCause(r.call.ctx)
	i := r.launched
	r.attempts[i] = attempt{target: t, start: now, cancel: cancel}
	r.tried[i] = t
	r.launched++
	r.pending++
	r.setTimers(now)
	q := r.request
	q.Budget = int64(r.deadline - now)
	r.route.attempts.Add(1)
	r.dispatcher.goroutines.Go(func() {
		o, err := r.dispatcher.executors.Run(ctx, t.Host().Address, q)
		r.results <- result{index: i, response: o, err: err}
	})
}

// setTimers sets when to hedge and when the newest attempt counts as silent.
func (r *run) setTimers(now clock.Millis) {
	r.hedgeAt = clock.Never
	if r.pending == 1 {
		r.hedgeAt = now.Add(r.dispatcher.policy.hedgeAfter(&r.route.latency))
	}
	r.silentAt = now.Add(r.silenceTimeout())
}

// silenceTimeout returns how long the newest attempt may take before it counts as silent.
func (r *run) silenceTimeout() clock.Millis {
	return r.dispatcher.policy.silentAfter(&r.route.latency, r.launched)
}

// hedge starts a second attempt while the first is slow, if no request of the service is
// queued, an executor is free, and more than half of the retry budget is left.
func (r *run) hedge() {
	if r.pending != 1 || r.launched == retrier.MaxAttempts || r.route.waiting.Load() > 0 {
		return
	}
	t := r.pick()
	if t == nil {
		return
	}
	if !r.route.budget.TakeOptional() {
		t.Release()
		return
	}
	r.dispatcher.counts.hedges.Add(1)
	r.launch(t)
}
