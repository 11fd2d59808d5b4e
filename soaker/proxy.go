package soaker

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// proxy passes connections on over loopback and harms them on demand.
	proxy struct {
		listener net.Listener
		target   string
		mu       sync.Mutex
		harm     harm
		conns    map[net.Conn]struct{}
		group    sync.WaitGroup
	}

	// harm is what a proxy does to its connections.
	harm struct {
		// delay is added to each piece that is passed on.
		delay clock.Millis
		// mute drops what the target answers, deaf what the client sends; nobody is
		// told.
		mute, deaf bool
		// refuse resets new connections.
		refuse bool
	}
)

const (
	pieceBytes = 32 << 10
	dialLimit  = clock.Second
)

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "soaker.newProxy")
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	p.group.Add(1)
	go func() {
		defer p.group.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.group.Add(1)
			go func() {
				defer p.group.Done()
				p.pass(c)
			}()
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(h harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harm = h
}

// reset breaks off all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

func (p *proxy) now() harm {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harm
}

func (p *proxy) pass(c net.Conn) {
	if p.now().refuse {
		abort(c)
		return
	}
	t, err := net.DialTimeout("tcp", p.target, dialLimit.Duration())
	if err != nil {
		abort(c)
		return
	}
	p.track(c, t)
	defer p.untrack(c, t)
	ended := make(chan struct{}, 2)
	for _, way := range []struct {
		from, to net.Conn
		dropped  func(harm) bool
	}{
		{c, t, func(h harm) bool { return h.deaf }},
		{t, c, func(h harm) bool { return h.mute }},
	} {
		p.group.Add(1)
		go func() {
			defer p.group.Done()
			p.copy(way.from, way.to, way.dropped)
			ended <- struct{}{}
		}()
	}
	<-ended
}

// copy passes pieces on until an end closes.
func (p *proxy) copy(from io.Reader, to io.Writer, dropped func(harm) bool) {
	b := make([]byte, pieceBytes)
	for {
		n, err := from.Read(b)
		h := p.now()
		if n > 0 && !dropped(h) {
			if h.delay > 0 {
				time.Sleep(h.delay.Duration())
			}
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) track(cs ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cs {
		p.conns[c] = struct{}{}
	}
}

func (p *proxy) untrack(cs ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cs {
		delete(p.conns, c)
		// Both ends are given up.
		_ = c.Close()
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// Without it the connection still closes, only more gently.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	// The listener is not used again.
	_ = p.listener.Close()
	p.reset()
	p.group.Wait()
}
