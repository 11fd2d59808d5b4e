// Package messenger carries messages between the daemons, over drpc.
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
	// Handlers answer what peers ask.
	Handlers struct {
		Exchange func(context.Context, *schema.ExchangeRequest) (*schema.ExchangeResponse, error)
		Promise  func(context.Context, *schema.PromiseRequest) (*schema.PromiseResponse, error)
		Relay    func(context.Context, *schema.RelayRequest) (*schema.RelayResponse, error)
		Outcome  func(context.Context, *schema.OutcomeRequest) (*schema.OutcomeResponse, error)
	}

	// Server listens for peers.
	Server struct {
		listener net.Listener
		cancel   context.CancelFunc
		loops    sync.WaitGroup
	}

	service struct {
		schema.DRPCPeersUnimplementedServer
		handlers Handlers
	}
)

// Listen serves peers at an address, an IP number and port.
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

// Address gives where it listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends every connection and waits.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.loops.Wait()
}

// Exchange is the heartbeat.
func (s *service) Exchange(ctx context.Context, r *schema.ExchangeRequest) (*schema.ExchangeResponse, error) {
	return s.handlers.Exchange(ctx, r)
}

// Promise asks not to claim.
func (s *service) Promise(ctx context.Context, r *schema.PromiseRequest) (*schema.PromiseResponse, error) {
	return s.handlers.Promise(ctx, r)
}

// Relay asks to append.
func (s *service) Relay(ctx context.Context, r *schema.RelayRequest) (*schema.RelayResponse, error) {
	return s.handlers.Relay(ctx, r)
}

// Outcome asks for the state of submitted work.
func (s *service) Outcome(ctx context.Context, r *schema.OutcomeRequest) (*schema.OutcomeResponse, error) {
	return s.handlers.Outcome(ctx, r)
}
