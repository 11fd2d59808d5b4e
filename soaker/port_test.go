package soaker

import (
	"net"
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
