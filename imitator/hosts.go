package imitator

import (
	"context"
	"slices"
	"sync"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Hosts is a stand-in for the platform's list of hosts, which lags. It is
	// safe for concurrent use.
	Hosts struct {
		mu       sync.Mutex
		now      func() clock.Millis
		lag      clock.Millis
		down     bool
		versions []hostsVersion
	}

	hostsVersion struct {
		at    clock.Millis
		hosts []provider.Host
	}
)

// NewHosts gives an empty list that shows changes after a lag.
func NewHosts(now func() clock.Millis, lag clock.Millis) *Hosts {
	return &Hosts{now: now, lag: lag, versions: []hostsVersion{{}}}
}

// Set replaces the list; it is seen after the lag.
func (h *Hosts) Set(hosts []provider.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, hostsVersion{at: h.now(), hosts: slices.Clone(hosts)})
}

// SetLag sets how late changes are seen.
func (h *Hosts) SetLag(m clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = m
}

// SetDown switches the list off or on.
func (h *Hosts) SetDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

// Provider gives the list as daemons see it.
func (h *Hosts) Provider() provider.Hosts { return provider.Hosts{List: h.list} }

func (h *Hosts) list(context.Context) ([]provider.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return nil, coder.New(coder.Unreachable, "Hosts.List: the list of hosts is down")
	}
	seen := h.now() - h.lag
	for i := len(h.versions) - 1; i > 0; i-- {
		if h.versions[i].at <= seen {
			return slices.Clone(h.versions[i].hosts), nil
		}
	}
	return slices.Clone(h.versions[0].hosts), nil
}
