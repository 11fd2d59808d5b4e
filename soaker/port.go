package soaker

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// port is a port on loopback that stays reserved while nothing listens on it, so that
// connections are refused and no other process takes it.
type port struct {
	address  string
	reserved int
	mu       sync.Mutex
	listener net.Listener
}

func newPort() (*port, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "soaker.newPort")
	}
	p := &port{reserved: fd}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
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
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		if err != nil {
			return errors.Wrap(err, "soaker.port.listen")
		}
		return errors.Wrap(sockErr, "soaker.port.listen")
	}}
	l, err := c.Listen(context.Background(), "tcp", p.address)
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
	// An error does not matter, since the listener is not used again.
	_ = p.listener.Close()
}

func (p *port) close() {
	p.stopListening()
	// An error does not matter, since the socket is not used again.
	_ = unix.Close(p.reserved)
}
