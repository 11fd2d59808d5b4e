package logger

import (
	"sync"

	"galenawharf.example/galenawharf/clock"
)

// Limited logs a bounded number of lines in any second, for events that whoever writes malformed
// messages can cause at will. It is safe for concurrent use.
type Limited struct {
	now  func() clock.Millis
	emit func(Event, ...Field)

	mu sync.Mutex
	// times are those of the last lines, at the index of their number modulo their count; 0 for
	// none.
	times []clock.Millis
	// lines is the number of lines, suppressed that of the events since the last one.
	lines, suppressed int
}

// NewLimited returns a Limited that passes at most perSecond events in any second to emit. now is a
// monotonic clock whose readings are above 0.
func NewLimited(emit func(Event, ...Field), now func() clock.Millis, perSecond int) *Limited {
	return &Limited{now: now, emit: emit, times: make([]clock.Millis, perSecond)}
}

// Emit logs an event with its fields and the number of those that were not logged before it, unless
// the last second has had as many lines as are allowed.
func (l *Limited) Emit(e Event, fields ...Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest, now := &l.times[l.lines%len(l.times)], l.now()
	if *oldest != 0 && now-*oldest < clock.Second {
		l.suppressed++
		return
	}
	*oldest = now
	l.lines++
	l.emit(e, append(fields, Int("suppressed", int64(l.suppressed)))...)
	l.suppressed = 0
}
