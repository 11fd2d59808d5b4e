// Package depositor accepts jobs through the store while the leader can't be reached: a
// host deposits them, and whoever leads collects them.
package depositor

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Depositor deposits jobs.
	Depositor struct {
		store recorder.Store
		now   func() clock.Millis
		// answered returns when the store last answered a read in time, 0 since one has
		// failed or was slow.
		answered func() clock.Millis
		// failed is when a deposit last had no answer.
		failed atomic.Int64
	}
)

const (
	// Topic has the deposited jobs by id until they are collected.
	Topic = "deposits"
	// depositLimit bounds one call: a slow store takes 240 ms.
	depositLimit = 400 * clock.Millis(1)
	// fresh is how old the last answer of the store may be for it to be taken to answer
	// still: a read that waits a second for news, and its answer.
	fresh = 1300 * clock.Millis(1)
	// depositTries bounds the calls for a job; a third of the answers may be lost, and
	// the same deposit twice is one.
	depositTries = 3
	// failurePause is how long nothing is deposited after a job whose deposit had no
	// answer: about as long as the users' troubles of the store last.
	failurePause = 3 * clock.Second
)

var (
	// ErrAway says that the job was not deposited and will not be.
	ErrAway = errors.New("the store takes no deposits now")
	// ErrUnclear says that the job may be deposited, now or later.
	ErrUnclear = errors.New("the store did not answer about a deposit")
)

// New returns a depositor. answered returns when the store last answered a read of
// this host in time, 0 since one has failed or was slow: deposits are appended one
// after the other, and a slow store would not answer many in time.
func New(s recorder.Store, now, answered func() clock.Millis) *Depositor {
	return &Depositor{store: s, now: now, answered: answered}
}

// healthy reports whether a deposit is likely to have an answer.
func (d *Depositor) healthy() bool {
	a := d.answered()
	return d.now()-a < fresh && d.now()-clock.Millis(d.failed.Load()) > failurePause
}

// Deposit returns nil when the job is stored, ErrAway or ErrUnclear.
func (d *Depositor) Deposit(ctx context.Context, spec scheduler.Spec) error {
	b, err := json.Marshal(spec)
	if err != nil {
		return errors.Wrap(ErrAway, err.Error())
	}
	unclear := false
	for n := range depositTries {
		if ctx.Err() != nil || n == 0 && !d.healthy() {
			break
		}
		c, cancel := context.WithTimeout(ctx, depositLimit.Duration())
		_, err := d.store.Append(c, Topic, recorder.AnyEnd, []recorder.Item{{Key: spec.ID, Value: b}})
		cancel()
		if err == nil {
			return nil
		}
		unclear = unclear || !errors.Is(err, recorder.ErrRefused)
	}
	if unclear {
		d.failed.Store(int64(d.now()))
		return ErrUnclear
	}
	return ErrAway
}

// Decode returns the job of a deposit.
func Decode(i recorder.Item) (scheduler.Spec, error) {
	var s scheduler.Spec
	if err := json.Unmarshal(i.Value, &s); err != nil {
		return s, errors.Wrapf(err, "depositor.Decode: %q", i.Key)
	}
	return s, nil
}
