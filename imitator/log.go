// Package imitator provides in-memory fakes of the platform for tests and demos: its
// log, store, list of hosts, workers and executors, with injectable faults.
//
// Log, Hosts, Worker and Executor belong to the platform of package provider; they get
// the time from a function, so that tests can run in virtual time. KeyedLog, Pool and
// Policy belong to the platform of packages recorder and conductor; they use the system
// clock, which tests make virtual with testing/synctest.
package imitator

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Log is an in-memory fake of the platform's log. It is safe for concurrent use.
	Log struct {
		mu              sync.Mutex
		now             func() clock.Millis
		retention       clock.Millis
		perSecond       int
		streams         map[string]*stream
		faults          LogFaults
		rateWindow      clock.Millis
		appendsInWindow int
		appends         int64
	}

	// LogFaults are the faults that a Log injects.
	LogFaults struct {
		// Down makes every call fail.
		Down bool `json:"down"`
		// LoseAnswers is how many of the next appends take effect but return an error,
		// as if the response was lost.
		LoseAnswers int `json:"lose-answers"`
		// Delay is the delay of each call over HTTP.
		Delay clock.Millis `json:"delay"`
	}

	// LogOption configures a Log.
	LogOption func(*Log)

	stream struct {
		oldest  provider.Offset
		entries []storedRecord
	}

	storedRecord struct {
		data []byte
		at   clock.Millis
	}
)

const (
	// MaxRecord is the maximum size of a record in bytes.
	MaxRecord = 1 << 20

	defaultRetention = 7 * clock.Day
	defaultPerSecond = 300
)

var (
	errResponseLost = errors.New("the response was lost")
)

// NewLog returns an empty log.
func NewLog(opts ...LogOption) *Log {
	l := &Log{now: clock.System, retention: defaultRetention, perSecond: defaultPerSecond, streams: map[string]*stream{}}
	for _, o := range opts {
		o(l)
	}
	return l
}

// WithLogClock sets the clock of a Log. The default is clock.System.
func WithLogClock(now func() clock.Millis) LogOption { return func(l *Log) { l.now = now } }

// WithRetention sets how long a Log keeps records. The default is 7 days.
func WithRetention(m clock.Millis) LogOption { return func(l *Log) { l.retention = m } }

// WithAppendsPerSecond sets the rate limit of appends. The default is 300 per second.
func WithAppendsPerSecond(n int) LogOption { return func(l *Log) { l.perSecond = n } }

// SetFaults sets the faults to inject from now on.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Faults returns the faults that are being injected.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Discard deletes the records of a stream below an offset, as retention does.
func (l *Log) Discard(name string, before provider.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	n := max(0, min(int(before-s.oldest), len(s.entries)))
	s.entries = slices.Delete(s.entries, 0, n)
	s.oldest += provider.Offset(n)
}

// Provider returns a client of the log.
func (l *Log) Provider() provider.Log {
	return provider.Log{Append: l.append, Read: l.read}
}

func (l *Log) append(_ context.Context, name string, records [][]byte) (provider.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkAppend(records); err != nil {
		return 0, err
	}
	s := l.stream(name)
	first := s.next()
	for _, r := range records {
		s.entries = append(s.entries, storedRecord{data: slices.Clone(r), at: l.now()})
	}
	l.appends++
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return 0, errResponseLost
	}
	return first, nil
}

// checkAppend returns an error if the log is down, a record is too large or the rate
// limit is reached. Otherwise it counts the append towards the limit.
func (l *Log) checkAppend(records [][]byte) error {
	if l.faults.Down {
		return coder.New(coder.LogDown, "Log.Append: the log is down")
	}
	for _, r := range records {
		if len(r) > MaxRecord {
			return coder.New(coder.TooLarge, "Log.Append: a record of %d bytes is over %d", len(r), MaxRecord)
		}
	}
	if s := l.now() / clock.Second; s != l.rateWindow {
		l.rateWindow = s
		l.appendsInWindow = 0
	}
	if l.appendsInWindow >= l.perSecond {
		return coder.New(coder.RateLimited, "Log.Append: more than %d appends in a second", l.perSecond)
	}
	l.appendsInWindow++
	return nil
}

func (l *Log) read(_ context.Context, name string, from provider.Offset, limit int) (provider.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return provider.Page{}, coder.New(coder.LogDown, "Log.Read: the log is down")
	}
	s := l.stream(name)
	s.expire(l.now() - l.retention)
	p := provider.Page{Oldest: s.oldest, Next: s.next()}
	from = max(from, s.oldest)
	for o := from; o < s.next() && len(p.Entries) < limit; o++ {
		p.Entries = append(p.Entries, provider.Entry{Offset: o, Data: s.entries[o-s.oldest].data})
	}
	return p, nil
}

func (l *Log) stream(name string) *stream {
	s, known := l.streams[name]
	if !known {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() provider.Offset { return s.oldest + provider.Offset(len(s.entries)) }

// expire deletes the records that were appended before a time.
func (s *stream) expire(before clock.Millis) {
	n := 0
	for n < len(s.entries) && s.entries[n].at < before {
		n++
	}
	s.entries = slices.Delete(s.entries, 0, n)
	s.oldest += provider.Offset(n)
}
