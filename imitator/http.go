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
	// answerer serves one kind of call over HTTP.
	answerer struct {
		mux  *http.ServeMux
		wait func(ctx context.Context, m clock.Millis) error
		// delay gives how long a call takes at present.
		delay func() clock.Millis
	}
)

const (
	maxBody = 16 << 20
)

// LogHandler serves a log over HTTP.
func LogHandler(l *Log, wait func(context.Context, clock.Millis) error) http.Handler {
	a := &answerer{mux: http.NewServeMux(), wait: wait, delay: func() clock.Millis { return l.Faults().Delay }}
	p := l.Provider()
	answer(a, "/append", func(ctx context.Context, in provider.AppendCall) (provider.AppendResult, error) {
		o, err := p.Append(ctx, in.Stream, in.Records)
		return provider.AppendResult{Offset: o}, err
	})
	answer(a, "/read", func(ctx context.Context, in provider.ReadCall) (provider.Page, error) {
		return p.Read(ctx, in.Stream, in.From, in.Limit)
	})
	return a.mux
}

// HostsHandler serves a list of hosts over HTTP.
func HostsHandler(h *Hosts) http.Handler {
	a := &answerer{mux: http.NewServeMux()}
	p := h.Provider()
	answer(a, "/hosts", func(ctx context.Context, _ provider.ListCall) (provider.ListResult, error) {
		hosts, err := p.List(ctx)
		return provider.ListResult{Hosts: hosts}, err
	})
	return a.mux
}

// WorkerHandler serves a worker over HTTP.
func WorkerHandler(w *Worker, wait func(context.Context, clock.Millis) error) http.Handler {
	a := &answerer{mux: http.NewServeMux(), wait: wait, delay: func() clock.Millis { return w.Faults().Delay }}
	p := WorkersOf(func(string) *Worker { return w })
	here := func(f func(context.Context, string, provider.TaskOrder) (provider.Reply, error)) func(context.Context, provider.TaskOrder) (provider.Reply, error) {
		return func(ctx context.Context, o provider.TaskOrder) (provider.Reply, error) { return f(ctx, "", o) }
	}
	answer(a, "/start", func(ctx context.Context, o provider.StartOrder) (provider.Reply, error) { return p.Start(ctx, "", o) })
	answer(a, "/extend", func(ctx context.Context, o provider.LeaseOrder) (provider.Reply, error) { return p.Extend(ctx, "", o) })
	answer(a, "/checkpoint", here(p.Checkpoint))
	answer(a, "/throttle", here(p.Throttle))
	answer(a, "/stop", here(p.Stop))
	answer(a, "/forget", here(p.Forget))
	answer(a, "/inventory", func(ctx context.Context, f provider.Fence) (provider.Inventory, error) {
		return p.Inventory(ctx, "", f)
	})
	answer(a, "/usage", func(ctx context.Context, c provider.UsageCall) (provider.UsageReport, error) {
		return p.Usage(ctx, "", c.Shard, c.Since)
	})
	return a.mux
}

// ExecutorHandler serves an executor over HTTP.
func ExecutorHandler(e *Executor) http.Handler {
	a := &answerer{mux: http.NewServeMux()}
	p := ExecutorsOf(func(string) *Executor { return e })
	answer(a, "/run", func(ctx context.Context, r provider.Request) (provider.Response, error) { return p.Run(ctx, "", r) })
	answer(a, "/cancel", func(ctx context.Context, c provider.CancelCall) (provider.CancelResult, error) {
		s, err := p.Cancel(ctx, "", c.ID)
		return provider.CancelResult{State: s}, err
	})
	return a.mux
}

func answer[In, Out any](a *answerer, pattern string, f func(context.Context, In) (Out, error)) {
	a.mux.HandleFunc("POST "+pattern, func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&in); err != nil {
			refuse(w, coder.New(coder.Malformed, "%v", err))
			return
		}
		if a.delay != nil && a.delay() > 0 && a.wait(r.Context(), a.delay()) != nil {
			return
		}
		out, err := f(r.Context(), in)
		var coded *coder.Error
		switch {
		case errors.As(err, &coded):
			refuse(w, coded)
		case err != nil:
			drop(w)
		default:
			reply(w, http.StatusOK, out)
		}
	})
}

func refuse(w http.ResponseWriter, e *coder.Error) {
	reply(w, http.StatusConflict, provider.Refusal{Code: int(e.Code()), Text: e.Text()})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// drop closes the connection without an answer.
func drop(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := h.Hijack()
	if err == nil {
		_ = c.Close()
	}
}
