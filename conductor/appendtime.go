package conductor

import (
	"sync"

	"galenawharf.example/galenawharf/clock"
)

// appendTimer predicts how long a change that is made now takes to be stored. Changes are gathered
// while an append is under way and stored by the next one. It is safe for concurrent use.
type appendTimer struct {
	mu sync.Mutex
	// began is when the append under way began, 0 if none is.
	began clock.Millis
	// last is how long the last append took, and endedAt when it ended.
	last, endedAt clock.Millis
}

// appendMemory is how long the time of an append says something about the next one. A leader with
// work appends several times a second, also while the store is slow.
const appendMemory = clock.Second

// begin must be called before an append.
func (a *appendTimer) begin(now clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.began = now
}

// end must be called after an append.
func (a *appendTimer) end(now clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last, a.endedAt, a.began = now-a.began, now, 0
}

// wait returns the predicted time until a change made now is stored. An append that already takes
// longer than the last one is expected to take as long again, and so is the next one.
func (a *appendTimer) wait(now clock.Millis) clock.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := a.last
	if now-a.endedAt > appendMemory && a.began == 0 {
		last = 0
	}
	if a.began == 0 {
		return last
	}
	elapsed := now - a.began
	if elapsed > last {
		return elapsed + elapsed
	}
	return last - elapsed + last
}
