package dialer

import (
	"net"
	"sync"
	"sync/atomic"
)

type (
	// connection is an open connection to an address.
	connection struct {
		net.Conn
		calls atomic.Int32
		gone  func(*connection)
		once  sync.Once
	}

	// connections are those that are open, by address. They are safe for
	// concurrent use.
	connections struct {
		mu   sync.Mutex
		open map[string]map[*connection]bool
	}
)

// Close closes the connection and forgets it.
func (c *connection) Close() error {
	c.once.Do(func() { c.gone(c) })
	return c.Conn.Close()
}

func newConnections() *connections { return &connections{open: map[string]map[*connection]bool{}} }

// add takes note of a new connection to an address.
func (s *connections) add(address string, n net.Conn) *connection {
	c := &connection{Conn: n, gone: func(c *connection) { s.remove(address, c) }}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[address] == nil {
		s.open[address] = map[*connection]bool{}
	}
	s.open[address][c] = true
	return c
}

func (s *connections) remove(address string, c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open[address], c)
	if len(s.open[address]) == 0 {
		delete(s.open, address)
	}
}

// closeIdle closes the connections to an address that carry no call. What lost
// track of one connection may have lost track of those that were open with it,
// and an idle one shows nothing until it is used.
func (s *connections) closeIdle(address string) {
	for _, c := range s.idle(address) {
		_ = c.Close()
	}
}

func (s *connections) idle(address string) []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idle []*connection
	for c := range s.open[address] {
		if c.calls.Load() == 0 {
			idle = append(idle, c)
		}
	}
	return idle
}
