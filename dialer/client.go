// Package dialer reaches the platform over net/http, and gives it in the form
// that package provider wants.
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
	// Client carries calls to hosts by their address, an IP number and port.
	Client struct {
		http        *http.Client
		timeout     clock.Millis
		connections *connections
	}

	// Option sets up a Client.
	Option func(*Client)
)

const (
	maxAnswer       = 64 << 20
	defaultTimeout  = 5 * clock.Second
	defaultPerHost  = 16
	idleConnections = 4
	idleTimeout     = 30 * clock.Second
)

// New gives a client.
func New(opts ...Option) *Client {
	c := &Client{timeout: defaultTimeout, connections: newConnections()}
	c.http = &http.Client{Transport: c.transport(defaultPerHost)}
	for _, o := range opts {
		o(c)
	}
	return c
}

// WithTimeout bounds each call that has no earlier deadline.
func WithTimeout(m clock.Millis) Option { return func(c *Client) { c.timeout = m } }

// WithConnectionsPerHost bounds the connections to one address.
func WithConnectionsPerHost(n int) Option {
	return func(c *Client) { c.http.Transport = c.transport(n) }
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) transport(perHost int) *http.Transport {
	return &http.Transport{
		DialContext:         c.dial,
		MaxConnsPerHost:     perHost,
		MaxIdleConnsPerHost: min(perHost, idleConnections),
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

// Log gives the log at an address.
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

// Hosts gives the list of hosts at an address.
func (c *Client) Hosts(address string) provider.Hosts {
	return provider.Hosts{List: func(ctx context.Context) ([]provider.Host, error) {
		r, err := call[provider.ListResult](ctx, c, address, "/hosts", provider.ListCall{})
		return r.Hosts, err
	}}
}

// Workers gives the workers.
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
		Extend: func(ctx context.Context, address string, o provider.LeaseOrder) (provider.Reply, error) {
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

// Executors gives the executors.
func (c *Client) Executors() provider.Executors {
	return provider.Executors{
		Run: func(ctx context.Context, address string, r provider.Request) (provider.Response, error) {
			a, err := call[provider.Response](ctx, c, address, "/run", r)
			if neverSent(err) {
				return a, coder.New(coder.NotRun, "the executor at %s can't be reached", address)
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
	ctx, ended := watch(ctx)
	defer ended()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return out, errors.Wrap(err, "dialer.call")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		if silent(ctx) {
			c.connections.closeIdle(address)
		}
		return out, errors.Wrap(err, "dialer.call")
	}
	defer func() { _ = resp.Body.Close() }()
	return out, read(resp, &out)
}

// watch gives a context under which the connection of a call counts as in use until the
// call has ended.
func watch(ctx context.Context) (watched context.Context, ended func()) {
	var used atomic.Pointer[connection]
	got := func(i httptrace.GotConnInfo) {
		c, known := i.Conn.(*connection)
		if !known {
			return
		}
		c.calls.Add(1)
		if old := used.Swap(c); old != nil {
			old.calls.Add(-1)
		}
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: got}), func() {
		if c := used.Swap(nil); c != nil {
			c.calls.Add(-1)
		}
	}
}

// silent tells whether a call ended since nothing came, and not since its
// caller needed it no more.
func silent(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, provider.ErrSilent)
}

// neverSent tells whether a call failed before anything was sent.
func neverSent(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

func read(resp *http.Response, out any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return errors.Wrap(err, "dialer.read")
	}
	if resp.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(data, out), "dialer.read")
	}
	var r provider.Refusal
	if err := json.Unmarshal(data, &r); err != nil || r.Code == 0 {
		return errors.Errorf("dialer.read: status %d without a code", resp.StatusCode)
	}
	return coder.New(coder.Code(r.Code), "%s", r.Text)
}
