package dispatcher

import (
	"sync"
	"sync/atomic"
)

type (
	// callCache maps team and request id to calls in flight and recently answered calls, so
	// that a repeated request gets the same answer. To bound its size it keeps two
	// generations: when the current one is full, it replaces the previous one. A repeated
	// request that is no longer cached runs again, which is safe for idempotent requests.
	callCache struct {
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
	// Soft limits of a generation: the number of calls, and the bytes of their answers.
	maxCalls     = 4096
	maxCallBytes = 2 << 20
)

func newCallCache() *callCache {
	c := &callCache{}
	c.generations.Store(&generations{current: &generation{}, previous: &generation{}})
	return c
}

// loadOrStore returns the call of a key. If there is none, it stores candidate and
// returns that, with created true.
func (c *callCache) loadOrStore(k callKey, candidate *call) (joined *call, created bool) {
	g := c.generations.Load()
	if old, ok := g.previous.calls.Load(k); ok {
		return old.(*call), false
	}
	got, loaded := g.current.calls.LoadOrStore(k, candidate)
	if !loaded {
		g.current.count.Add(1)
	}
	return got.(*call), !loaded
}

// remove drops a call that did not succeed, so that a repeated request runs again.
func (c *callCache) remove(k callKey, old *call) {
	g := c.generations.Load()
	g.previous.calls.CompareAndDelete(k, old)
	if g.current.calls.CompareAndDelete(k, old) {
		g.current.count.Add(-1)
	}
}

// addBytes adds the size of an answer to the current generation.
func (c *callCache) addBytes(bytes int) { c.generations.Load().current.bytes.Add(int64(bytes)) }

// rotate starts a new generation if the current one is full. Only one goroutine may call
// it.
func (c *callCache) rotate() {
	g := c.generations.Load()
	if g.current.count.Load() < maxCalls && g.current.bytes.Load() < maxCallBytes {
		return
	}
	c.generations.Store(&generations{current: &generation{}, previous: g.current})
}
