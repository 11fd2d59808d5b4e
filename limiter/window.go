package limiter

import "sync/atomic"

type (
	// Window bounds the attempts in flight at one executor by what its answers
	// report: it shrinks while requests wait there for a slot and grows again
	// while none does. It is safe for concurrent use. The zero value is closed to one.
	Window struct {
		size atomic.Int64
	}
)

const (
	windowUnit = 256
	// Each answer that reports waiting cuts the window by 1/windowCut.
	windowCut = 8
)

// NewWindow gives a window of n attempts.
func NewWindow(n int) *Window {
	w := &Window{}
	w.size.Store(int64(n) * windowUnit)
	return w
}

// Limit gives the attempts that may be in flight, at least 1 and at most share.
func (w *Window) Limit(share int) int {
	return max(min(int(w.size.Load()/windowUnit), share), min(1, share))
}

// Observe takes the number of requests that an answer reports as waiting.
func (w *Window) Observe(waiting, share int) {
	size := max(w.size.Load(), windowUnit)
	next := size + windowUnit*windowUnit/size
	if waiting > 0 {
		next = size - size/windowCut
	}
	next = min(max(next, windowUnit), int64(max(share, 1))*windowUnit)
	w.size.CompareAndSwap(size, next)
}

// Reset opens the window to n attempts.
func (w *Window) Reset(n int) { w.size.Store(int64(n) * windowUnit) }
