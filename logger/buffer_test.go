package logger

import (
	"bytes"
	"io"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

type recordingWriter struct {
	mu     sync.Mutex
	writes []string
}

func (w *recordingWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes = append(w.writes, string(p))
	return len(p), nil
}

func TestBufferWritesWholeLines(t *testing.T) {
	var w recordingWriter
	b := NewBuffer(&w, func(int64) {})
	line := strings.Repeat("x", 1500) + "\n"
	for range 9 {
		_, err := b.Write([]byte(line))
		must.NoError(t, err)
	}
	b.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	must.Eq(t, strings.Repeat(line, 9), strings.Join(w.writes, ""))
	for _, s := range w.writes {
		must.LessEq(t, atomicWriteBytes, len(s))
		must.StrHasSuffix(t, "\n", s)
	}
}

// TestBufferDropsLinesWhileReaderIsStuck fills a pipe that nobody reads. It checks that
// writes to the buffer don't block, and that the dropped lines are reported once the pipe
// is read.
func TestBufferDropsLinesWhileReaderIsStuck(t *testing.T) {
	r, w, err := os.Pipe()
	must.NoError(t, err)
	dropped := make(chan int64, 8)
	b := NewBuffer(w, func(n int64) { dropped <- n })
	line := bytes.Repeat([]byte("y"), 1023)
	line = append(line, '\n')
	for range 4 * maxBufferedBytes / len(line) {
		_, err := b.Write(line)
		must.NoError(t, err)
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	must.Positive(t, <-dropped)
	b.Close()
	must.NoError(t, w.Close())
}
