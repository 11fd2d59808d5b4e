package forwarder

import (
	"context"
	"net/http"
	"sync"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// leaderHealth tracks whether the leader answers calls of this host.
	leaderHealth struct {
		mu   sync.Mutex
		now  func() clock.Millis
		emit func(logger.Event, ...logger.Field)
		// address is the leader that doesn't answer, silentSince the time of the first
		// failed call and lastFailure that of the last. All are zero while it answers.
		address                  string
		silentSince, lastFailure clock.Millis
	}
)

const (
	// failureBackoff is how long no requests are sent to the leader after a failed call.
	failureBackoff = 500 * clock.Millis(1)
	// unreachableAfter is how long calls to the leader may fail before this host reports
	// itself as not ready, so that the load balancer sends callers to other hosts. A
	// takeover takes about two seconds, and the balancer reacts after two failed checks.
	unreachableAfter = clock.Second
	// probeTimeout limits the call that checks whether the leader answers again.
	probeTimeout = 300 * clock.Millis(1)
)

// recordFailure notes that a call to the leader at an address got no answer.
func (r *leaderHealth) recordFailure(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.address != address {
		r.address, r.silentSince = address, r.now()
		r.emit(logger.LeaderSilent, logger.String("leader", address))
	}
	r.lastFailure = r.now()
}

// recordAnswer notes that the leader answered a call.
func (r *leaderHealth) recordAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.address != "" {
		r.emit(logger.LeaderBack, logger.Int("away-ms", int64(r.now()-r.silentSince)))
	}
	r.address, r.silentSince, r.lastFailure = "", 0, 0
}

// inBackoff reports whether a call to the leader at an address failed less than
// failureBackoff ago.
func (r *leaderHealth) inBackoff(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address == address && r.now()-r.lastFailure < failureBackoff
}

// unreachable reports whether calls to the leader at an address have failed for longer
// than unreachableAfter.
func (r *leaderHealth) unreachable(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address == address && r.now()-r.silentSince > unreachableAfter
}

// Reachable reports whether this host leads or can reach the leader. The leader is
// probed if calls to it have failed for a while, or if probe is set; callers set probe
// when this host may be cut off from the network. Otherwise the leader counts as
// reachable.
func (f *Forwarder) Reachable(ctx context.Context, probe bool) bool {
	address, here := f.elector().Leader()
	if here || f.local.Load() != nil || !probe && !f.health.unreachable(address) {
		return true
	}
	if !f.probe(ctx, address) {
		f.health.recordFailure(address)
		return !f.health.unreachable(address)
	}
	f.health.recordAnswer()
	return true
}

// probe reports whether the daemon at an address answers a call within probeTimeout.
func (f *Forwarder) probe(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+requestsPath, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := f.client.Do(r)
	if err != nil {
		return false
	}
	// Any response shows that the daemon is reachable; an error on close doesn't change that.
	_ = resp.Body.Close()
	return true
}
