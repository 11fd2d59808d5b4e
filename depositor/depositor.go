// Package depositor accepts jobs through the store while a host can't reach the leader:
// the host stores the job in a topic, from which the current or next leader accepts it.
package depositor

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Depositor stores jobs for the leader.
	Depositor struct {
		store recorder.Store
		now   func() clock.Millis
		// lastRead returns when the store last answered a read in time, 0 if the latest
		// one failed or was slow.
		lastRead func() clock.Millis
		// lastUnanswered is when a deposit last ended without an answer, in ms.
		lastUnanswered atomic.Int64
	}
)

const (
	// Topic is the topic of the deposited jobs, with their ids as keys. The leader deletes
	// a deposit once it has stored the job itself.
	Topic = "deposits"
	// appendTimeout bounds one call; a slow store takes 240 ms to answer.
	appendTimeout = 400 * clock.Millis(1)
	// maxReadAge is the age of the last successful read up to which the store counts as
	// available: a long poll of one second and its answer.
	maxReadAge = 1300 * clock.Millis(1)
	// maxAttempts bounds the calls for one job. Up to a third of the answers may be lost.
	// A retry is safe because a second deposit of the same id replaces the first.
	maxAttempts = 3
	// maxBytes is the size of a record of the store, which no deposit exceeds.
	maxBytes = 256 << 10
	// maxIDBytes bounds the id of a job, which has 16 digits.
	maxIDBytes = 64
	// unansweredPause is how long nothing is deposited after a deposit that ended without
	// an answer. It is about the length of the store's outages in the users' fault
	// specification.
	unansweredPause = 3 * clock.Second
)

var (
	// ErrUnavailable is returned if the job was not deposited and will not be.
	ErrUnavailable = errors.New("the store is unavailable for deposits")
	// ErrUnclear is returned if the job may have been deposited, or may be later.
	ErrUnclear = errors.New("the store did not answer a deposit")
)

// New returns a Depositor. lastRead returns when the store last answered a read of this
// host in time, 0 if the latest one failed or was slow. Deposits are appended one after
// the other, so a slow store could not answer many of them in time.
func New(s recorder.Store, now, lastRead func() clock.Millis) *Depositor {
	return &Depositor{store: s, now: now, lastRead: lastRead}
}

// healthy reports whether the store is likely to answer a deposit.
func (d *Depositor) healthy() bool {
	a := d.lastRead()
	return d.now()-a < maxReadAge && d.now()-clock.Millis(d.lastUnanswered.Load()) > unansweredPause
}

// Deposit stores a job and returns nil once it is stored. The error is ErrUnavailable or
// ErrUnclear.
func (d *Depositor) Deposit(ctx context.Context, spec scheduler.Spec) error {
	b, err := json.Marshal(spec)
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	unclear := false
	for n := range maxAttempts {
		if ctx.Err() != nil || n == 0 && !d.healthy() {
			break
		}
		c, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
		_, err := d.store.Append(c, Topic, recorder.AnyEnd, []recorder.Item{{Key: spec.ID, Value: b}})
		cancel()
		if err == nil {
			return nil
		}
		unclear = unclear || !errors.Is(err, recorder.ErrRefused)
	}
	if unclear {
		d.lastUnanswered.Store(int64(d.now()))
		return ErrUnclear
	}
	return ErrUnavailable
}

// Decode returns the job of a deposit. The error is a *coder.Error for a record that no host has
// written: one that is not a job, is under another key than its id, or has an id that can't be part of
// the name of a task or the key of a record.
func Decode(i recorder.Item) (scheduler.Spec, error) {
	if len(i.Value) > maxBytes {
		return scheduler.Spec{}, coder.New(coder.TooLarge, "deposit of %d bytes, more than %d", len(i.Value), maxBytes)
	}
	if i.Key == "" || len(i.Key) > maxIDBytes || strings.ContainsFunc(i.Key, func(r rune) bool { return r <= ' ' || r > '~' || r == '.' || r == '/' }) {
		return scheduler.Spec{}, coder.New(coder.BadFormat, "deposit under a key of %d bytes that is no id of a job", len(i.Key))
	}
	var s scheduler.Spec
	if err := json.Unmarshal(i.Value, &s); err != nil {
		return scheduler.Spec{}, coder.New(coder.Malformed, "deposit %s is not JSON of a job", i.Key)
	}
	if s.ID != i.Key {
		return scheduler.Spec{}, coder.New(coder.UnknownName, "deposit %s has another id", i.Key)
	}
	return s, nil
}
