// Package recorder stores what must survive a daemon in the platform's store. The store
// is an append-only log with conditional appends and with compacted topics, which keep
// the newest record of each key. The package appends with a known outcome, follows topics
// and loads them whole.
package recorder

import (
	"context"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Item is a record of a compacted topic. An empty value deletes the key.
	Item struct {
		Key   string
		Value []byte
	}

	// Page is a part of the newest records of a topic.
	Page struct {
		Items []Item
		// More is whether further pages follow.
		More bool
		// End is the offset after the last record of the topic.
		End int64
	}

	// Store has the calls of the platform's store. They return the errors of this
	// package.
	Store struct {
		// Append adds items on the condition that the topic ends at offset at, or
		// unconditionally for AnyEnd, and returns the new end.
		Append func(ctx context.Context, topic string, at int64, items []Item) (int64, error)
		// Read returns the items from an offset on and the offset after them. If there
		// are none, it waits for the given time until there are (long polling).
		Read func(ctx context.Context, topic string, from int64, wait clock.Millis) ([]Item, int64, error)
		// ReadNewest returns a page with the newest item of each key that sorts after the
		// given one.
		ReadNewest func(ctx context.Context, topic, after string) (Page, error)
		// PageTransfer is how long the transfer of a full page may take over the host's link.
		PageTransfer clock.Millis
	}
)

// AnyEnd makes an append unconditional.
const AnyEnd = -1

var (
	// ErrOffsetConflict is returned by a conditional append if the topic ends at another offset.
	ErrOffsetConflict = errors.New("the topic ends at another offset")
	// ErrTrimmed is returned by a read of records that the store has discarded.
	ErrTrimmed = errors.New("the records have been discarded")
	// ErrRefused is returned if the store did nothing; a retry may succeed.
	ErrRefused = errors.New("the store refused the call")
	// ErrCallback is passed to Failed if a callback of a Follower has panicked.
	ErrCallback = errors.New("a callback of the follower failed")
	// ErrUnclear is returned if there was no answer. An append may have taken effect or
	// may do so later.
	ErrUnclear = errors.New("the store did not answer")
)
