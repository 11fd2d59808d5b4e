package forwarder

import (
	"context"
	"net/http"
	"sync"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// reach is whether the leader answers this host.
	reach struct {
		mu   sync.Mutex
		now  func() clock.Millis
		emit func(logger.Event, ...logger.Field)
		// address is the leader that did not answer; since is the first time that it
		// did not, failed the last one. All are zero while it answers.
		address       string
		since, failed clock.Millis
	}
)

const (
	// cutPause is how long requests are not sent to a leader that did not answer.
	cutPause = 500 * clock.Millis(1)
	// cutPatience is how long the leader may not answer before this host sends new
	// callers elsewhere; a takeover takes about two seconds, and the balancer needs two
	// questions to notice.
	cutPatience = clock.Second
	// probeLimit bounds the question whether the leader answers again.
	probeLimit = 300 * clock.Millis(1)
)

func (r *reach) lost(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.address != address {
		r.address, r.since = address, r.now()
		r.emit(logger.LeaderSilent, logger.String("leader", address))
	}
	r.failed = r.now()
}

func (r *reach) found() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.address != "" {
		r.emit(logger.LeaderBack, logger.Int("away-ms", int64(r.now()-r.since)))
	}
	r.address, r.since, r.failed = "", 0, 0
}

// paused reports whether the leader at an address did not answer just now.
func (r *reach) paused(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address == address && r.now()-r.failed < cutPause
}

// cut reports whether the leader at an address has not answered for a while.
func (r *reach) cut(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address == address && r.now()-r.since > cutPatience
}

// Reachable reports whether this host leads or the leader answers it, as far as is
// known. It asks the leader if requests went unanswered for a while, or if suspect says
// that this host may be cut off.
func (f *Forwarder) Reachable(ctx context.Context, suspect bool) bool {
	address, here := f.elector().Leader()
	if here || f.local.Load() != nil || !suspect && !f.reach.cut(address) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeLimit.Duration())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := f.client.Do(r)
	if err != nil {
		f.reach.lost(address)
		return !f.reach.cut(address)
	}
	// Only that it came matters.
	_ = resp.Body.Close()
	f.reach.found()
	return true
}
