package soaker

import (
	"net"
	"os/exec"
	"sync"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// TestPortStaysReserved checks that nothing but a listener at its address gets a port whose
// process is down.
func TestPortStaysReserved(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, target.Close()) }()
	p, err := newPort()
	must.NoError(t, err)
	defer p.close()
	local, err := net.ResolveTCPAddr("tcp", p.address)
	must.NoError(t, err)
	for range 2 {
		d := net.Dialer{LocalAddr: local}
		_, err = d.Dial("tcp", target.Addr().String())
		must.ErrorIs(t, err, syscall.EADDRINUSE)
		l, err := net.Listen("tcp", p.address)
		must.NoError(t, err)
		must.NoError(t, l.Close())
	}
}

// TestPortReusableWhileProcessesStart listens on a port while processes start, which have a copy
// of the former listener for a moment.
func TestPortReusableWhileProcessesStart(t *testing.T) {
	p, err := newPort()
	must.NoError(t, err)
	defer p.close()
	done := make(chan struct{})
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_ = exec.Command("/bin/true").Run()
				}
			}
		})
	}
	defer group.Wait()
	defer close(done)
	for range 2000 {
		_, err := p.listen()
		must.NoError(t, err)
		p.stopListening()
	}
}
