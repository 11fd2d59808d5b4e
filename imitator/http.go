package imitator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
)

type (
	// jsonServer serves the calls of one fake over HTTP, with JSON bodies.
	jsonServer struct {
		mux  *http.ServeMux
		wait func(ctx context.Context, m clock.Millis) error
		// delay returns the current delay of each call; nil for none.
		delay func() clock.Millis
	}
)

const (
	maxBodyBytes = 16 << 20
)

// LogHandler returns a handler that serves a log over HTTP. It calls wait to sleep for
// LogFaults.Delay before each call.
func LogHandler(l *Log, wait func(context.Context, clock.Millis) error) http.Handler {
	a := &jsonServer{mux: http.NewServeMux(), wait: wait, delay: func() clock.Millis { return l.Faults().Delay }}
	p := l.Provider()
	handle(a, "/append", func(ctx context.Context, in provider.AppendCall) (provider.AppendResult, error) {
		o, err := p.Append(ctx, in.Stream, in.Records)
		return provider.AppendResult{Offset: o}, err
	})
	handle(a, "/read", func(ctx context.Context, in provider.ReadCall) (provider.Page, error) {
		return p.Read(ctx, in.Stream, in.From, in.Limit)
	})
	return a.mux
}

// HostsHandler returns a handler that serves a list of hosts over HTTP.
func HostsHandler(h *Hosts) http.Handler {
	a := &jsonServer{mux: http.NewServeMux()}
	p := h.Provider()
	handle(a, "/hosts", func(ctx context.Context, _ provider.ListCall) (provider.ListResult, error) {
		hosts, err := p.List(ctx)
		return provider.ListResult{Hosts: hosts}, err
	})
	return a.mux
}

// WorkerHandler returns a handler that serves a worker over HTTP. It calls wait to sleep
// for WorkerFaults.Delay before each call.
func WorkerHandler(w *Worker, wait func(context.Context, clock.Millis) error) http.Handler {
	a := &jsonServer{mux: http.NewServeMux(), wait: wait, delay: func() clock.Millis { return w.Faults().Delay }}
	p := WorkersOf(func(string) *Worker { return w })
	taskOrderHandler := func(f func(context.Context, string, provider.TaskOrder) (provider.Reply, error)) func(context.Context, provider.TaskOrder) (provider.Reply, error) {
		return func(ctx context.Context, o provider.TaskOrder) (provider.Reply, error) { return f(ctx, "", o) }
	}
	handle(a, "/start", func(ctx context.Context, o provider.StartOrder) (provider.Reply, error) { return p.Start(ctx, "", o) })
	handle(a, "/extend", func(ctx context.Context, o provider.ExtendOrder) (provider.Reply, error) { return p.Extend(ctx, "", o) })
	handle(a, "/checkpoint", taskOrderHandler(p.Checkpoint))
	handle(a, "/throttle", taskOrderHandler(p.Throttle))
	handle(a, "/stop", taskOrderHandler(p.Stop))
	handle(a, "/forget", taskOrderHandler(p.Forget))
	handle(a, "/inventory", func(ctx context.Context, f provider.Fence) (provider.Inventory, error) {
		return p.Inventory(ctx, "", f)
	})
	handle(a, "/usage", func(ctx context.Context, c provider.UsageCall) (provider.UsageReport, error) {
		return p.Usage(ctx, "", c.Shard, c.Since)
	})
	return a.mux
}

// ExecutorHandler returns a handler that serves an executor over HTTP.
func ExecutorHandler(e *Executor) http.Handler {
	a := &jsonServer{mux: http.NewServeMux()}
	p := ExecutorsOf(func(string) *Executor { return e })
	handle(a, "/run", func(ctx context.Context, r provider.Request) (provider.Response, error) { return p.Run(ctx, "", r) })
	handle(a, "/cancel", func(ctx context.Context, c provider.CancelCall) (provider.CancelResult, error) {
		s, err := p.Cancel(ctx, "", c.ID)
		return provider.CancelResult{State: s}, err
	})
	return a.mux
}

// handle registers f for POST requests to pattern. A coder.Error is sent as an error
// response; after any other error the connection is closed, as if the response was lost.
func handle[In, Out any](a *jsonServer, pattern string, f func(context.Context, In) (Out, error)) {
	a.mux.HandleFunc("POST "+pattern, func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&in); err != nil {
			writeError(w, coder.New(coder.Malformed, "%v", err))
			return
		}
		if a.delay != nil && a.delay() > 0 && a.wait(r.Context(), a.delay()) != nil {
			return
		}
		out, err := f(r.Context(), in)
		var coded *coder.Error
		switch {
		case errors.As(err, &coded):
			writeError(w, coded)
		case err != nil:
			dropConnection(w)
		default:
			writeJSON(w, http.StatusOK, out)
		}
	})
}

func writeError(w http.ResponseWriter, e *coder.Error) {
	writeJSON(w, http.StatusConflict, provider.ErrorBody{Code: int(e.Code()), Text: e.Text()})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// dropConnection closes the connection without sending a response.
func dropConnection(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := h.Hijack()
	if err == nil {
		_ = c.Close()
	}
}
