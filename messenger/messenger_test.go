package messenger

import (
	"context"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

func handlers() Handlers {
	return Handlers{
		Exchange: func(_ context.Context, r *schema.ExchangeRequest) (*schema.ExchangeResponse, error) {
			return &schema.ExchangeResponse{Daemon: "to " + r.GetDaemon()}, nil
		},
	}
}

// The pooled connection breaks when the peer stops. A call after the peer's restart must
// succeed on a new connection.
func TestExchangeAfterPeerRestart(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx := context.Background()
	s, err := Listen("127.0.0.1:0", handlers())
	must.NoError(t, err)
	address := s.Address()
	c := NewClient(address, 5*clock.Second)
	defer c.Close()
	for range 2 {
		r, err := c.Exchange(ctx, &schema.ExchangeRequest{Daemon: "a"})
		must.NoError(t, err)
		must.Eq(t, "to a", r.GetDaemon())
	}
	s.Close()
	_, err = c.Exchange(ctx, &schema.ExchangeRequest{Daemon: "a"})
	must.Eq(t, coder.Unreachable, coder.Of(err))
	s, err = Listen(address, handlers())
	must.NoError(t, err)
	defer s.Close()
	r, err := c.Exchange(ctx, &schema.ExchangeRequest{Daemon: "b"})
	must.NoError(t, err)
	must.Eq(t, "to b", r.GetDaemon())
}

// A call to a peer that accepts the connection and never answers must end at the timeout.
func TestExchangeTimesOut(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	c := NewClient(l.Addr().String(), 50)
	defer c.Close()
	_, err = c.Exchange(context.Background(), &schema.ExchangeRequest{Daemon: "a"})
	must.Eq(t, coder.Unreachable, coder.Of(err))
}
