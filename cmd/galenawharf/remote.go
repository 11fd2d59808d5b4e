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
	// remote holds the flags of a command that calls a daemon: the daemon's address
	// and the name of the operator who calls it.
	remote struct {
		address  string
		operator string
	}
)

const (
	defaultAddress = "127.0.0.1:7100"
	callTimeout    = time.Minute
)

// flags adds the --address flag.
func (r *remote) flags(c *command) {
	r.address = defaultAddress
	c.sub.String(&r.address, "a", "address", "IP number and port of any daemon, for callers and operators")
}

// operatorFlag adds the --operator flag, by default the user's login name.
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

// call sends a request to the daemon with the method of the client that f selects, and
// returns the answer. Errors have a result code, coder.Unreachable if the daemon can't be
// reached.
func call[In, Out any](r *remote, in *In, f func(schemaconnect.OperatorsClient) func(context.Context, *connect.Request[In]) (*connect.Response[Out], error)) (*Out, error) {
	c, err := r.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := f(c)(ctx, connect.NewRequest(in))
	if err != nil {
		return nil, clientError(r.address, err)
	}
	return resp.Msg, nil
}

// clientError converts an error of an RPC to a coded error.
func clientError(address string, err error) error {
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

// resultError converts the result code and reason of an answer to an error, nil for
// coder.OK.
func resultError(code int32, reason string) error {
	if code == 0 {
		return nil
	}
	return coder.New(coder.Code(code), "%s", reason)
}
