// Package messenger is the client and server for calls between daemons, over DRPC.
package messenger

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"galenawharf.example/galenawharf/schema"
)

type (
	// Handlers are the functions that answer calls from peers, one for each method of
	// Client.
	Handlers struct {
		Exchange func(context.Context, *schema.ExchangeRequest) (*schema.ExchangeResponse, error)
		Promise  func(context.Context, *schema.PromiseRequest) (*schema.PromiseResponse, error)
		Relay    func(context.Context, *schema.RelayRequest) (*schema.RelayResponse, error)
		Outcome  func(context.Context, *schema.OutcomeRequest) (*schema.OutcomeResponse, error)
	}

	// Server accepts calls from peers.
	Server struct {
		listener net.Listener
		cancel   context.CancelFunc
		loops    sync.WaitGroup
	}

	// service implements schema.DRPCPeersServer with Handlers.
	service struct {
		schema.DRPCPeersUnimplementedServer
		handlers Handlers
	}
)

// Listen starts a server at address, an IP number and port.
func Listen(address string, h Handlers) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "messenger.Listen")
	}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterPeers(mux, &service{handlers: h}); err != nil {
		_ = l.Close()
		return nil, errors.Wrap(err, "messenger.Listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: l, cancel: cancel}
	s.loops.Go(func() { _ = drpcserver.New(mux).Serve(ctx, l) })
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all connections, and waits until all calls have ended.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.loops.Wait()
}

// Exchange answers a heartbeat.
func (s *service) Exchange(ctx context.Context, r *schema.ExchangeRequest) (*schema.ExchangeResponse, error) {
	return s.handlers.Exchange(ctx, r)
}

// Promise answers a request for a promise not to claim a shard.
func (s *service) Promise(ctx context.Context, r *schema.PromiseRequest) (*schema.PromiseResponse, error) {
	return s.handlers.Promise(ctx, r)
}

// Relay appends to the log for a peer.
func (s *service) Relay(ctx context.Context, r *schema.RelayRequest) (*schema.RelayResponse, error) {
	return s.handlers.Relay(ctx, r)
}

// Outcome answers a request for the state of a submitted job.
func (s *service) Outcome(ctx context.Context, r *schema.OutcomeRequest) (*schema.OutcomeResponse, error) {
	return s.handlers.Outcome(ctx, r)
}
