package demonstrator

import (
	"io"
	"sync"
)

type (
	// lineWriter is an io.Writer that is safe for concurrent use: lines of concurrent
	// writes don't interleave.
	lineWriter struct {
		mu sync.Mutex
		to io.Writer
	}
)

// Write writes p, which must be one or more complete lines.
func (l *lineWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.to.Write(p)
}
