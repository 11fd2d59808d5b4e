package dialer

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
)

type (
	// blackholeProxy forwards connections to a server. Once blackhole is called, it drops
	// what clients send on the connections that are open then, without closing them.
	blackholeProxy struct {
		listener net.Listener
		server   string
		// dropped receives one value for each request that was dropped.
		dropped chan struct{}
		mu      sync.Mutex
		conns   []*proxiedConn
		done    sync.WaitGroup
	}

	proxiedConn struct {
		mu         sync.Mutex
		blackholed bool
		client     net.Conn
		server     net.Conn
	}
)

func newBlackholeProxy(t *testing.T, server string) *blackholeProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	m := &blackholeProxy{listener: l, server: server, dropped: make(chan struct{}, 16)}
	m.done.Go(m.accept)
	return m
}

func (m *blackholeProxy) accept() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", m.server)
		if err != nil {
			_ = c.Close()
			return
		}
		p := &proxiedConn{client: c, server: s}
		m.mu.Lock()
		m.conns = append(m.conns, p)
		m.mu.Unlock()
		m.done.Go(func() { m.forward(p) })
		m.done.Go(func() { _, _ = io.Copy(c, s); _ = c.Close() })
	}
}

func (m *blackholeProxy) forward(p *proxiedConn) {
	buffer := make([]byte, 4096)
	for {
		n, err := p.client.Read(buffer)
		if err != nil {
			_ = p.server.Close()
			return
		}
		p.mu.Lock()
		if p.blackholed {
			m.dropped <- struct{}{}
		} else {
			_, _ = p.server.Write(buffer[:n])
		}
		p.mu.Unlock()
	}
}

func (m *blackholeProxy) blackhole() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.conns {
		p.mu.Lock()
		p.blackholed = true
		p.mu.Unlock()
	}
}

func (m *blackholeProxy) close() {
	_ = m.listener.Close()
	m.mu.Lock()
	for _, p := range m.conns {
		_ = p.client.Close()
		_ = p.server.Close()
	}
	m.mu.Unlock()
	m.done.Wait()
}

// A proxy that silently drops one connection may have dropped all that were open. When a
// call stalls, the client must therefore not reuse idle connections to the same address.
// When the caller cancelled the call, it must keep them.
func TestStalledConnectionClosesIdle(t *testing.T) {
	tests := map[string]struct {
		cause error
		// stalls is 1 if the client is expected to have kept the other dropped
		// connection, so that the second call is sent on it.
		stalls int
	}{
		"no response":         {cause: provider.ErrSilent},
		"cancelled by caller": {cause: context.Canceled, stalls: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			var arrived sync.WaitGroup
			arrived.Add(2)
			e := imitator.NewExecutor(2, func(_ context.Context, m clock.Millis) error {
				if m == 0 {
					return nil
				}
				arrived.Done()
				<-release
				return nil
			}, func(r provider.Request) clock.Millis { return clock.Millis(len(r.Payload)) })
			s := httptest.NewServer(imitator.ExecutorHandler(e))
			defer s.Close()
			m := newBlackholeProxy(t, s.Listener.Addr().String())
			defer m.close()
			c := New()
			defer c.Close()
			run := func(ctx context.Context, id string, payload []byte) error {
				_, err := c.Executors().Run(ctx, m.listener.Addr().String(), provider.Request{ID: id, Payload: payload})
				return err
			}
			var w sync.WaitGroup
			for _, id := range []string{"a", "b"} {
				w.Go(func() { must.NoError(t, run(t.Context(), id, []byte("x"))) })
			}
			arrived.Wait()
			close(release)
			w.Wait()
			m.blackhole()
			for _, id := range []string{"c", "d"} {
				ctx, cancel := context.WithCancelCause(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- run(ctx, id, nil) }()
				select {
				case <-m.dropped:
					cancel(tc.cause)
					must.Error(t, <-ended)
					if id == "d" {
						tc.stalls--
					}
				case err := <-ended:
					must.NoError(t, err)
				}
				cancel(nil)
			}
			must.Eq(t, 0, tc.stalls)
		})
	}
}

// A request for which no connection can be made must fail with the code NotRun, since it
// was never sent and can safely be sent elsewhere.
func TestUnreachableExecutorIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := l.Addr().String()
	must.NoError(t, l.Close())
	c := New()
	defer c.Close()
	_, err = c.Executors().Run(t.Context(), address, provider.Request{ID: "1"})
	must.Eq(t, coder.NotRun, coder.Of(err))
}
