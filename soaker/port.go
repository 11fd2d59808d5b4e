package soaker

import (
	"fmt"
	"net"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// port is a port on loopback that stays reserved while nothing listens on it, so that
// connections are refused and no connection of another process gets it. Linux lets sockets with
// SO_REUSEADDR, as those of package net, share a port on which none of them listens yet.
type port struct {
	address  string
	reserved int
	mu       sync.Mutex
	listener *net.TCPListener
}

func newPort() (*port, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "soaker.newPort")
	}
	p := &port{reserved: fd}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return nil, errors.Wrap(err, "soaker.newPort")
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, errors.Wrap(err, "soaker.newPort")
	}
	a, err := unix.Getsockname(fd)
	if err != nil {
		return nil, errors.Wrap(err, "soaker.newPort")
	}
	b, ok := a.(*unix.SockaddrInet4)
	if !ok {
		return nil, errors.Errorf("soaker.newPort: address of type %T", a)
	}
	p.address = fmt.Sprintf("127.0.0.1:%d", b.Port)
	return p, nil
}

func (p *port) listen() (net.Listener, error) {
	a, err := net.ResolveTCPAddr("tcp", p.address)
	if err != nil {
		return nil, errors.Wrap(err, "soaker.port.listen")
	}
	l, err := net.ListenTCP("tcp", a)
	if err != nil {
		return nil, errors.Wrap(err, "soaker.port.listen")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = l
	return l, nil
}

func (p *port) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return
	}
	// A process that is being started has a copy of the listener until it runs its own
	// program, and shutdown ends the listening of copies as well. Errors do not matter, since
	// the listener is not used again.
	if c, err := p.listener.SyscallConn(); err == nil {
		_ = c.Control(func(fd uintptr) { _ = unix.Shutdown(int(fd), unix.SHUT_RDWR) })
	}
	_ = p.listener.Close()
}

func (p *port) close() {
	p.stopListening()
	// An error does not matter, since the socket is not used again.
	_ = unix.Close(p.reserved)
}
