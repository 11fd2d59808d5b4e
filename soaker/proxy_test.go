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
// drops what the worker sends.
func TestLinkFaultHidesClose(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, l.Close()) }()
	p, err := newProxy(l.Addr().String())
	must.NoError(t, err)
	defer p.close()
	c, err := net.Dial("tcp", p.address())
	must.NoError(t, err)
	worker, err := l.Accept()
	must.NoError(t, err)
	p.setFault(linkFault{dropResponses: true})
	must.NoError(t, worker.Close())
	must.NoError(t, c.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	_, err = c.Read(make([]byte, 1))
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	p.setFault(linkFault{})
	must.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = c.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}
