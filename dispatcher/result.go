package dispatcher

import (
	"context"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/retrier"
	"galenawharf.example/galenawharf/router"
	"galenawharf.example/galenawharf/schema"
)

// handleResult processes the outcome of an attempt or the reply to a cancellation. It
// returns the final answer, or nil if the run goes on.
func (r *run) handleResult(o result) *schema.Answer {
	a := &r.attempts[o.index]
	if o.cancelState != "" {
		a.recordCancel(o.cancelState)
		return nil
	}
	if a.state != attemptPending {
		return nil
	}
	now := r.dispatcher.now()
	if o.err == nil {
		o.err = verify(r.request.ID, o.response)
	}
	if o.err == nil {
		r.succeed(a, o.response, now)
		return success(r.id, o.response)
	}
	r.fail(a, o.err)
	return r.scheduleRetry(now)
}

// recordCancel marks an attempt as not run if the executor confirms that it was cancelled
// before it started.
func (a *attempt) recordCancel(state provider.CancelState) {
	if a.state == attemptUnknown && state == provider.CancelNotRun {
		a.state = attemptNotRun
	}
}

// maybeRan reports whether any attempt may have run.
func (r *run) maybeRan() bool {
	for i := range r.launched {
		if r.attempts[i].state != attemptNotRun {
			return true
		}
	}
	return false
}

// finishAttempt sets the state of an attempt that ended and releases its slot.
func (r *run) finishAttempt(a *attempt, s attemptState) {
	a.state = s
	a.cancel(nil)
	a.target.Release()
	r.pending--
	r.route.attempts.Add(-1)
	if r.route.waiting.Load() > 0 {
		r.dispatcher.scheduler.trigger()
	}
}

func (r *run) succeed(a *attempt, o provider.Response, now clock.Millis) {
	r.finishAttempt(a, attemptUnknown)
	d := now - a.start
	a.target.Answered(d, o.Waiting)
	if o.Leaving {
		a.target.SetLeaving(now)
	}
	r.route.recordAnswer(now, d)
}

func (r *run) fail(a *attempt, err error) {
	s := attemptUnknown
	if notRun(err) {
		s = attemptNotRun
	}
	r.finishAttempt(a, s)
	r.lastErr = err
	r.failures++
	if a.target.Failed(1) == router.SuspectFailures {
		r.dispatcher.controller.trigger()
	}
}

// scheduleRetry schedules another attempt after a failure. It returns the final answer if
// attempts, time or the retry budget are used up, and nil if the run goes on.
func (r *run) scheduleRetry(now clock.Millis) *schema.Answer {
	if r.pending > 0 || r.waiter != nil || r.retryAt != clock.Never {
		return nil
	}
	r.hedgeAt, r.silentAt = clock.Never, clock.Never
	delay := retrier.Backoff(r.failures, r.random())
	earliestAnswer := now + delay + r.route.latency.Mean()
	if r.launched == retrier.MaxAttempts || earliestAnswer >= r.deadline || !r.route.budget.Take() {
		return r.failureAnswer()
	}
	r.dispatcher.counts.retries.Add(1)
	r.retryAt = now + delay
	return nil
}

// checkSilence abandons the pending attempts if they exceed the silence timeout although
// the service has answered other requests lately. If the service has not, or if no retry is
// possible, it checks again after another timeout.
func (r *run) checkSilence(now clock.Millis) *schema.Answer {
	timeout := r.silenceTimeout()
	r.silentAt = r.attempts[r.launched-1].start.Add(timeout)
	if now < r.silentAt {
		return nil
	}
	lastAnswer := clock.Millis(r.route.lastAnswer.Load())
	if lastAnswer < now-timeout/2 || r.launched == retrier.MaxAttempts || r.route.budget.Left() == 0 {
		r.silentAt = now + timeout
		return nil
	}
	r.silentAt = clock.Never
	for i := range r.launched {
		if r.attempts[i].state == attemptPending {
			r.abandon(i, now)
		}
	}
	r.lastErr = provider.ErrSilent
	r.failures++
	return r.scheduleRetry(now)
}

