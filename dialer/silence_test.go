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
	// middle passes connections on to a server, and can lose track of those
	// that are open: their bytes go nowhere from then on.
	middle struct {
		listener net.Listener
		server   string
		// lost gets one entry for each request that was swallowed.
		lost chan struct{}
		mu   sync.Mutex
		open []*passage
		done sync.WaitGroup
	}

	passage struct {
		mu     sync.Mutex
		silent bool
		client net.Conn
		server net.Conn
	}
)

func newMiddle(t *testing.T, server string) *middle {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	m := &middle{listener: l, server: server, lost: make(chan struct{}, 16)}
	m.done.Go(m.accept)
	return m
}

func (m *middle) accept() {
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
		p := &passage{client: c, server: s}
		m.mu.Lock()
		m.open = append(m.open, p)
		m.mu.Unlock()
		m.done.Go(func() { m.pass(p) })
		m.done.Go(func() { _, _ = io.Copy(c, s); _ = c.Close() })
	}
}

func (m *middle) pass(p *passage) {
	buffer := make([]byte, 4096)
	for {
		n, err := p.client.Read(buffer)
		if err != nil {
			_ = p.server.Close()
			return
		}
		p.mu.Lock()
		if p.silent {
			m.lost <- struct{}{}
		} else {
			_, _ = p.server.Write(buffer[:n])
		}
		p.mu.Unlock()
	}
}

func (m *middle) loseTrack() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.open {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

func (m *middle) close() {
	_ = m.listener.Close()
	m.mu.Lock()
	for _, p := range m.open {
		_ = p.client.Close()
		_ = p.server.Close()
	}
	m.mu.Unlock()
	m.done.Wait()
}

// When one connection went silent, calls after it use no other that was idle
// meanwhile. A call that its caller just needs no more says nothing of the rest.
func TestSilentConnection(t *testing.T) {
	tests := map[string]struct {
		cause error
		// lost is how many of two idle connections that are silent a second call meets.
		lost int
	}{
		"silent":     {cause: provider.ErrSilent},
		"not needed": {cause: context.Canceled, lost: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			both := make(chan struct{})
			var arrived sync.WaitGroup
			arrived.Add(2)
			e := imitator.NewExecutor(2, func(_ context.Context, m clock.Millis) error {
				if m == 0 {
					return nil
				}
				arrived.Done()
				<-both
				return nil
			}, func(r provider.Request) clock.Millis { return clock.Millis(len(r.Payload)) })
			s := httptest.NewServer(imitator.ExecutorHandler(e))
			defer s.Close()
			m := newMiddle(t, s.Listener.Addr().String())
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
			close(both)
			w.Wait()
			m.loseTrack()
			for _, id := range []string{"c", "d"} {
				ctx, cancel := context.WithCancelCause(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- run(ctx, id, nil) }()
				select {
				case <-m.lost:
					cancel(tc.cause)
					must.Error(t, <-ended)
					if id == "d" {
						tc.lost--
					}
				case err := <-ended:
					must.NoError(t, err)
				}
				cancel(nil)
			}
			must.Eq(t, 0, tc.lost)
		})
	}
}

// A request that can't be sent at all was not run.
func TestExecutorNotReached(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := l.Addr().String()
	must.NoError(t, l.Close())
	c := New()
	defer c.Close()
	_, err = c.Executors().Run(t.Context(), address, provider.Request{ID: "1"})
	must.Eq(t, coder.NotRun, coder.Of(err))
}
