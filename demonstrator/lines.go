package demonstrator

import (
	"io"
	"sync"
)

type (
	// lines lets several goroutines write whole lines.
	lines struct {
		mu sync.Mutex
		to io.Writer
	}
)

// Write writes whole lines.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.to.Write(p)
}
