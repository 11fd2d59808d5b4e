// Package dialer implements the interfaces of package provider over HTTP: each call is a
// POST of JSON to a host of the platform.
package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Client sends calls to hosts by address, an IP number and port. It is safe for
	// concurrent use.
	Client struct {
		http        *http.Client
		timeout     clock.Millis
		connections *connections
	}

	// Option configures a Client.
	Option func(*Client)
)

const (
	maxResponseBytes       = 64 << 20
	defaultTimeout         = 5 * clock.Second
	defaultMaxConnsPerHost = 16
	maxIdleConnsPerHost    = 4
	idleTimeout            = 30 * clock.Second
)

// New returns a client with a timeout of 5 seconds and at most 16 connections to each
// address, unless options change these.
func New(opts ...Option) *Client {
	c := &Client{timeout: defaultTimeout, connections: newConnections()}
	c.http = &http.Client{Transport: c.transport(defaultMaxConnsPerHost)}
	for _, o := range opts {
		o(c)
	}
	return c
}

// WithTimeout sets the maximum duration of a call. An earlier deadline of the call's
// context still applies.
func WithTimeout(m clock.Millis) Option { return func(c *Client) { c.timeout = m } }

// WithConnectionsPerHost limits the number of connections to one address.
func WithConnectionsPerHost(n int) Option {
	return func(c *Client) { c.http.Transport = c.transport(n) }
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) transport(perHost int) *http.Transport {
	return &http.Transport{
		DialContext:         c.dial,
		MaxConnsPerHost:     perHost,
		MaxIdleConnsPerHost: min(perHost, maxIdleConnsPerHost),
		IdleConnTimeout:     idleTimeout.Duration(),
		DisableCompression:  true,
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	n, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c.connections.add(address, n), nil
}

// Log returns a client of the log that is served at address.
func (c *Client) Log(address string) provider.Log {
	return provider.Log{
		Append: func(ctx context.Context, stream string, records [][]byte) (provider.Offset, error) {
			r, err := call[provider.AppendResult](ctx, c, address, "/append", provider.AppendCall{Stream: stream, Records: records})
			return r.Offset, err
		},
		Read: func(ctx context.Context, stream string, from provider.Offset, limit int) (provider.Page, error) {
			return call[provider.Page](ctx, c, address, "/read", provider.ReadCall{Stream: stream, From: from, Limit: limit})
		},
	}
}

// Hosts returns a client of the list of hosts that is served at address.
func (c *Client) Hosts(address string) provider.Hosts {
	return provider.Hosts{List: func(ctx context.Context) ([]provider.Host, error) {
		r, err := call[provider.ListResult](ctx, c, address, "/hosts", provider.ListCall{})
		return r.Hosts, err
	}}
}

// Workers returns a client of the workers, which are called by address.
func (c *Client) Workers() provider.Workers {
	order := func(path string) func(context.Context, string, provider.TaskOrder) (provider.Reply, error) {
		return func(ctx context.Context, address string, o provider.TaskOrder) (provider.Reply, error) {
			return call[provider.Reply](ctx, c, address, path, o)
		}
	}
	return provider.Workers{
		Start: func(ctx context.Context, address string, o provider.StartOrder) (provider.Reply, error) {
			return call[provider.Reply](ctx, c, address, "/start", o)
		},
		Extend: func(ctx context.Context, address string, o provider.ExtendOrder) (provider.Reply, error) {
			return call[provider.Reply](ctx, c, address, "/extend", o)
		},
		Checkpoint: order("/checkpoint"),
		Throttle:   order("/throttle"),
		Stop:       order("/stop"),
		Forget:     order("/forget"),
		Inventory: func(ctx context.Context, address string, f provider.Fence) (provider.Inventory, error) {
			return call[provider.Inventory](ctx, c, address, "/inventory", f)
		},
		Usage: func(ctx context.Context, address, shard string, since int64) (provider.UsageReport, error) {
			return call[provider.UsageReport](ctx, c, address, "/usage", provider.UsageCall{Shard: shard, Since: since})
		},
	}
}

// Executors returns a client of the executors, which are called by address. If no
// connection can be made, Run returns an error of code NotRun, since nothing was sent.
func (c *Client) Executors() provider.Executors {
	return provider.Executors{
		Run: func(ctx context.Context, address string, r provider.Request) (provider.Response, error) {
			a, err := call[provider.Response](ctx, c, address, "/run", r)
			if dialFailed(err) {
				return a, coder.New(coder.NotRun, "executor at %s is unreachable", address)
			}
			return a, err
		},
		Cancel: func(ctx context.Context, address, id string) (provider.CancelState, error) {
			r, err := call[provider.CancelResult](ctx, c, address, "/cancel", provider.CancelCall{ID: id})
			return r.State, err
		},
	}
}

func call[Out, In any](ctx context.Context, c *Client, address, path string, in In) (Out, error) {
	var out Out
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return out, errors.Wrap(err, "dialer.call")
	}
	ctx, release := trackConnection(ctx)
	defer release()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return out, errors.Wrap(err, "dialer.call")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		if stalled(ctx) {
			c.connections.closeIdle(address)
		}
		return out, errors.Wrap(err, "dialer.call")
	}
	defer func() { _ = resp.Body.Close() }()
	return out, decodeResponse(resp, &out)
}

// trackConnection returns a context under which a call is counted as in flight on the
// connection that net/http picks for it, until release is called. If net/http retries the
// call on another connection, the count moves there.
func trackConnection(ctx context.Context) (traced context.Context, release func()) {
	var current atomic.Pointer[connection]
	gotConn := func(i httptrace.GotConnInfo) {
		c, ok := i.Conn.(*connection)
		if !ok {
			return
		}
		c.inFlight.Add(1)
		if previous := current.Swap(c); previous != nil {
			previous.inFlight.Add(-1)
		}
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: gotConn}), func() {
		if c := current.Swap(nil); c != nil {
			c.inFlight.Add(-1)
		}
	}
}

// stalled reports whether a call ended because no response came in time, rather than
// because its caller cancelled it.
func stalled(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, provider.ErrSilent)
}

// dialFailed reports whether a call failed because no connection could be made, so that
// nothing was sent.
func dialFailed(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

// decodeResponse decodes the body of a response into out, or returns the error that a
// provider.ErrorBody in the body describes.
func decodeResponse(resp *http.Response, out any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "dialer.decodeResponse")
	}
	if resp.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(data, out), "dialer.decodeResponse")
	}
	var r provider.ErrorBody
	if err := json.Unmarshal(data, &r); err != nil || r.Code == 0 {
		return errors.Errorf("dialer.decodeResponse: status %d without an error code", resp.StatusCode)
	}
	return coder.New(coder.Code(r.Code), "%s", r.Text)
}
