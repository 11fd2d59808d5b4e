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
	// KeyedLog is an in-memory fake of the platform's store. Each topic of the store is a
	// log of keyed records, to which a client can append on the condition that the topic
	// still ends where the client expects. It is safe for concurrent use.
	KeyedLog struct {
		mu     sync.Mutex
		topics map[string][]recorder.Item
		// changed is closed and replaced when records are added.
		changed chan struct{}
		fault   func(client, call, topic string) StoreFault
		latency clock.Millis
	}

	// StoreFault is the fault injected into one call.
	StoreFault int
)

// Faults of calls to the store.
const (
	// StoreFine injects no fault.
	StoreFine StoreFault = iota
	// StoreRefuses makes the call fail with recorder.ErrRefused, without effect.
	StoreRefuses
	// StoreSilent makes the call time out, without effect.
	StoreSilent
	// StoreLosesAnswer makes an append take effect and then time out. It has no effect
	// on other calls.
	StoreLosesAnswer
	// StoreLate makes an append time out and take effect after lateDelay, if its
	// condition still holds then. It has no effect on other calls.
	StoreLate
)

const (
	lateDelay = 2 * clock.Second
	// pageItems is the maximum number of items in a page of ReadNewest.
	pageItems = 500
)

// NewKeyedLog returns an empty store whose calls take latency. fault returns the fault to
// inject into a call, given the name of the client, the call ("append", "read" or
// "newest") and the topic; if fault is nil, none is injected.
func NewKeyedLog(latency clock.Millis, fault func(client, call, topic string) StoreFault) *KeyedLog {
	if fault == nil {
		fault = func(string, string, string) StoreFault { return StoreFine }
	}
	return &KeyedLog{topics: map[string][]recorder.Item{}, changed: make(chan struct{}), fault: fault, latency: latency}
}

// Client returns a client of the store. name identifies it to the fault function.
func (l *KeyedLog) Client(name string) recorder.Store {
	return recorder.Store{
		Append: func(ctx context.Context, topic string, at int64, items []recorder.Item) (int64, error) {
			return l.append(ctx, name, topic, at, items)
		},
		Read: func(ctx context.Context, topic string, from int64, wait clock.Millis) ([]recorder.Item, int64, error) {
			return l.read(ctx, name, topic, from, wait)
		},
		ReadNewest: func(ctx context.Context, topic, after string) (recorder.Page, error) {
			return l.newest(ctx, name, topic, after)
		},
	}
}

// Put appends items unconditionally and without faults, as another writer would.
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
	close(l.changed)
	l.changed = make(chan struct{})
}

// beginCall sleeps for the latency of a call and chooses its fault. It returns an error
// if the call must have no effect.
func (l *KeyedLog) beginCall(ctx context.Context, client, call, topic string) (StoreFault, error) {
	if !recorder.Sleep(ctx, l.latency) {
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
	f, err := l.beginCall(ctx, client, "append", topic)
	if err != nil {
		return 0, err
	}
	if f == StoreLate {
		time.AfterFunc(lateDelay.Duration(), func() { _, _ = l.appendAt(topic, at, items) })
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

// appendAt appends items if at is the end of the topic or recorder.AnyEnd, and returns
// the end of the topic.
func (l *KeyedLog) appendAt(topic string, at int64, items []recorder.Item) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end := int64(len(l.topics[topic])); at != recorder.AnyEnd && end != at {
		return end, recorder.ErrOffsetConflict
	}
	l.add(topic, items)
	return int64(len(l.topics[topic])), nil
}

func (l *KeyedLog) read(ctx context.Context, client, topic string, from int64, wait clock.Millis) ([]recorder.Item, int64, error) {
	if _, err := l.beginCall(ctx, client, "read", topic); err != nil {
		return nil, 0, err
	}
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	for {
		l.mu.Lock()
		items, changed := l.topics[topic], l.changed
		l.mu.Unlock()
		if int64(len(items)) > from {
			return slices.Clone(items[from:]), int64(len(items)), nil
		}
		if wait <= 0 {
			// Goroutines that find a timer of one synctest bubble due at once crash the race
			// detector (Go 1.26).
			return nil, from, nil
		}
		select {
		case <-changed:
		case <-t.C:
			return nil, from, nil
		case <-ctx.Done():
			return nil, 0, recorder.ErrUnclear
		}
	}
}

func (l *KeyedLog) newest(ctx context.Context, client, topic, after string) (recorder.Page, error) {
	if _, err := l.beginCall(ctx, client, "newest", topic); err != nil {
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
