package demonstrator

import (
	"io"
	"sync"
)

type (
	// lineWriter is an io.Writer that is safe for concurrent use. Writes don't
	// interleave, so whole lines stay whole.
	lineWriter struct {
		mu sync.Mutex
		to io.Writer
	}
)

// Write writes p, which is one or more whole lines.
func (l *lineWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.to.Write(p)
}
