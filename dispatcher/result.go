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

// take takes what became of an attempt and gives the final answer if there is one.
func (r *run) take(o result) *schema.Answer {
	a := &r.attempts[o.index]
	if o.state != "" {
		a.calledOff(o.state)
		return nil
	}
	if a.state != attemptPending {
		return nil
	}
	now := r.d.now()
	if o.err == nil {
		o.err = verify(r.request.ID, o.response)
	}
	if o.err == nil {
		r.succeed(a, o.response, now)
		return success(r.id, o.response)
	}
	r.fail(a, o.err)
	return r.retry(now)
}

// calledOff takes what an executor says of an attempt that was given up.
func (a *attempt) calledOff(state provider.CancelState) {
	if a.state == attemptUnknown && state == provider.CancelNotRun {
		a.state = attemptNotRun
	}
}

// maybeRan tells whether an attempt may have run.
func (r *run) maybeRan() bool {
	for i := range r.n {
		if r.attempts[i].state != attemptNotRun {
			return true
		}
	}
	return false
}

// settle ends an attempt: it holds no slot any more.
func (r *run) settle(a *attempt, s attemptState) {
	a.state = s
	a.cancel(nil)
	a.target.Release()
	r.pending--
	r.route.attempts.Add(-1)
	if r.route.waiting.Load() > 0 {
		r.d.scheduler.nudge()
	}
}

func (r *run) succeed(a *attempt, o provider.Response, now clock.Millis) {
	r.settle(a, attemptUnknown)
	d := now - a.start
	a.target.Answered(d, o.Waiting)
	if o.Leaving {
		a.target.SetLeaving(now)
	}
	r.route.answered(now, d)
}

func (r *run) fail(a *attempt, err error) {
	s := attemptUnknown
	if notRun(err) {
		s = attemptNotRun
	}
	r.settle(a, s)
	r.lastErr = err
	r.failures++
	if a.target.Failed(1) == router.SuspectFailures {
		r.d.controller.nudge()
	}
}

// retry plans another attempt after one failed. Where none is allowed and none
// is in flight, it gives the final answer at once.
func (r *run) retry(now clock.Millis) *schema.Answer {
	if r.pending > 0 || r.waiter != nil || r.retryAt != clock.Never {
		return nil
	}
	r.hedgeAt, r.silentAt = clock.Never, clock.Never
	pause := retrier.Pause(r.failures, r.random())
	ready := now + pause + r.route.latency.Mean()
	if r.n == retrier.MaxAttempts || ready >= r.deadline || !r.route.budget.Take() {
		return r.failed()
	}
	r.d.counts.retries.Add(1)
	r.retryAt = now + pause
	return nil
}

// silent drops the attempts that show no progress while others do.
func (r *run) silent(now clock.Millis) *schema.Answer {
	patience := r.patience()
	r.silentAt = r.attempts[r.n-1].start.Add(patience)
	if now < r.silentAt {
		return nil
	}
	progress := clock.Millis(r.route.lastAnswer.Load())
	if progress < now-patience/2 || r.n == retrier.MaxAttempts || r.route.budget.Left() == 0 {
		r.silentAt = now + patience
		return nil
	}
	r.silentAt = clock.Never
	for i := range r.n {
		if r.attempts[i].state == attemptPending {
			r.abandon(i, now)
		}
	}
	r.lastErr = provider.ErrSilent
	r.failures++
	return r.retry(now)
}

// abandon gives up an attempt without an answer, which closes its connection,
// and asks the executor what became of it.
func (r *run) abandon(i int, now clock.Millis) {
	a := &r.attempts[i]
	a.cancel(provider.ErrSilent)
	r.settle(a, attemptUnknown)
	a.target.Abandoned(now - a.start)
	if a.target.Failed(silentWeight) >= router.SuspectFailures {
		r.d.controller.nudge()
	}
	r.callOff(i)
}

// callOff asks the executor of an attempt to cancel it.
func (r *run) callOff(i int) {
	address := r.attempts[i].target.Host().Address
	r.d.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(r.d.base, cancelTimeout.Duration())
		defer cancel()
		state, err := r.d.executors.Cancel(ctx, address, r.request.ID)
		if err == nil {
			r.results <- result{index: i, state: state}
		}
	})
}

// giveUp gives the final answer at the deadline, or when no caller waits any more.
func (r *run) giveUp() *schema.Answer {
	r.leaveQueue()
	for i := range r.n {
		if r.attempts[i].state == attemptPending {
			r.callOff(i)
		}
	}
	if r.c.callers.Load() == 0 {
		return r.refuse(coder.Cancelled, 0, "the caller went away")
	}
	if r.maybeRan() {
		return r.unknown("there was no answer in time")
	}
	if r.d.base.Err() != nil {
		return r.refuse(coder.ShuttingDown, clock.Second, shuttingDown)
	}
	return r.refuse(coder.NotRun, r.retryAfter(), "there was no answer in time")
}

// leaveQueue ends a wait for the scheduler and gives back what it granted meanwhile.
func (r *run) leaveQueue() {
	if r.waiter == nil || r.waiter.leave() {
		r.waiter = nil
		return
	}
	g := <-r.waiter.grants
	r.waiter = nil
	if g.target != nil {
		g.target.Release()
		r.entered = true
	}
}

// failed gives the final answer after the last attempt failed.
func (r *run) failed() *schema.Answer {
	if coder.Of(r.lastErr) == coder.Incomplete {
		return r.refuse(coder.Incomplete, r.retryAfter(), r.lastErr.Error())
	}
	if r.maybeRan() {
		return r.unknown(r.lastErr.Error())
	}
	return r.refuse(coder.Of(r.lastErr), r.retryAfter(), r.lastErr.Error())
}

func (r *run) unknown(reason string) *schema.Answer {
	return r.refuse(coder.Unknown, r.retryAfter(), reason)
}

func (r *run) refuse(c coder.Code, after clock.Millis, reason string) *schema.Answer {
	return refusal(r.id, c, after, reason)
}

func (r *run) retryAfter() clock.Millis { return retryAfter(r.route.latency.Mean(), r.seed) }

// end gives back whatever the run still holds. Attempts that lose to a faster one are cancelled;
// how long they took by then still counts for their executors.
func (r *run) end() {
	r.leaveQueue()
	now := r.d.now()
	for i := range r.n {
		if a := &r.attempts[i]; a.state == attemptPending {
			r.settle(a, attemptUnknown)
			a.target.Abandoned(now - a.start)
		}
	}
	if r.entered {
		r.route.gate.Leave()
	}
	if r.timer != nil {
		r.timer.Stop()
	}
}
