package recorder

import (
	"context"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Follower keeps up with a keyed topic. Close ends it.
	Follower struct {
		cancel context.CancelFunc
		ended  chan struct{}
	}

	// Callbacks is what a Follower reports, from one goroutine.
	Callbacks struct {
		// Reset gives every key of the topic, at the start and whenever records were
		// dropped before they were read.
		Reset func(map[string][]byte)
		// Change gives items in the order of the topic.
		Change func([]Item)
		// Read is called after each call that succeeded, also one without news, with how
		// long the answer took beyond the wait for news; 0 where that is not known.
		Read func(delay clock.Millis)
		// Failed is called after each call that did not.
		Failed func(error)
	}

	// PollTiming is how often a Follower asks.
	PollTiming struct {
		// Wait is how long the store holds a call until there is news.
		Wait clock.Millis
		// Pause is the time between calls.
		Pause clock.Millis
	}
)

const (
	// answerMargin is allowed for an answer beyond the wait asked for; a slow store
	// takes 240 ms.
	answerMargin = 800 * clock.Millis(1)
	// failurePause is the time between failed calls.
	failurePause = 200 * clock.Millis(1)
)

// Follow starts to follow a topic.
func Follow(s Store, topic string, p PollTiming, w Callbacks) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(f.ended)
		for ctx.Err() == nil {
			if err := follow(ctx, s, topic, p, w); ctx.Err() == nil {
				w.Failed(err)
				Sleep(ctx, failurePause)
			}
		}
	}()
	return f
}

// Close ends the follower and waits for it.
func (f *Follower) Close() {
	f.cancel()
	<-f.ended
}

// follow lists the topic and reads on from there. It returns when the topic has to
// be listed again.
func follow(ctx context.Context, s Store, topic string, p PollTiming, w Callbacks) error {
	items, from, err := Load(ctx, s, topic)
	if err != nil {
		return err
	}
	w.Reset(items)
	w.Read(0)
	now := clock.NewSteady()
	for {
		if p.Pause > 0 && !Sleep(ctx, p.Pause) {
			return ctx.Err()
		}
		sent := now()
		found, end, err := read(ctx, s, topic, from, p.Wait)
		delay := now() - sent - p.Wait
		switch {
		case errors.Is(err, ErrTrimmed):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			w.Failed(err)
			if !Sleep(ctx, failurePause) {
				return ctx.Err()
			}
			continue
		case end < from:
			// The topic was emptied.
			return ErrTrimmed
		}
		if len(found) > 0 {
			w.Change(found)
			delay = 0
		}
		w.Read(max(delay, 0))
		from = end
	}
}

func read(ctx context.Context, s Store, topic string, from int64, wait clock.Millis) ([]Item, int64, error) {
	c, cancel := context.WithTimeout(ctx, (wait + answerMargin).Duration())
	defer cancel()
	return s.Read(c, topic, from, wait)
}
