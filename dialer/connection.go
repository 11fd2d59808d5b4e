package dialer

import (
	"net"
	"sync"
	"sync/atomic"
)

type (
	// connection is an open connection that counts the calls in flight on it.
	connection struct {
		net.Conn
		inFlight atomic.Int32
		onClose  func(*connection)
		once     sync.Once
	}

	// connections holds the open connections by address. It is safe for concurrent use.
	connections struct {
		mu   sync.Mutex
		open map[string]map[*connection]bool
	}
)

// Close closes the connection and removes it from the set of open connections.
func (c *connection) Close() error {
	c.once.Do(func() { c.onClose(c) })
	return c.Conn.Close()
}

func newConnections() *connections { return &connections{open: map[string]map[*connection]bool{}} }

// add registers a new connection to an address.
func (s *connections) add(address string, n net.Conn) *connection {
	c := &connection{Conn: n, onClose: func(c *connection) { s.remove(address, c) }}
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

// closeIdle closes the connections to an address that have no call in flight. It is called
// when a call on another connection to the address stalled: a proxy or firewall that lost
// the state of that connection may have lost the others too, and an idle connection shows
// no sign of it until it is used.
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
		if c.inFlight.Load() == 0 {
			idle = append(idle, c)
		}
	}
	return idle
}
