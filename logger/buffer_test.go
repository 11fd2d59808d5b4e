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

type writes struct {
	mu  sync.Mutex
	all []string
}

func (w *writes) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all = append(w.all, string(p))
	return len(p), nil
}

func TestBufferWritesWholeLines(t *testing.T) {
	var w writes
	b := NewBuffer(&w, func(int64) {})
	line := strings.Repeat("x", 1500) + "\n"
	for range 9 {
		_, err := b.Write([]byte(line))
		must.NoError(t, err)
	}
	b.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	must.Eq(t, strings.Repeat(line, 9), strings.Join(w.all, ""))
	for _, s := range w.all {
		must.LessEq(t, atomicWrite, len(s))
		must.StrHasSuffix(t, "\n", s)
	}
}

// TestBufferOfAStuckReader writes to a pipe that nobody reads: no line waits, and the
// lines left out are counted once somebody reads.
func TestBufferOfAStuckReader(t *testing.T) {
	r, w, err := os.Pipe()
	must.NoError(t, err)
	leftOut := make(chan int64, 8)
	b := NewBuffer(w, func(n int64) { leftOut <- n })
	line := bytes.Repeat([]byte("y"), 1023)
	line = append(line, '\n')
	for range 4 * bufferLimit / len(line) {
		_, err := b.Write(line)
		must.NoError(t, err)
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	must.Positive(t, <-leftOut)
	b.Close()
	must.NoError(t, w.Close())
}
