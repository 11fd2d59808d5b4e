package soaker

import (
	"io"
	"net"
	"sync"
	"time"

	"galenawharf.example/galenawharf/clock"
)

type (
	// proxy forwards connections over loopback and injects network faults into them.
	proxy struct {
		port   *port
		target string
		mu     sync.Mutex
		fault  linkFault
		conns  map[net.Conn]struct{}
		group  sync.WaitGroup
		closed chan struct{}
	}

	// linkFault is the network fault that a proxy injects into all its connections. The zero
	// value is no fault.
	linkFault struct {
		// delay is the wait before each chunk is forwarded.
		delay clock.Millis
		// dropResponses drops what the target sends, dropRequests what the client sends.
		// The connections stay open, and the other end does not see that one is closed.
		dropResponses, dropRequests bool
		// refuseConns resets new connections.
		refuseConns bool
	}
)

const (
	copyBufferBytes = 32 << 10
	dialTimeout     = clock.Second
	// linkCheckInterval is how often the end of a fault is looked for.
	linkCheckInterval = 20 * clock.Millis(1)
)

func newProxy(target string) (*proxy, error) {
	t, err := newPort()
	if err != nil {
		return nil, err
	}
	p := &proxy{port: t, target: target, conns: map[net.Conn]struct{}{}, closed: make(chan struct{})}
	return p, p.accept()
}

func (p *proxy) address() string { return p.port.address }

// accept accepts connections until refuse is called.
func (p *proxy) accept() error {
	l, err := p.port.listen()
	if err != nil {
		return err
	}
	p.group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.group.Go(func() { p.handle(c) })
		}
	})
	return nil
}

// refuse makes the proxy refuse connections until accept is called. Open ones stay open.
func (p *proxy) refuse() { p.port.stopListening() }

func (p *proxy) setFault(h linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = h
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) handle(c net.Conn) {
	if p.currentFault().refuseConns {
		abort(c)
		return
	}
	t, err := net.DialTimeout("tcp", p.target, dialTimeout.Duration())
	if err != nil {
		abort(c)
		return
	}
	p.track(c, t)
	defer p.untrack(c, t)
	ended := make(chan struct{}, 2)
	for _, direction := range []struct {
		from, to net.Conn
		drops    func(linkFault) bool
	}{
		{c, t, func(h linkFault) bool { return h.dropRequests }},
		{t, c, func(h linkFault) bool { return h.dropResponses }},
	} {
		p.group.Go(func() {
			p.forward(direction.from, direction.to, direction.drops)
			p.awaitLink(direction.drops)
			ended <- struct{}{}
		})
	}
	<-ended
}

// forward copies chunks until one of the connections closes. It delays or drops each as the
// fault at that moment demands.
func (p *proxy) forward(from io.Reader, to io.Writer, drops func(linkFault) bool) {
	b := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(b)
		h := p.currentFault()
		if n > 0 && !drops(h) {
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

// awaitLink waits while the current fault drops what is sent in a direction.
func (p *proxy) awaitLink(drops func(linkFault) bool) {
	for drops(p.currentFault()) {
		select {
		case <-p.closed:
			return
		case <-time.After(linkCheckInterval.Duration()):
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
		// An error does not matter, since the connection is not used again.
		_ = c.Close()
	}
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// If it fails, the connection closes with a FIN instead.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	close(p.closed)
	p.port.close()
	p.reset()
	p.group.Wait()
}
