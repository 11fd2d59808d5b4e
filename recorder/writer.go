package recorder

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Writer appends to a topic on the condition that nobody else has: after another
	// writer has appended, its own appends fail with ErrDeposed. It must be used by one
	// goroutine at a time, except for LastSuccess and FailingSince.
	Writer struct {
		store Store
		topic string
		now   func() clock.Millis
		sleep func(context.Context, clock.Millis) bool
		// end is the offset at which the next append must land.
		end int64
		// lastSuccess is a time, in ms, no later than that at which the last successful
		// append was stored. No other writer had taken over by then.
		lastSuccess atomic.Int64
		// failingSince is when appends began to fail, in ms, 0 while they succeed.
		failingSince atomic.Int64
		// timeout bounds the next call. It adapts to the store's latency.
		timeout clock.Millis
		// isOwn reports whether an item was written by this writer.
		isOwn func(Item) bool
	}

	// WriterOption configures a Writer.
	WriterOption func(*Writer)
)

// ErrDeposed is returned by an append after another writer has appended.
var ErrDeposed = errors.New("another writer has taken over the topic")

const (
	// minTimeout bounds the first call of an append. The store takes 4 ms, or 240 ms at
	// its slowest according to its fault specification. An unanswered call doubles the
	// timeout, up to maxTimeout; an answer within 1/fastAnswerDivisor of the timeout
	// halves it, down to minTimeout.
	minTimeout        = 400 * clock.Millis(1)
	maxTimeout        = 1600 * clock.Millis(1)
	fastAnswerDivisor = 4
	// minBackoff and maxBackoff bound the exponential backoff between attempts, so that a
	// writer makes at most ten calls a second during an outage.
	minBackoff = 20 * clock.Millis(1)
	maxBackoff = 100 * clock.Millis(1)
)

// WithClock sets the monotonic clock.
func WithClock(now func() clock.Millis) WriterOption { return func(w *Writer) { w.now = now } }

// WithSleep sets the function that waits between attempts. It returns false if the
// context ends before.
func WithSleep(f func(context.Context, clock.Millis) bool) WriterOption {
	return func(w *Writer) { w.sleep = f }
}

// NewWriter returns a writer that continues a topic at offset end. isOwn distinguishes
// its own items from those of another writer.
func NewWriter(s Store, topic string, end int64, isOwn func(Item) bool, opts ...WriterOption) *Writer {
	w := &Writer{store: s, topic: topic, end: end, isOwn: isOwn, timeout: minTimeout, now: clock.System, sleep: Sleep}
	for _, o := range opts {
		o(w)
	}
	return w
}

// End returns the offset after the last append.
func (w *Writer) End() int64 { return w.end }

// LastSuccess returns the time at which the last successful append was sent, 0 if there
// was none. If it was sent several times, and it is not known which attempt was stored, it
// returns the time of the first.
func (w *Writer) LastSuccess() clock.Millis { return clock.Millis(w.lastSuccess.Load()) }

// FailingSince returns since when appends have failed, 0 while they succeed.
func (w *Writer) FailingSince() clock.Millis { return clock.Millis(w.failingSince.Load()) }

// Append adds the items and returns nil once they are stored. It retries until the
// outcome is known. The error is ErrDeposed, or that of the context; after the latter the
// items may or may not be stored.
func (w *Writer) Append(ctx context.Context, items []Item) error {
	backoff, firstSent := minBackoff, w.now()
	for {
		sent := w.now()
		stored := sent
		end, err := w.tryAppend(ctx, w.timeout, items)
		if errors.Is(err, ErrOffsetConflict) {
			// An earlier attempt was stored, and another writer may have appended since.
			stored = firstSent
			end, err = w.resolveConflict(ctx, w.timeout, items)
		}
		switch {
		case err == nil:
			w.end = end
			if w.now()-sent < w.timeout/fastAnswerDivisor {
				w.timeout = max(w.timeout/2, minTimeout)
			}
			w.lastSuccess.Store(int64(stored))
			w.failingSince.Store(0)
			return nil
		case errors.Is(err, ErrDeposed):
			return err
		}
		w.failingSince.CompareAndSwap(0, int64(sent))
		if !w.sleep(ctx, backoff) {
			return errors.Wrap(ctx.Err(), "recorder.Writer.Append")
		}
		backoff = min(2*backoff, maxBackoff)
		if errors.Is(err, ErrUnclear) {
			w.timeout = min(2*w.timeout, maxTimeout)
		}
	}
}

func (w *Writer) tryAppend(ctx context.Context, timeout clock.Millis, items []Item) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	return w.store.Append(ctx, w.topic, w.end, items)
}

// resolveConflict finds out who has written at the offset of an append whose condition
// failed: an earlier, unanswered attempt of the same append, or another writer.
func (w *Writer) resolveConflict(ctx context.Context, timeout clock.Millis, items []Item) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	found, _, err := w.store.Read(ctx, w.topic, w.end, 0)
	switch {
	case errors.Is(err, ErrTrimmed):
		return 0, ErrDeposed
	case err != nil:
		return 0, err
	case len(found) == 0:
		return 0, ErrUnclear
	case !w.isOwn(found[0]):
		return 0, ErrDeposed
	}
	return w.end + int64(len(items)), nil
}
