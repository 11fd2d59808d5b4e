package limiter

import "sync/atomic"

type (
	// Window is an adaptive limit of the attempts in flight at one executor (additive
	// increase, multiplicative decrease). It shrinks while answers report requests waiting
	// for a slot, and grows otherwise. The zero value allows one attempt. It is safe for
	// concurrent use.
	Window struct {
		// size is the limit in units of 1/windowUnit attempts.
		size atomic.Int64
	}
)

const (
	// windowUnit is the number of internal units in one attempt.
	windowUnit = 256
	// decreaseDivisor sets the decrease: an answer that reports waiting requests reduces
	// the window by 1/decreaseDivisor of its size.
	decreaseDivisor = 8
)

// NewWindow returns a window of n attempts.
func NewWindow(n int) *Window {
	w := &Window{}
	w.size.Store(int64(n) * windowUnit)
	return w
}

// Limit returns how many attempts may be in flight: at least 1 and at most share, or 0 for
// a share of 0.
func (w *Window) Limit(share int) int {
	return max(min(int(w.size.Load()/windowUnit), share), min(1, share))
}

// Observe adjusts the window after an answer that reports the number of requests waiting
// at the executor. It shrinks if any are waiting; otherwise it grows by about one attempt
// per window of answers, up to share.
func (w *Window) Observe(waiting, share int) {
	size := max(w.size.Load(), windowUnit)
	next := size + windowUnit*windowUnit/size
	if waiting > 0 {
		next = size - size/decreaseDivisor
	}
	next = min(max(next, windowUnit), int64(max(share, 1))*windowUnit)
	w.size.CompareAndSwap(size, next)
}

// Reset sets the window to n attempts.
func (w *Window) Reset(n int) { w.size.Store(int64(n) * windowUnit) }
