package dispatcher

import (
	"sync"
	"sync/atomic"
)

type (
	// calls finds calls by team and request id: those in flight, and answered ones for
	// some time. It is bounded: when a generation is full, the one before it is forgotten. A
	// request that is forgotten runs again, which an idempotent one may.
	calls struct {
		generations atomic.Pointer[generations]
	}

	generations struct {
		current  *generation
		previous *generation
	}

	generation struct {
		calls sync.Map
		count atomic.Int64
		bytes atomic.Int64
	}

	callKey struct {
		team string
		id   string
	}
)

const (
	// A generation holds at most about maxCalls calls and maxCallBytes bytes of answers.
	maxCalls     = 4096
	maxCallBytes = 2 << 20
)

func newCalls() *calls {
	c := &calls{}
	c.generations.Store(&generations{current: &generation{}, previous: &generation{}})
	return c
}

// join gives the call of a key, which is the one given where there was none.
func (c *calls) join(k callKey, fresh *call) (joined *call, first bool) {
	g := c.generations.Load()
	if old, ok := g.previous.calls.Load(k); ok {
		return old.(*call), false
	}
	got, loaded := g.current.calls.LoadOrStore(k, fresh)
	if !loaded {
		g.current.count.Add(1)
	}
	return got.(*call), !loaded
}

// forget drops a call that wasn't answered in full, so that the next request runs.
func (c *calls) forget(k callKey, old *call) {
	g := c.generations.Load()
	g.previous.calls.CompareAndDelete(k, old)
	if g.current.calls.CompareAndDelete(k, old) {
		g.current.count.Add(-1)
	}
}

// keep takes note of the size of an answer.
func (c *calls) keep(bytes int) { c.generations.Load().current.bytes.Add(int64(bytes)) }

// rotate begins a new generation where the current one is full. It is called by one goroutine.
func (c *calls) rotate() {
	g := c.generations.Load()
	if g.current.count.Load() < maxCalls && g.current.bytes.Load() < maxCallBytes {
		return
	}
	c.generations.Store(&generations{current: &generation{}, previous: g.current})
}
