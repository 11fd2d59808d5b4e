package recorder

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Writer appends to a topic of which it is the only writer as long as every
	// append meets its condition. It is used by one goroutine at a time.
	Writer struct {
		store Store
		topic string
		now   func() clock.Millis
		sleep func(context.Context, clock.Millis) bool
		// end is the offset at which the next append must land.
		end int64
		// confirmed is when the last append that succeeded was sent.
		confirmed atomic.Int64
		// failing is since when appends have failed, 0 while they succeed.
		failing atomic.Int64
		// limit bounds the next call.
		limit clock.Millis
		// owned reports whether an item is one of this writer's.
		owned func(Item) bool
	}

	// WriterOption sets up a Writer.
	WriterOption func(*Writer)
)

// ErrDeposed is the error of an append after another writer's.
var ErrDeposed = errors.New("another writer has taken over the topic")

const (
	// firstLimit bounds the first call of an append: the store takes 4 ms, and 240 ms
	// when it is as slow as the sheets of trouble say. A call without an answer lets
	// the next ones take twice as long, up to longestLimit, until answers come in a
	// fraction of the limit, 1/limitMargin, again.
	firstLimit   = 400 * clock.Millis(1)
	longestLimit = 1600 * clock.Millis(1)
	limitMargin  = 4
	// firstPause and longestPause bound the pauses between attempts, so that an
	// outage costs at most ten calls a second.
	firstPause   = 20 * clock.Millis(1)
	longestPause = 100 * clock.Millis(1)
)

// WithClock sets the steady clock.
func WithClock(now func() clock.Millis) WriterOption { return func(w *Writer) { w.now = now } }

// WithSleep sets how the writer waits; the function reports false when the context
// ended first.
func WithSleep(f func(context.Context, clock.Millis) bool) WriterOption {
	return func(w *Writer) { w.sleep = f }
}

// NewWriter returns a writer that continues a topic at its end. owned tells its own
// items from those that another writer puts first.
func NewWriter(s Store, topic string, end int64, owned func(Item) bool, opts ...WriterOption) *Writer {
	w := &Writer{store: s, topic: topic, end: end, owned: owned, limit: firstLimit, now: clock.System, sleep: Sleep}
	for _, o := range opts {
		o(w)
	}
	return w
}

// End returns the offset after the last append.
func (w *Writer) End() int64 { return w.end }

// LastSuccess returns when the last append that succeeded was sent.
func (w *Writer) LastSuccess() clock.Millis { return clock.Millis(w.confirmed.Load()) }

// FailingSince returns since when appends have failed, 0 while they succeed.
func (w *Writer) FailingSince() clock.Millis { return clock.Millis(w.failing.Load()) }

// Append adds the items and returns nil only when they are stored. It tries until
// the fate of the append is known: the error is ErrDeposed, or that of the context,
// after which the items may be stored or not.
func (w *Writer) Append(ctx context.Context, items []Item) error {
	pause := firstPause
	for {
		sent := w.now()
		end, err := w.attempt(ctx, w.limit, items)
		if errors.Is(err, ErrMoved) {
			end, err = w.settle(ctx, w.limit, items)
		}
		switch {
		case err == nil:
			w.end = end
			if w.now()-sent < w.limit/limitMargin {
				w.limit = max(w.limit/2, firstLimit)
			}
			w.confirmed.Store(int64(sent))
			w.failing.Store(0)
			return nil
		case errors.Is(err, ErrDeposed):
			return err
		}
		w.failing.CompareAndSwap(0, int64(sent))
		if !w.sleep(ctx, pause) {
			return errors.Wrap(ctx.Err(), "recorder.Writer.Append")
		}
		pause = min(2*pause, longestPause)
		if errors.Is(err, ErrUnclear) {
			w.limit = min(2*w.limit, longestLimit)
		}
	}
}

func (w *Writer) attempt(ctx context.Context, limit clock.Millis, items []Item) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	return w.store.Append(ctx, w.topic, w.end, items)
}

// settle finds out who wrote at the offset of an append that did not meet its
// condition: an earlier attempt of the same append, or another writer.
func (w *Writer) settle(ctx context.Context, limit clock.Millis, items []Item) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	found, _, err := w.store.Read(ctx, w.topic, w.end, 0)
	switch {
	case errors.Is(err, ErrTrimmed):
		return 0, ErrDeposed
	case err != nil:
		return 0, err
	case len(found) == 0:
		return 0, ErrUnclear
	case !w.owned(found[0]):
		return 0, ErrDeposed
	}
	return w.end + int64(len(items)), nil
}
