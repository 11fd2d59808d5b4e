package clock

import "sync/atomic"

type (
	// Manual is a time source for tests that changes only when Advance is called. It is
	// safe for concurrent use.
	Manual struct {
		now atomic.Int64
	}
)

// NewManual returns a time source set to start.
func NewManual(start Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))
	return m
}

// Now returns start plus the sum of all advances.
func (m *Manual) Now() Millis { return Millis(m.now.Load()) }

// Advance moves the time forward by d and returns the new time.
func (m *Manual) Advance(d Millis) Millis { return Millis(m.now.Add(int64(d))) }
