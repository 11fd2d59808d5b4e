package server

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
)

type (
	// Health serves health checks, metrics and the status page.
	Health struct {
		// Ready returns the reason why the daemon isn't ready, or "".
		Ready func() string
		// Status returns the status page, which is served as JSON.
		Status func() any
		// Metrics serves the metrics to scrapers.
		Metrics http.Handler
		// Profiling enables net/http/pprof.
		Profiling bool
	}

	// readiness is the body of a health check's response.
	readiness struct {
		Ready  bool   `json:"ready"`
		Reason string `json:"reason,omitempty"`
	}
)

func (h Health) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, readiness{Ready: true}) })
	mux.HandleFunc("GET /ready", h.ready)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, h.Status()) })
	mux.Handle("GET /metrics", h.Metrics)
	if h.Profiling {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	return mux
}

func (h Health) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := h.Ready(); reason != "" {
		writeJSON(w, http.StatusServiceUnavailable, readiness{Reason: reason})
		return
	}
	writeJSON(w, http.StatusOK, readiness{Ready: true})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}
