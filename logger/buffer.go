package logger

import (
	"bytes"
	"io"
	"sync"
	"time"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Buffer passes lines on to a writer without ever waiting for it. Lines that
	// come while it is full are left out and counted.
	Buffer struct {
		mu      sync.Mutex
		lines   []byte
		spare   []byte
		leftOut int64
		limit   int
		wake    chan struct{}
		close   chan struct{}
		ended   chan struct{}
	}
)

const (
	// bufferLimit bounds the memory for lines: about a thousand.
	bufferLimit = 256 << 10
	// gather is how long lines are gathered into one write.
	gather = 200 * clock.Millis(1)
	// atomicWrite is how much a pipe takes at once without mixing it with what others
	// write; a longer line is written alone.
	atomicWrite = 4096
	// closeLimit is how long Close waits for a stuck writer.
	closeLimit = 200 * clock.Millis(1)
)

// NewBuffer returns a buffer before w. leftOut is called with the number of lines
// left out since the last call, before the next write.
func NewBuffer(w io.Writer, leftOut func(int64)) *Buffer {
	b := &Buffer{limit: bufferLimit, wake: make(chan struct{}, 1), close: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(b.ended)
		for {
			select {
			case <-b.wake:
			case <-b.close:
				b.flush(w, leftOut)
				return
			}
			t := time.NewTimer(gather.Duration())
			select {
			case <-t.C:
			case <-b.close:
				t.Stop()
			}
			b.flush(w, leftOut)
		}
	}()
	return b
}

// Write takes in a line. It never waits and never fails.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	if len(b.lines)+len(p) > b.limit {
		b.leftOut++
	} else {
		b.lines = append(b.lines, p...)
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Close writes what is left, unless the writer is stuck.
func (b *Buffer) Close() {
	close(b.close)
	t := time.NewTimer(closeLimit.Duration())
	defer t.Stop()
	select {
	case <-b.ended:
	case <-t.C:
	}
}

func (b *Buffer) flush(w io.Writer, report func(int64)) {
	b.mu.Lock()
	n := b.leftOut
	b.leftOut = 0
	b.mu.Unlock()
	if n > 0 {
		report(n)
	}
	b.mu.Lock()
	out := b.lines
	b.lines = b.spare[:0]
	b.mu.Unlock()
	for rest := out; len(rest) > 0; {
		n := wholeLines(rest, atomicWrite)
		// There is nowhere to report that the log can't be written.
		_, _ = w.Write(rest[:n])
		rest = rest[n:]
	}
	b.mu.Lock()
	b.spare = out
	b.mu.Unlock()
}

// wholeLines returns how many bytes of b are the lines that fit a limit, at least one.
func wholeLines(b []byte, limit int) int {
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
