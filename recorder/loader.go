package recorder

import (
	"context"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

const (
	// pageTimeout bounds the reading of one page, besides its transfer: the longest latency of
	// the store in its fault specification.
	pageTimeout = 2 * clock.Second
)

// Load returns the newest item of every key of a topic and the offset up to which they
// are complete, which is at least the end of the topic at the last page. It includes items that
// are appended while it reads, as far as the reads up to that offset have them. It reads no
// further, as others may append faster than it reads: the entries of 3,000 workers, for example,
// change 2,000 times a second.
func Load(ctx context.Context, s Store, topic string) (map[string][]byte, int64, error) {
	items := map[string][]byte{}
	first, last := int64(-1), int64(0)
	for after, more := "", true; more; {
		p, err := readPage(ctx, s, topic, after)
		if err != nil {
			return nil, 0, errors.Wrap(err, "recorder.Load")
		}
		if first < 0 {
			first = p.End
		}
		last = p.End
		known := len(items)
		for _, i := range p.Items {
			items[i.Key] = i.Value
			after = i.Key
		}
		// A page without a new key would be followed by itself without end. That of a key which is no
		// UTF-8, and is another one in the response of the store, is.
		more = p.More && len(items) > known
	}
	end := first
	for {
		found, next, err := applyNext(ctx, s, topic, end, items)
		if err != nil {
			return nil, 0, errors.Wrap(err, "recorder.Load")
		}
		if !found {
			return items, end, nil
		}
		if end = next; end >= last {
			return items, end, nil
		}
	}
}

// CatchUp applies the items from an offset on to the map until there are none, and returns the new
// end of the topic. The topic must be one to which nobody else appends all the time.
func CatchUp(ctx context.Context, s Store, topic string, from int64, items map[string][]byte) (int64, error) {
	for {
		found, end, err := applyNext(ctx, s, topic, from, items)
		if err != nil {
			return 0, errors.Wrap(err, "recorder.CatchUp")
		}
		if !found {
			return max(end, from), nil
		}
		from = end
	}
}

// applyNext reads the next items from an offset on and applies them to the map. It returns whether
// there were any, and the offset after them.
func applyNext(ctx context.Context, s Store, topic string, from int64, items map[string][]byte) (bool, int64, error) {
	var found []Item
	var end int64
	if err := inTime(ctx, s, func(ctx context.Context) (err error) {
		found, end, err = s.Read(ctx, topic, from, 0)
		return err
	}); err != nil {
		return false, 0, err
	}
	for _, i := range found {
		if len(i.Value) == 0 {
			delete(items, i.Key)
			continue
		}
		items[i.Key] = i.Value
	}
	return len(found) > 0, end, nil
}

func readPage(ctx context.Context, s Store, topic, after string) (Page, error) {
	var p Page
	err := inTime(ctx, s, func(ctx context.Context) (err error) {
		p, err = s.ReadNewest(ctx, topic, after)
		return err
	})
	return p, err
}

// inTime calls f with the timeout for one page and returns its error.
func inTime(ctx context.Context, s Store, f func(context.Context) error) error {
	c, cancel := context.WithTimeout(ctx, (pageTimeout + s.PageTransfer).Duration())
	defer cancel()
	return f(c)
}
