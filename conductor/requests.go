package conductor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/regulator"
	"galenawharf.example/galenawharf/scheduler"
)

const (
	// storeFailureLimit is how long appends may have failed before new jobs are rejected
	// at once. It is the time of two calls at the longest latency that the store's fault
	// specification allows.
	storeFailureLimit = 800 * clock.Millis(1)
	// maxRenewalAge is the age of the last renewal up to which a job may be reported as
	// unknown. Another daemon claims the leadership 1.5 s after the last renewal and
	// accepts jobs from then on.
	maxRenewalAge = 1500 * clock.Millis(1)
	// maxDepositReadAge is the age of the last read of the deposits up to which a job may
	// be reported as unknown: two long polls and the answer of a slow store.
	maxDepositReadAge = 1400 * clock.Millis(1)
	// minRetryAfter is the time after which a caller returns who was refused because the store is
	// slow. Shorter ones can't be told, as Retry-After counts seconds.
	minRetryAfter = clock.Second
	// changeTimeout is how long a caller waits for a change to be stored. After that the
	// outcome is unknown and the caller should send the request again.
	changeTimeout = clock.Second
	// slowChangeTimeout replaces changeTimeout while the store is slow but answers: two appends of
	// 1 s, its longest in the users' fault specification, and the gathering of a batch. Callers
	// wait for 3 s; one who waits for less is kept no longer than that.
	slowChangeTimeout = 2300 * clock.Millis(1)
	// changeMargin is the part of these timeouts that is kept for gathering a batch and for the
	// answer.
	changeMargin = 60 * clock.Millis(1)
)

var (
	// ErrStoreUnavailable is returned while the store does not answer, so that nothing
	// can be accepted. The request has not taken effect and will not.
	ErrStoreUnavailable = errors.New("the store does not answer")
	// ErrUnconfirmed is returned if this daemon has not renewed its claim to lead
	// recently.
	ErrUnconfirmed = errors.New("leadership was not renewed recently, another daemon may lead")
	// ErrDepositsStale is returned if the deposits have not been read recently, so that
	// there may be accepted jobs that this daemon does not know yet.
	ErrDepositsStale = errors.New("the deposited jobs could not be read recently")
	// ErrUnclear is returned if a change was not stored within the timeout; it may be
	// stored later.
	ErrUnclear = errors.New("storing the change timed out, it may be stored later")
)

// admit returns an OverloadError for a new job that is not accepted. Jobs that last are always
// accepted unless they can't be stored: they are few, and their tasks are started before all others.
func (c *Conductor) admit(ctx context.Context, s *scheduler.Spec) error {
	tasks, lasts := 0, false
	for i := range s.Steps {
		tasks += s.Steps[i].Count
		lasts = lasts || s.Steps[i].LongRunning
	}
	patience := slowChangeTimeout
	if d, ok := ctx.Deadline(); ok {
		patience = min(patience, clock.FromTime(d).Sub(clock.System()))
	}
	if wait := c.appendTimer.wait(c.now()); wait > 0 && wait > patience-changeMargin {
		// It would not be stored while its caller waits.
		return OverloadError{max(wait-slowChangeTimeout, minRetryAfter), SlowAppends, wait, patience}
	}
	if lasts || s.Repeat > 0 {
		return nil
	}
	a := c.regulator.Admit(func() []regulator.Arrival { return c.waitingAhead(s) }, tasks, s.Objective())
	if a.Admitted() {
		return nil
	}
	return OverloadError{a.RetryAfter(), SlowStarts, a.Wait(), s.Objective()}
}

// admitNew returns an OverloadError or a TenantLimitError for a new job that is not accepted.
func (c *Conductor) admitNew(ctx context.Context, s *scheduler.Spec) error {
	now := c.now()
	c.rates.Asked(s.Tenant, now)
	if err := c.admit(ctx, s); err != nil {
		var o OverloadError
		if errors.As(err, &o) {
			c.metrics.Overloaded(o.cause)
		}
		return err
	}
	return c.admitRate(s, now)
}

// Submit accepts a job and returns when it is stored. The error is ErrStoreUnavailable, an
// OverloadError or a TenantLimitError if the job will not run, that of
// scheduler.Submit for a job that is invalid or over the cap of its tenant, or ErrTermEnded or
// ErrUnclear if the outcome is unknown.
func (c *Conductor) Submit(ctx context.Context, s scheduler.Spec) error {
	return c.awaitStored(ctx, func(stored func(error)) error {
		if !c.sched.HasJob(s.ID) {
			if c.storeUnavailable() {
				return ErrStoreUnavailable
			}
			if err := c.admitNew(ctx, &s); err != nil {
				return err
			}
		}
		return c.sched.Submit(s, stored)
	})
}

