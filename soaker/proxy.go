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
		// responses is the flow of what the target sends, requests that of what the client
		// sends.
		responses, requests flow
		// refuseConns resets new connections.
		refuseConns bool
	}

	// flow is what becomes of the data that one end of a connection sends. Unless it passes,
	// the other end does not see that the connection is closed either.
	flow string
)

// Flows of a direction. TCP sends held data again once it can, even if the sender has given
// up meanwhile.
const (
	passing flow = ""
	dropped flow = "dropped"
	held    flow = "held"
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
	requests, responses := func(f linkFault) flow { return f.requests }, func(f linkFault) flow { return f.responses }
	ended := make(chan struct{}, 2)
	for _, direction := range []struct {
		from, to net.Conn
		flow     func(linkFault) flow
	}{{c, t, requests}, {t, c, responses}} {
		p.group.Go(func() {
			p.forward(direction.from, direction.to, direction.flow)
			ended <- struct{}{}
		})
	}
	<-ended
	p.group.Go(func() { p.closeConn(t, requests) })
	p.closeConn(c, responses)
}

// forward copies chunks until one of the connections closes. It delays, holds or drops each
// as the fault at that moment demands.
func (p *proxy) forward(from io.Reader, to io.Writer, flow func(linkFault) flow) {
	b := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(b)
		f := p.currentFault()
		if n > 0 && flow(f) != dropped {
			if f.delay > 0 {
				time.Sleep(f.delay.Duration())
			}
			p.awaitFlow(func(f linkFault) bool { return flow(f) == held })
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// closeConn closes a connection once what is sent to it passes.
func (p *proxy) closeConn(c net.Conn, flow func(linkFault) flow) {
	p.awaitFlow(func(f linkFault) bool { return flow(f) != passing })
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	// An error does not matter, since the connection is not used again.
	_ = c.Close()
}

// awaitFlow waits while blocked returns true for the current fault.
func (p *proxy) awaitFlow(blocked func(linkFault) bool) {
	for blocked(p.currentFault()) {
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
