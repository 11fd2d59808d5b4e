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
	// Hosts is a fake of the platform's list of hosts, in which changes show up only
	// after a lag. It is safe for concurrent use.
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

// NewHosts returns an empty list in which changes show up after lag.
func NewHosts(now func() clock.Millis, lag clock.Millis) *Hosts {
	return &Hosts{now: now, lag: lag, versions: []hostsVersion{{}}}
}

// Set replaces the list. Readers get the new list after the lag.
func (h *Hosts) Set(hosts []provider.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, hostsVersion{at: h.now(), hosts: slices.Clone(hosts)})
}

// SetLag sets the delay after which readers get changes.
func (h *Hosts) SetLag(m clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = m
}

// SetDown sets whether reads of the list fail.
func (h *Hosts) SetDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

// Provider returns a client of the list.
func (h *Hosts) Provider() provider.Hosts { return provider.Hosts{List: h.list} }

func (h *Hosts) list(context.Context) ([]provider.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return nil, coder.New(coder.Unreachable, "Hosts.List: the list of hosts is unavailable")
	}
	visibleUntil := h.now() - h.lag
	for i := len(h.versions) - 1; i > 0; i-- {
		if h.versions[i].at <= visibleUntil {
			return slices.Clone(h.versions[i].hosts), nil
		}
	}
	return slices.Clone(h.versions[0].hosts), nil
}
