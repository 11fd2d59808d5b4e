package main

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema/schemaconnect"
	"galenawharf.example/galenawharf/server"
)

type (
	// remote is the daemon that a command asks.
	remote struct {
		address  string
		operator string
	}
)

const (
	defaultAddress = "127.0.0.1:7100"
	callLimit      = time.Minute
)

// flags adds the flags that name the daemon.
func (r *remote) flags(c *command) {
	r.address = defaultAddress
	c.sub.String(&r.address, "a", "address", "IP number and port of any daemon, for callers and operators")
}

// operatorFlag adds the flag that says who asks.
func (r *remote) operatorFlag(c *command) {
	r.operator = os.Getenv("USER")
	c.sub.String(&r.operator, "u", "operator", "who asks, for the audit trail")
}

func (r *remote) client() (schemaconnect.OperatorsClient, error) {
	if _, err := netip.ParseAddrPort(r.address); err != nil {
		return nil, coder.At(coder.BadFormat, "--address", "%q is not an IP number and port, such as %s", r.address, defaultAddress)
	}
	return schemaconnect.NewOperatorsClient(http.DefaultClient, "http://"+r.address), nil
}

// ask calls the daemon and gives its answer, or its failure with a code.
func ask[In, Out any](r *remote, in *In, f func(schemaconnect.OperatorsClient) func(context.Context, *connect.Request[In]) (*connect.Response[Out], error)) (*Out, error) {
	c, err := r.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	resp, err := f(c)(ctx, connect.NewRequest(in))
	if err != nil {
		return nil, told(r.address, err)
	}
	return resp.Msg, nil
}

func told(address string, err error) error {
	code := server.CodeOf(err)
	if code == coder.Unreachable {
		return coder.New(code, "no daemon answers at %s: %v", address, err)
	}
	var e *connect.Error
	if errors.As(err, &e) {
		return coder.New(code, "%s", strings.TrimPrefix(e.Message(), code.String()+": "))
	}
	return coder.New(code, "%v", err)
}

// refused gives the failure that an answer carries, or nil.
func refused(code int32, reason string) error {
	if code == 0 {
		return nil
	}
	return coder.New(coder.Code(code), "%s", reason)
}
