// Package recorder keeps what must outlast a daemon in the platform's store, an
// append-only log with conditional appends and topics that keep the newest record
// of each key. It appends so that the fate of every append is settled, follows
// topics, and loads them whole.
package recorder

import (
	"context"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Item is a record of a keyed topic. A nil value drops the key.
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

	// Store is the platform's store, by the calls that are used of it. All calls
	// return the errors of this package.
	Store struct {
		// Append adds items if the topic ends at offset at, or anyhow for AnyEnd, and
		// returns the new end.
		Append func(ctx context.Context, topic string, at int64, items []Item) (int64, error)
		// Read returns the items from an offset on and the offset after them. It
		// waits for one as long as given.
		Read func(ctx context.Context, topic string, from int64, wait clock.Millis) ([]Item, int64, error)
		// Newest returns the newest item of each key after the one given.
		Newest func(ctx context.Context, topic, after string) (Page, error)
	}
)

// AnyEnd lets an append be done wherever the topic ends.
const AnyEnd = -1

var (
	// ErrMoved says that the topic does not end at the offset of a conditional append.
	ErrMoved = errors.New("the topic has a newer end")
	// ErrTrimmed says that the records asked for are gone.
	ErrTrimmed = errors.New("the records are no longer kept")
	// ErrRefused says that the store did nothing; asking again may help.
	ErrRefused = errors.New("the store refused the call")
	// ErrUnclear says that there was no answer; an append may be done, now or later.
	ErrUnclear = errors.New("the store did not answer")
)
