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
	// Client asks one peer. It is safe for concurrent use; each call in flight
	// has a connection of its own, and one that failed or timed out is not
	// used again.
	Client struct {
		address string
		timeout clock.Millis
		pool    *drpcpool.Pool[string, drpcpool.Conn]
	}
)

const (
	maxIdle = 4
)

// NewClient gives a client of the peer at an address, whose calls are bounded
// by a timeout.
func NewClient(address string, timeout clock.Millis) *Client {
	return &Client{
		address: address,
		timeout: timeout,
		pool:    drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Capacity: maxIdle, KeyCapacity: maxIdle}),
	}
}

// Close drops idle connections.
func (c *Client) Close() { _ = c.pool.Close() }

// Exchange sends a heartbeat.
func (c *Client) Exchange(ctx context.Context, r *schema.ExchangeRequest) (*schema.ExchangeResponse, error) {
	return ask(ctx, c, func(ctx context.Context, p schema.DRPCPeersClient) (*schema.ExchangeResponse, error) {
		return p.Exchange(ctx, r)
	})
}

// Promise asks the peer not to claim a shard.
func (c *Client) Promise(ctx context.Context, r *schema.PromiseRequest) (*schema.PromiseResponse, error) {
	return ask(ctx, c, func(ctx context.Context, p schema.DRPCPeersClient) (*schema.PromiseResponse, error) {
		return p.Promise(ctx, r)
	})
}

// Relay asks the peer to append.
func (c *Client) Relay(ctx context.Context, r *schema.RelayRequest) (*schema.RelayResponse, error) {
	return ask(ctx, c, func(ctx context.Context, p schema.DRPCPeersClient) (*schema.RelayResponse, error) {
		return p.Relay(ctx, r)
	})
}

// Outcome asks for the state of submitted work.
func (c *Client) Outcome(ctx context.Context, r *schema.OutcomeRequest) (*schema.OutcomeResponse, error) {
	return ask(ctx, c, func(ctx context.Context, p schema.DRPCPeersClient) (*schema.OutcomeResponse, error) {
		return p.Outcome(ctx, r)
	})
}

func ask[T any](ctx context.Context, c *Client, f func(context.Context, schema.DRPCPeersClient) (T, error)) (T, error) {
	var none T
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	conn := c.pool.Get(ctx, c.address, dial)
	defer func() { _ = conn.Close() }()
	v, err := f(ctx, schema.NewDRPCPeersClient(conn))
	if err != nil {
		return none, coder.New(coder.Unreachable, "messenger.Client: peer at %s: %v", c.address, err)
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
