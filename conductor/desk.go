package conductor

import (
	"context"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/scheduler"
)

const (
	// storeAway is how long appends may have failed before new work is refused at
	// once: two calls to a store that is as slow as the sheets of trouble say.
	storeAway = 800 * clock.Millis(1)
	// confirmLimit is how old the last renewal of the claim may be for a job to be
	// called unknown; another daemon claims after 1.5 s and accepts jobs after that.
	confirmLimit = 1500 * clock.Millis(1)
	// depositLimit is how old the last reading of the deposits may be for a job to be
	// called unknown: a second of waiting for news, and the answer of a slow store.
	depositLimit = 1500 * clock.Millis(1)
	// storeLimit is how long a caller waits for a change to be stored. After that the
	// fate of the change is open, and the caller had better ask again.
	storeLimit = clock.Second
)

var (
	// ErrStoreAway says that the store does not answer, so nothing can be accepted. The
	// request has not run and will not.
	ErrStoreAway = errors.New("the store does not answer")
	// ErrUnconfirmed says that this daemon has not renewed its claim lately.
	ErrUnconfirmed = errors.New("another daemon may lead")
	// ErrUnread says that jobs may have been accepted through the store that this daemon
	// has not heard of.
	ErrUnread = errors.New("the deposited jobs could not be read lately")
	// ErrUnclear says that a change was not stored in time; it may be stored yet.
	ErrUnclear = errors.New("the change is not stored yet")
)

// Submit accepts a job and returns when it is stored. The error is ErrStoreAway if
// it surely never runs, that of scheduler.Submit for a faulty job, or ErrOver or
// ErrUnclear if its fate is open.
func (c *Conductor) Submit(ctx context.Context, s scheduler.Spec) error {
	return c.await(ctx, func(stored func(error)) error {
		if c.storeAway() && !c.sched.Knows(s.ID) {
			return ErrStoreAway
		}
		return c.sched.Submit(s, stored)
	})
}

// Cancel ends a job and returns when that is stored. The error is as with Phase for a
// job that is not known, else as with Submit.
func (c *Conductor) Cancel(ctx context.Context, id string) error {
	return c.await(ctx, func(stored func(error)) error {
		err := c.sched.Cancel(id, stored)
		if errors.Is(err, scheduler.ErrUnknown) {
			return c.unknown()
		}
		return err
	})
}

// unknown returns the error for a job that this daemon does not know. It runs on the
// owning goroutine.
func (c *Conductor) unknown() error {
	switch {
	case c.unconfirmed():
		return ErrUnconfirmed
	case c.now()-c.depositsRead > depositLimit:
		return ErrUnread
	default:
		return scheduler.ErrUnknown
	}
}

// storeAway reports whether appends have failed for a while.
func (c *Conductor) storeAway() bool {
	away := c.writer.FailingSince()
	return away != 0 && c.now()-away > storeAway
}

// unconfirmed reports whether another daemon may have been leading for a while.
func (c *Conductor) unconfirmed() bool {
	return c.now()-max(c.writer.LastSuccess(), c.confirmed()) > confirmLimit
}

func (c *Conductor) await(ctx context.Context, f func(stored func(error)) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeLimit.Duration())
	defer cancel()
	done := make(chan error, 1)
	if !c.do(func() {
		if err := f(func(err error) { done <- err }); err != nil {
			done <- err
		}
	}) {
		return ErrOver
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
			return ErrOver
		}
	}
}

// Phase returns the phase of a job. The error is scheduler.ErrUnknown, ErrOver, or
// ErrUnconfirmed or ErrUnread for an unknown job of which another daemon may know.
func (c *Conductor) Phase(id, queue string) (scheduler.Phase, error) {
	var p scheduler.Phase
	var err error
	if !c.ask(func() {
		if p, err = c.sched.Phase(id, queue); errors.Is(err, scheduler.ErrUnknown) {
			err = c.unknown()
		}
	}) {
		return "", ErrOver
	}
	return p, err
}

// Pending returns how many jobs of a queue have not begun. The error is ErrOver.
func (c *Conductor) Pending(queue string) (int, error) {
	var n int
	if !c.ask(func() { n = c.sched.Pending(queue) }) {
		return 0, ErrOver
	}
	return n, nil
}

// SetEvacuated replaces the set of data centres where nothing may start.
func (c *Conductor) SetEvacuated(dataCentres []string) {
	c.do(func() { c.sched.SetEvacuated(dataCentres) })
}
