package messenger

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Client calls one peer daemon. It is safe for concurrent use. Each call in flight has
	// a connection of its own; a connection on which a call failed or timed out is not
	// reused. Every error that its methods return has the code Unreachable.
	Client struct {
		address string
		timeout clock.Millis
		pool    *drpcpool.Pool[string, drpcpool.Conn]
	}
)

const (
	maxIdleConns = 4
)

// NewClient returns a client of the peer at address, an IP number and port. Each call ends
// after timeout at the latest.
func NewClient(address string, timeout clock.Millis) *Client {
	return &Client{
		address: address,
		timeout: timeout,
		pool:    drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Capacity: maxIdleConns, KeyCapacity: maxIdleConns}),
	}
}

// Close closes idle connections.
func (c *Client) Close() { _ = c.pool.Close() }

// Exchange sends a heartbeat, which also synchronizes the configuration, and returns the
// peer's.
func (c *Client) Exchange(ctx context.Context, r *schema.ExchangeRequest) (*schema.ExchangeResponse, error) {
	return call(ctx, c, func(ctx context.Context, p schema.DRPCPeersClient) (*schema.ExchangeResponse, error) {
		return p.Exchange(ctx, r)
	})
}

// Promise asks the peer for a promise that it will not claim a shard for some time.
func (c *Client) Promise(ctx context.Context, r *schema.PromiseRequest) (*schema.PromiseResponse, error) {
	return call(ctx, c, func(ctx context.Context, p schema.DRPCPeersClient) (*schema.PromiseResponse, error) {
		return p.Promise(ctx, r)
	})
}

// Relay asks the peer to append to the log, and then to read from it, on behalf of this
// daemon, which can't reach the log.
func (c *Client) Relay(ctx context.Context, r *schema.RelayRequest) (*schema.RelayResponse, error) {
	return call(ctx, c, func(ctx context.Context, p schema.DRPCPeersClient) (*schema.RelayResponse, error) {
		return p.Relay(ctx, r)
	})
}

// Outcome asks the peer for the state of a submitted job.
func (c *Client) Outcome(ctx context.Context, r *schema.OutcomeRequest) (*schema.OutcomeResponse, error) {
	return call(ctx, c, func(ctx context.Context, p schema.DRPCPeersClient) (*schema.OutcomeResponse, error) {
		return p.Outcome(ctx, r)
	})
}

// call runs f on a pooled connection, or on a new one if none is idle.
func call[T any](ctx context.Context, c *Client, f func(context.Context, schema.DRPCPeersClient) (T, error)) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	conn := c.pool.Get(ctx, c.address, dial)
	defer func() { _ = conn.Close() }()
	v, err := f(ctx, schema.NewDRPCPeersClient(conn))
	if err != nil {
		return zero, coder.New(coder.Unreachable, "messenger.Client: peer at %s: %v", c.address, err)
	}
	return v, nil
}

func dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "messenger.dial")
	}
	return drpcconn.New(raw), nil
}