// Cancel cancels a job for a tenant, or for a caller without one, and returns when that is stored. Errors are those of Phase for an
// unknown job, else those of Submit. A submission that arrives after scheduler.ErrUnknown was returned does
// not start the job. The error is scheduler.ErrTooManyCancels if that can't be remembered.
func (c *Conductor) Cancel(ctx context.Context, id, tenant string) error {
	return c.awaitStored(ctx, func(stored func(error)) error {
		err := c.sched.Cancel(id, tenant, stored)
		if !errors.Is(err, scheduler.ErrUnknown) {
			return err
		}
		if err := c.unknownJobError(); !errors.Is(err, scheduler.ErrUnknown) {
			return err
		}
		return c.sched.CancelUnknown(id, tenant, func(err error) {
			if err == nil {
				err = scheduler.ErrUnknown
			}
			stored(err)
		})
	})
}

// unknownJobError returns the error for a job that this daemon does not know:
// scheduler.ErrUnknown only if no other daemon can have accepted it. It runs on the
// scheduler's goroutine.
func (c *Conductor) unknownJobError() error {
	switch {
	case c.renewalOverdue():
		return ErrUnconfirmed
	case c.now()-c.lastDepositRead > maxDepositReadAge:
		return ErrDepositsStale
	default:
		return scheduler.ErrUnknown
	}
}

// storeUnavailable reports whether appends have failed for longer than storeFailureLimit.
func (c *Conductor) storeUnavailable() bool {
	since := c.writer.FailingSince()
	return since != 0 && c.now()-since > storeFailureLimit
}

// renewalOverdue reports whether another daemon may have become the leader.
func (c *Conductor) renewalOverdue() bool {
	return c.now()-max(c.writer.LastSuccess(), c.lastRenewal()) > maxRenewalAge
}

// awaitStored runs f on the scheduler's goroutine. If f returns nil, it waits until f's
// callback is called and returns the error passed to it. The error is ErrTermEnded or
// ErrUnclear if neither happens in time.
func (c *Conductor) awaitStored(ctx context.Context, f func(stored func(error)) error) error {
	ctx, cancel := context.WithTimeout(ctx, slowChangeTimeout.Duration())
	defer cancel()
	// A store that has not answered the last append at all is not waited for any longer.
	early := time.AfterFunc(changeTimeout.Duration(), func() {
		if c.writer.FailingSince() != 0 {
			cancel()
		}
	})
	defer early.Stop()
	done := make(chan error, 1)
	if !c.post(func() {
		if ctx.Err() != nil {
			// The caller has gone, and may have been told otherwise since.
			return
		}
		if err := f(func(err error) { done <- err }); err != nil {
			done <- err
		}
	}) {
		return ErrTermEnded
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ErrUnclear
	case <-c.ctx.Done():
		select {
		case err := <-done:
			return err
		default:
			return ErrTermEnded
		}
	}
}

// Phase returns the phase of a job to a tenant, or to a caller without one. The error is scheduler.ErrUnknown if there is no such
// job, ErrUnconfirmed or ErrDepositsStale if it may have been accepted without this
// daemon's knowledge, or ErrTermEnded.
func (c *Conductor) Phase(id, queue, tenant string) (scheduler.Phase, error) {
	var p scheduler.Phase
	var err error
	if !c.call(func() {
		if p, err = c.sched.Phase(id, queue, tenant); errors.Is(err, scheduler.ErrUnknown) {
			err = c.unknownJobError()
		}
	}) {
		return "", ErrTermEnded
	}
	return p, err
}

// Pending returns the number of jobs of a queue that have not started. The error is that of Phase
// for an unknown job: there may be jobs that this daemon does not know.
func (c *Conductor) Pending(queue string) (int, error) {
	var n int
	var err error
	if !c.call(func() {
		n = c.sched.Pending(queue)
		if e := c.unknownJobError(); !errors.Is(e, scheduler.ErrUnknown) {
			err = e
		}
	}) {
		return 0, ErrTermEnded
	}
	return n, err
}

// SetEvacuated replaces the set of data centres in which no task may start.
func (c *Conductor) SetEvacuated(dataCentres []string) {
	c.post(func() { c.sched.SetEvacuated(dataCentres) })
}
