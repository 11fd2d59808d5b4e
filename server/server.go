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
	// Server serves callers and operators on one address, and health checks, metrics
	// and the status page on another.
	Server struct {
		callers *listener
		status  *listener
	}

	// Options are the settings of a Server.
	Options struct {
		// Callers and Status are addresses, each an IP number and port.
		Callers string
		Status  string
		// MaxBody and MaxPayload are in bytes.
		MaxBody    int
		MaxPayload int
		// OnResult is called with the result code of each request.
		OnResult func(coder.Code)
		// OnPanic is called with the panic value when a call panics. The client
		// gets an error with coder.Internal.
		OnPanic func(what any)
		Health  Health
	}

	// listener is an HTTP server on one address; serving waits for its goroutine.
	listener struct {
		net     net.Listener
		http    *http.Server
		serving sync.WaitGroup
	}
)

const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
)

// Listen starts serving the backend and the health checks. If it can't listen on an
// address, it returns the error of net.Listen.
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
			o.OnPanic(what)
			return connectError(coder.New(coder.Internal, "Server: the call panicked in the daemon"))
		}),
	}
	mux := http.NewServeMux()
	mux.Handle(schemaconnect.NewCallersHandler(&callersHandler{backend: b, maxPayload: o.MaxPayload, countResult: o.OnResult}, opts...))
	mux.Handle(schemaconnect.NewOperatorsHandler(&operatorsHandler{backend: b, countResult: o.OnResult}, opts...))
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
	s := &listener{net: l, http: &http.Server{Handler: h, Protocols: p, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}}
	s.serving.Go(func() { _ = s.http.Serve(l) })
	return s, nil
}

// CallersAddress returns the address on which callers and operators are served.
func (s *Server) CallersAddress() string { return s.callers.net.Addr().String() }

// StatusAddress returns the address on which health checks are served.
func (s *Server) StatusAddress() string { return s.status.net.Addr().String() }

// Shutdown stops accepting calls and waits for calls in flight, at most for limit. It
// closes the connections of calls that have not ended by then and returns an error.
// Health checks are served until the end.
func (s *Server) Shutdown(limit clock.Millis) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit.Duration())
	defer cancel()
	err := s.callers.http.Shutdown(ctx)
	if err != nil {
		_ = s.callers.http.Close()
	}
	s.callers.serving.Wait()
	s.status.close()
	return errors.Wrap(err, "Server.Shutdown")
}

// Close closes all listeners and connections at once.
func (s *Server) Close() {
	s.callers.close()
	s.status.close()
}

func (l *listener) close() {
	_ = l.http.Close()
	l.serving.Wait()
}
