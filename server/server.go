package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema/schemaconnect"
)

type (
	// Server listens for callers, operators and health checks.
	Server struct {
		callers *listener
		status  *listener
	}

	// Options are what a Server needs besides its Backend.
	Options struct {
		// Callers and Status are addresses, each an IP number and port.
		Callers string
		Status  string
		// MaxBody and MaxPayload are in bytes.
		MaxBody    int
		MaxPayload int
		// Result counts the end of each request.
		Result func(coder.Code)
		// Panicked notes a call that panicked.
		Panicked func(what any)
		Health   Health
	}

	listener struct {
		net   net.Listener
		http  *http.Server
		loops sync.WaitGroup
	}
)

const (
	headerTimeout = 10 * time.Second
	maxHeader     = 64 << 10
)

// Listen serves the backend.
func Listen(b Backend, o Options) (*Server, error) {
	status, err := listen(o.Status, o.Health.handler())
	if err != nil {
		return nil, err
	}
	callers, err := listen(o.Callers, rpcHandler(b, o))
	if err != nil {
		status.close()
		return nil, err
	}
	return &Server{callers: callers, status: status}, nil
}

func rpcHandler(b Backend, o Options) http.Handler {
	opts := []connect.HandlerOption{
		connect.WithCodec(strictJSON{}),
		connect.WithReadMaxBytes(o.MaxBody),
		connect.WithRecover(func(_ context.Context, _ connect.Spec, _ http.Header, what any) error {
			o.Panicked(what)
			return failure(coder.New(coder.Internal, "Server: the call failed within the daemon"))
		}),
	}
	mux := http.NewServeMux()
	mux.Handle(schemaconnect.NewCallersHandler(&callers{backend: b, maxPayload: o.MaxPayload, result: o.Result}, opts...))
	mux.Handle(schemaconnect.NewOperatorsHandler(&operators{backend: b, result: o.Result}, opts...))
	return mux
}

func listen(address string, h http.Handler) (*listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "server.listen")
	}
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	s := &listener{net: l, http: &http.Server{Handler: h, Protocols: p, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader}}
	s.loops.Go(func() { _ = s.http.Serve(l) })
	return s, nil
}

// CallersAddress gives where callers and operators reach it.
func (s *Server) CallersAddress() string { return s.callers.net.Addr().String() }

// StatusAddress gives where health checks reach it.
func (s *Server) StatusAddress() string { return s.status.net.Addr().String() }

// Shutdown takes no new calls and waits for those in flight, at most for a
// limit. It gives an error where some had not ended by then; they are cut off.
func (s *Server) Shutdown(limit clock.Millis) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit.Duration())
	defer cancel()
	err := s.callers.http.Shutdown(ctx)
	if err != nil {
		_ = s.callers.http.Close()
	}
	s.callers.loops.Wait()
	s.status.close()
	return errors.Wrap(err, "Server.Shutdown")
}

// Close cuts everything off.
func (s *Server) Close() {
	s.callers.close()
	s.status.close()
}

func (l *listener) close() {
	_ = l.http.Close()
	l.loops.Wait()
}
