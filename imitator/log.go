// Package imitator has small stand-ins for the platform: its log, list of
// hosts, workers and executors, with a switch for each of their faults. They
// take their time from a function, so that tests run in virtual time.
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
	// Log is a stand-in for the platform's log. It is safe for concurrent use.
	Log struct {
		mu        sync.Mutex
		now       func() clock.Millis
		retention clock.Millis
		perSecond int
		streams   map[string]*stream
		faults    LogFaults
		second    clock.Millis
		appended  int
		total     int64
	}

	// LogFaults are the switches of a Log.
	LogFaults struct {
		// Down refuses everything.
		Down bool `json:"down"`
		// LoseAnswers is how many of the next appends take effect without
		// an answer.
		LoseAnswers int `json:"lose-answers"`
		// Delay is how long each call takes over HTTP.
		Delay clock.Millis `json:"delay"`
	}

	// LogOption sets up a Log.
	LogOption func(*Log)

	stream struct {
		oldest  provider.Offset
		entries []kept
	}

	kept struct {
		data []byte
		at   clock.Millis
	}
)

const (
	// MaxRecord is the most bytes of one record.
	MaxRecord = 1 << 20

	defaultRetention = 7 * clock.Day
	defaultPerSecond = 300
)

var (
	errAnswerLost = errors.New("the answer was lost")
)

// NewLog gives an empty log.
func NewLog(opts ...LogOption) *Log {
	l := &Log{now: clock.System, retention: defaultRetention, perSecond: defaultPerSecond, streams: map[string]*stream{}}
	for _, o := range opts {
		o(l)
	}
	return l
}

// WithLogClock sets where a Log takes its time from.
func WithLogClock(now func() clock.Millis) LogOption { return func(l *Log) { l.now = now } }

// WithRetention sets how long a Log keeps records.
func WithRetention(m clock.Millis) LogOption { return func(l *Log) { l.retention = m } }

// WithAppendsPerSecond sets how many appends a Log takes in a second.
func WithAppendsPerSecond(n int) LogOption { return func(l *Log) { l.perSecond = n } }

// SetFaults sets the switches.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Faults gives the switches.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Appends gives the number of appends that took effect.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Discard drops the records of a stream below an offset, as retention does.
func (l *Log) Discard(name string, before provider.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	n := max(0, min(int(before-s.oldest), len(s.entries)))
	s.entries = slices.Delete(s.entries, 0, n)
	s.oldest += provider.Offset(n)
}

// Provider gives the log as daemons see it.
func (l *Log) Provider() provider.Log {
	return provider.Log{Append: l.append, Read: l.read}
}

func (l *Log) append(_ context.Context, name string, records [][]byte) (provider.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.admit(records); err != nil {
		return 0, err
	}
	s := l.stream(name)
	first := s.next()
	for _, r := range records {
		s.entries = append(s.entries, kept{data: slices.Clone(r), at: l.now()})
	}
	l.total++
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return 0, errAnswerLost
	}
	return first, nil
}

func (l *Log) admit(records [][]byte) error {
	if l.faults.Down {
		return coder.New(coder.LogDown, "Log.Append: the log is down")
	}
	for _, r := range records {
		if len(r) > MaxRecord {
			return coder.New(coder.TooLarge, "Log.Append: a record of %d bytes is over %d", len(r), MaxRecord)
		}
	}
	if s := l.now() / clock.Second; s != l.second {
		l.second = s
		l.appended = 0
	}
	if l.appended >= l.perSecond {
		return coder.New(coder.RateLimited, "Log.Append: more than %d appends in a second", l.perSecond)
	}
	l.appended++
	return nil
}

func (l *Log) read(_ context.Context, name string, from provider.Offset, limit int) (provider.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return provider.Page{}, coder.New(coder.LogDown, "Log.Read: the log is down")
	}
	s := l.stream(name)
	s.discard(l.now() - l.retention)
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

func (s *stream) discard(before clock.Millis) {
	n := 0
	for n < len(s.entries) && s.entries[n].at < before {
		n++
	}
	s.entries = slices.Delete(s.entries, 0, n)
	s.oldest += provider.Offset(n)
}
