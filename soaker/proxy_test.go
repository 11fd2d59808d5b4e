package soaker

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// TestProxyRefusesConnections checks that connections are refused, not reset, while a worker
// is down, and that they are accepted at the same address afterwards.
func TestProxyRefusesConnections(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	p, err := newProxy(strings.TrimPrefix(srv.URL, "http://"))
	must.NoError(t, err)
	defer p.close()
	get := func() error {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + p.address())
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	must.NoError(t, get())
	p.refuse()
	must.ErrorIs(t, get(), syscall.ECONNREFUSED)
	must.NoError(t, p.accept())
	must.NoError(t, get())
}

// TestLinkFaultHidesClose checks that the end of a worker is not seen through a link that
// drops what the worker sends, also if something is sent to the worker meanwhile.
func TestLinkFaultHidesClose(t *testing.T) {
	p, c, worker := proxiedConn(t)
	p.setFault(linkFault{responses: dropped})
	must.NoError(t, worker.Close())
	for range 3 {
		_, err := c.Write([]byte("x"))
		must.NoError(t, err)
		must.ErrorIs(t, read(t, c, 100*time.Millisecond), os.ErrDeadlineExceeded)
	}
	p.setFault(linkFault{})
	must.Error(t, read(t, c, 5*time.Second))
	must.False(t, errors.Is(read(t, c, 5*time.Second), os.ErrDeadlineExceeded))
}

// TestHeldRequestArrives checks that a request that is held arrives though its sender has
// given up.
func TestHeldRequestArrives(t *testing.T) {
	p, c, worker := proxiedConn(t)
	p.setFault(linkFault{requests: held})
	_, err := c.Write([]byte("x"))
	must.NoError(t, err)
	must.NoError(t, c.Close())
	must.ErrorIs(t, read(t, worker, 100*time.Millisecond), os.ErrDeadlineExceeded)
	p.setFault(linkFault{})
	must.NoError(t, read(t, worker, 5*time.Second))
	must.ErrorIs(t, read(t, worker, 5*time.Second), io.EOF)
}

// proxiedConn returns both ends of a connection through a proxy.
func proxiedConn(t *testing.T) (p *proxy, client, worker net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, l.Close()) })
	p, err = newProxy(l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(p.close)
	client, err = net.Dial("tcp", p.address())
	must.NoError(t, err)
	worker, err = l.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _, _ = client.Close(), worker.Close() })
	return p, client, worker
}

// read reads a byte from a connection.
func read(t *testing.T, c net.Conn, timeout time.Duration) error {
	must.NoError(t, c.SetReadDeadline(time.Now().Add(timeout)))
	_, err := c.Read(make([]byte, 1))
	return err
}
