package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

// recorder writes what was sent, answered and run to a file, with the time since its creation.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	since clock.Millis
	// counts has how often each repeated line came.
	counts map[string]int
}

// repeatedLines is how many lines of the same subject writeEvery writes in full.
const repeatedLines = 5

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "record")
	}
	return &recorder{file: f, out: bufio.NewWriter(f), since: clock.System(), counts: map[string]int{}}, nil
}

// now returns the time since the start.
func (r *recorder) now() clock.Millis { return clock.System() - r.since }

func (r *recorder) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An error shows at close.
	_, _ = fmt.Fprintf(r.out, "%8d ms  %s\n", int64(r.now()), fmt.Sprintf(format, args...))
}

// writeEvery writes the first lines of a subject and counts the others.
func (r *recorder) writeEvery(subject, format string, args ...any) {
	r.mu.Lock()
	r.counts[subject]++
	n := r.counts[subject]
	r.mu.Unlock()
	if n <= repeatedLines {
		r.write(subject+": "+format, args...)
	}
}

// close writes the counts and closes the file.
func (r *recorder) close() error {
	for k, n := range r.counts {
		r.write("in all %d times: %s", n, k)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return errors.Wrap(err, "record")
	}
	return errors.Wrap(r.file.Close(), "record")
}
