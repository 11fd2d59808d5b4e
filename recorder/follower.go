package recorder

import (
	"context"
	"runtime/debug"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Follower follows a compacted topic until Close.
	Follower struct {
		cancel context.CancelFunc
		done   chan struct{}
	}

	// Callbacks are called by a Follower, all from one goroutine.
	Callbacks struct {
		// Reset is called with the newest item of every key, at the start and whenever
		// records were discarded before they were read.
		Reset func(map[string][]byte)
		// Change is called with new items, in the order of the topic.
		Change func([]Item)
		// Read is called after each successful read, also one without new items. delay is
		// how long the answer took beyond the wait for items; it is 0 if there were
		// items, because then it is not known. age is how long ago the topic was certainly
		// as the callbacks have shown it.
		Read func(delay, age clock.Millis)
		// Failed is called after each read that failed.
		Failed func(error)
	}

	// PollTiming is the timing of a Follower's reads.
	PollTiming struct {
		// Wait is how long the store may hold a read until there are new items (long
		// polling).
		Wait clock.Millis
		// Pause is the time between reads.
		Pause clock.Millis
	}
)

const (
	// readMargin is added to the wait for the timeout of a read. A slow store takes 240
	// ms to answer.
	readMargin = 800 * clock.Millis(1)
	// retryDelay is the time before a failed read is retried.
	retryDelay = 200 * clock.Millis(1)
)

// Follow starts a Follower.
func Follow(s Store, topic string, p PollTiming, w Callbacks) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(f.done)
		for ctx.Err() == nil {
			if err := followSafely(ctx, s, topic, p, w); ctx.Err() == nil {
				w.Failed(err)
				Sleep(ctx, retryDelay)
			}
		}
	}()
	return f
}

// Close stops the follower and waits for its goroutine.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}

// followSafely is follow with a panic, such as one of a callback that meets a malformed item, turned
// into an error, so that it does not end the process.
func followSafely(ctx context.Context, s Store, topic string, p PollTiming, w Callbacks) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Wrapf(ErrCallback, "panic: %v\n%s", p, debug.Stack())
		}
	}()
	return follow(ctx, s, topic, p, w)
}

// follow loads the topic and then reads on from its end. It returns an error if the topic
// has to be loaded again.
func follow(ctx context.Context, s Store, topic string, p PollTiming, w Callbacks) error {
	now := clock.NewSteady()
	sent := now()
	items, from, err := Load(ctx, s, topic)
	if err != nil {
		return err
	}
	w.Reset(items)
	w.Read(0, now()-sent)
	for {
		if p.Pause > 0 && !Sleep(ctx, p.Pause) {
			return ctx.Err()
		}
		sent = now()
		found, end, err := read(ctx, s, topic, from, p.Wait)
		delay := now() - sent - p.Wait
		switch {
		case errors.Is(err, ErrTrimmed):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			w.Failed(err)
			if !Sleep(ctx, retryDelay) {
				return ctx.Err()
			}
			continue
		case end < from:
			// The topic was emptied.
			return ErrTrimmed
		}
		age := max(delay, 0)
		if len(found) > 0 {
			w.Change(found)
			delay, age = 0, now()-sent
		}
		w.Read(max(delay, 0), age)
		from = end
	}
}

func read(ctx context.Context, s Store, topic string, from int64, wait clock.Millis) ([]Item, int64, error) {
	c, cancel := context.WithTimeout(ctx, (wait + readMargin).Duration())
	defer cancel()
	return s.Read(c, topic, from, wait)
}
