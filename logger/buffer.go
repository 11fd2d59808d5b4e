package logger

import (
	"bytes"
	"io"
	"sync"
	"time"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Buffer is an asynchronous, non-blocking writer in front of a slow one, such as a
	// pipe. A background goroutine batches the lines into writes. Lines that arrive
	// while the buffer is full are dropped and counted.
	Buffer struct {
		mu       sync.Mutex
		pending  []byte
		recycled []byte
		dropped  int64
		maxBytes int
		wake     chan struct{}
		stop     chan struct{}
		done     chan struct{}
	}
)

const (
	// maxBufferedBytes holds about a thousand lines.
	maxBufferedBytes = 256 << 10
	// flushDelay is the time during which lines are batched into one write.
	flushDelay = 200 * clock.Millis(1)
	// atomicWriteBytes is Linux's PIPE_BUF: a write to a pipe of at most this size is
	// not interleaved with the writes of other processes. A longer line is written on
	// its own.
	atomicWriteBytes = 4096
	// closeTimeout is how long Close waits for a blocked writer.
	closeTimeout = 200 * clock.Millis(1)
)

// NewBuffer returns a buffer in front of w. Before a flush, onDropped is called with the
// number of lines dropped since its last call, if there are any. Close ends the
// background goroutine.
func NewBuffer(w io.Writer, onDropped func(int64)) *Buffer {
	b := &Buffer{maxBytes: maxBufferedBytes, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for {
			select {
			case <-b.wake:
			case <-b.stop:
				b.flush(w, onDropped)
				return
			}
			t := time.NewTimer(flushDelay.Duration())
			select {
			case <-t.C:
			case <-b.stop:
				t.Stop()
			}
			b.flush(w, onDropped)
		}
	}()
	return b
}

// Write appends a line to the buffer or drops it if the buffer is full. It doesn't wait
// for the underlying writer, and its error is always nil.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	if len(b.pending)+len(p) > b.maxBytes {
		b.dropped++
	} else {
		b.pending = append(b.pending, p...)
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Close flushes the buffered lines and returns after closeTimeout at the latest, even if
// the underlying writer is blocked. It must be called only once.
func (b *Buffer) Close() {
	close(b.stop)
	t := time.NewTimer(closeTimeout.Duration())
	defer t.Stop()
	select {
	case <-b.done:
	case <-t.C:
	}
}

func (b *Buffer) flush(w io.Writer, onDropped func(int64)) {
	b.mu.Lock()
	n := b.dropped
	b.dropped = 0
	b.mu.Unlock()
	if n > 0 {
		// The lock is not held: onDropped may log to b.
		onDropped(n)
	}
	b.mu.Lock()
	out := b.pending
	b.pending = b.recycled[:0]
	b.mu.Unlock()
	for rest := out; len(rest) > 0; {
		n := wholeLinesLen(rest, atomicWriteBytes)
		// A failed write is ignored: the log is the only place to report it.
		_, _ = w.Write(rest[:n])
		rest = rest[n:]
	}
	b.mu.Lock()
	b.recycled = out
	b.mu.Unlock()
}

// wholeLinesLen returns the length of the longest prefix of b that consists of whole
// lines and has at most limit bytes. If the first line is longer than limit, it returns
// the length of that line.
func wholeLinesLen(b []byte, limit int) int {
	if len(b) <= limit {
		return len(b)
	}
	if n := bytes.LastIndexByte(b[:limit], '\n'); n >= 0 {
		return n + 1
	}
	if n := bytes.IndexByte(b, '\n'); n >= 0 {
		return n + 1
	}
	return len(b)
}
