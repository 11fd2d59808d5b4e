package imitator

import (
	"context"
	"slices"
	"sync"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/recorder"
)

type (
	// KeyedLog is a stand-in for the platform's store: topics of keyed records with
	// conditional appends.
	KeyedLog struct {
		mu     sync.Mutex
		topics map[string][]recorder.Item
		grown  chan struct{}
		fault  func(client, call, topic string) StoreFault
		answer clock.Millis
	}

	// StoreFault is what happens to one call.
	StoreFault int
)

// Faults of calls to the store.
const (
	// StoreFine: the call is done and answered.
	StoreFine StoreFault = iota
	// StoreRefuses: nothing is done.
	StoreRefuses
	// StoreSilent: nothing is done and there is no answer.
	StoreSilent
	// StoreLosesAnswer: the call is done and not answered.
	StoreLosesAnswer
	// StoreLate: there is no answer, and the call is done some seconds later if its
	// condition still holds.
	StoreLate
)

const (
	lateBy = 2 * clock.Second
	// pageItems is how many items a page of a listing has at most.
	pageItems = 500
)

// NewKeyedLog returns an empty store that answers after a time. fault decides what
// happens to each call of a client; nil lets all succeed.
func NewKeyedLog(answer clock.Millis, fault func(client, call, topic string) StoreFault) *KeyedLog {
	if fault == nil {
		fault = func(string, string, string) StoreFault { return StoreFine }
	}
	return &KeyedLog{topics: map[string][]recorder.Item{}, grown: make(chan struct{}), fault: fault, answer: answer}
}

// Client returns the store as one client reaches it.
func (l *KeyedLog) Client(name string) recorder.Store {
	return recorder.Store{
		Append: func(ctx context.Context, topic string, at int64, items []recorder.Item) (int64, error) {
			return l.append(ctx, name, topic, at, items)
		},
		Read: func(ctx context.Context, topic string, from int64, wait clock.Millis) ([]recorder.Item, int64, error) {
			return l.read(ctx, name, topic, from, wait)
		},
		Newest: func(ctx context.Context, topic, after string) (recorder.Page, error) {
			return l.newest(ctx, name, topic, after)
		},
	}
}

// Put adds items without a condition, as another writer does.
func (l *KeyedLog) Put(topic string, items ...recorder.Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(topic, items)
}

// Items returns all records of a topic, in order.
func (l *KeyedLog) Items(topic string) []recorder.Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.topics[topic])
}

func (l *KeyedLog) add(topic string, items []recorder.Item) {
	l.topics[topic] = append(l.topics[topic], items...)
	close(l.grown)
	l.grown = make(chan struct{})
}

// pass delays a call and applies its fault.
func (l *KeyedLog) pass(ctx context.Context, client, call, topic string) (StoreFault, error) {
	if !recorder.Sleep(ctx, l.answer) {
		return StoreSilent, recorder.ErrUnclear
	}
	f := l.fault(client, call, topic)
	switch f {
	case StoreRefuses:
		return f, recorder.ErrRefused
	case StoreSilent:
		<-ctx.Done()
		return f, recorder.ErrUnclear
	default:
		return f, nil
	}
}

func (l *KeyedLog) append(ctx context.Context, client, topic string, at int64, items []recorder.Item) (int64, error) {
	f, err := l.pass(ctx, client, "append", topic)
	if err != nil {
		return 0, err
	}
	if f == StoreLate {
		time.AfterFunc(lateBy.Duration(), func() { _, _ = l.appendAt(topic, at, items) })
		<-ctx.Done()
		return 0, recorder.ErrUnclear
	}
	end, err := l.appendAt(topic, at, items)
	if f == StoreLosesAnswer {
		<-ctx.Done()
		return 0, recorder.ErrUnclear
	}
	return end, err
}

func (l *KeyedLog) appendAt(topic string, at int64, items []recorder.Item) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end := int64(len(l.topics[topic])); at != recorder.AnyEnd && end != at {
		return end, recorder.ErrMoved
	}
	l.add(topic, items)
	return int64(len(l.topics[topic])), nil
}

func (l *KeyedLog) read(ctx context.Context, client, topic string, from int64, wait clock.Millis) ([]recorder.Item, int64, error) {
	if _, err := l.pass(ctx, client, "read", topic); err != nil {
		return nil, 0, err
	}
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	for {
		l.mu.Lock()
		items, grown := l.topics[topic], l.grown
		l.mu.Unlock()
		if int64(len(items)) > from {
			return slices.Clone(items[from:]), int64(len(items)), nil
		}
		select {
		case <-grown:
		case <-t.C:
			return nil, from, nil
		case <-ctx.Done():
			return nil, 0, recorder.ErrUnclear
		}
	}
}

func (l *KeyedLog) newest(ctx context.Context, client, topic, after string) (recorder.Page, error) {
	if _, err := l.pass(ctx, client, "newest", topic); err != nil {
		return recorder.Page{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	values := map[string][]byte{}
	for _, i := range l.topics[topic] {
		values[i.Key] = i.Value
	}
	var p recorder.Page
	p.End = int64(len(l.topics[topic]))
	keys := make([]string, 0, len(values))
	for k, v := range values {
		if k > after && len(v) > 0 {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	if len(keys) > pageItems {
		keys, p.More = keys[:pageItems], true
	}
	for _, k := range keys {
		p.Items = append(p.Items, recorder.Item{Key: k, Value: values[k]})
	}
	return p, nil
}