// abandon ends a silent attempt. It closes the connection, which may be broken, and cancels
// the request at the executor.
func (r *run) abandon(i int, now clock.Millis) {
	a := &r.attempts[i]
	a.cancel(provider.ErrSilent)
	r.finishAttempt(a, attemptUnknown)
	a.target.Abandoned(now - a.start)
	if a.target.Failed(silentFailureWeight) >= router.SuspectFailures {
		r.dispatcher.controller.trigger()
	}
	r.cancelAtExecutor(i)
}

// cancelAtExecutor cancels the request at the executor of an attempt in the background.
// The reply arrives as a result.
func (r *run) cancelAtExecutor(i int) {
	address := r.attempts[i].target.Host().Address
	r.dispatcher.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(r.dispatcher.baseCtx, cancelTimeout.Duration())
		defer cancel()
		state, err := r.dispatcher.executors.Cancel(ctx, address, r.request.ID)
		if err == nil {
			r.results <- result{index: i, cancelState: state}
		}
	})
}

// giveUp returns the final answer when the call's context ends: at the deadline, at
// shutdown, or when the last caller left.
func (r *run) giveUp() *schema.Answer {
	r.leaveQueue()
	for i := range r.launched {
		if r.attempts[i].state == attemptPending {
			r.cancelAtExecutor(i)
		}
	}
	if r.call.callers.Load() == 0 {
		return r.failWith(coder.Cancelled, 0, "all callers cancelled the request")
	}
	if r.maybeRan() {
		return r.unknownAnswer("no answer before the deadline or shutdown")
	}
	if r.dispatcher.baseCtx.Err() != nil {
		return r.failWith(coder.ShuttingDown, clock.Second, shuttingDown)
	}
	return r.failWith(coder.NotRun, r.retryAfter(), "no answer before the deadline")
}

// leaveQueue withdraws the waiter. If the scheduler has already granted an executor,
// leaveQueue releases the executor.
func (r *run) leaveQueue() {
	if r.waiter == nil || r.waiter.leave() {
		r.waiter = nil
		return
	}
	g := <-r.waiter.grants
	r.waiter = nil
	if g.target != nil {
		g.target.Release()
		r.admitted = true
	}
}

// failureAnswer returns the final answer when no attempt is left.
func (r *run) failureAnswer() *schema.Answer {
	if coder.Of(r.lastErr) == coder.Incomplete {
		return r.failWith(coder.Incomplete, r.retryAfter(), r.lastErr.Error())
	}
	if r.maybeRan() {
		return r.unknownAnswer(r.lastErr.Error())
	}
	return r.failWith(coder.Of(r.lastErr), r.retryAfter(), r.lastErr.Error())
}

func (r *run) unknownAnswer(reason string) *schema.Answer {
	return r.failWith(coder.Unknown, r.retryAfter(), reason)
}

func (r *run) failWith(c coder.Code, after clock.Millis, reason string) *schema.Answer {
	return failure(r.id, c, after, reason)
}

func (r *run) retryAfter() clock.Millis { return retryAfter(r.route.latency.Mean(), r.seed) }

// cleanUp releases everything that the run still holds. It cancels pending attempts, such
// as an attempt whose hedge was answered first. Their time so far counts towards the latency
// of their executors, as a lower bound.
func (r *run) cleanUp() {
	r.leaveQueue()
	now := r.dispatcher.now()
	for i := range r.launched {
		if a := &r.attempts[i]; a.state == attemptPending {
			r.finishAttempt(a, attemptUnknown)
			a.target.Abandoned(now - a.start)
		}
	}
	if r.admitted {
		r.route.gate.Leave()
	}
	if r.timer != nil {
		r.timer.Stop()
	}
}
