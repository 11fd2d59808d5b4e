package clock

import "sync/atomic"

type (
	// Manual is a time source that moves only when told. It is safe for
	// concurrent use.
	Manual struct {
		now atomic.Int64
	}
)

// NewManual gives a time source that stands at start.
func NewManual(start Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))
	return m
}

// Now gives the time it stands at.
func (m *Manual) Now() Millis { return Millis(m.now.Load()) }

// Advance moves it forward by d and gives the new time.
func (m *Manual) Advance(d Millis) Millis { return Millis(m.now.Add(int64(d))) }
