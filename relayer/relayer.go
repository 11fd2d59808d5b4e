// Package relayer provides access to the platform's log, through other daemons when this
// one can't reach it directly.
package relayer

import (
	"context"
	"slices"
	"sync/atomic"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Peer is a daemon through which the log may be reached. After an error of Relay it
	// is unknown whether anything was appended.
	Peer struct {
		Name  string
		Relay func(context.Context, *schema.RelayRequest) (*schema.RelayResponse, error)
	}

	// Relayer calls the log directly or else through a peer. It is safe for concurrent
	// use.
	//
	// An append with an unknown outcome is never retried on another path, since that
	// could append the records twice; the caller must read the
	// stream to find out. A path that failed isn't used for a while, so the next call takes
	// another.
	Relayer struct {
		direct     provider.Log
		peers      func() []Peer
		now        func() clock.Millis
		avoidFor   clock.Millis
		avoidUntil atomic.Pointer[map[string]clock.Millis]
	}

	// Option configures a Relayer.
	Option func(*Relayer)

	path struct {
		name string
		log  provider.Log
	}
)

const (
	// DefaultAvoidFor is how long a path isn't used after a failure.
	DefaultAvoidFor = 5 * clock.Second

	directPath = ""
)

// New returns a Relayer that tries the direct path first and then the peers in their
// order.
func New(direct provider.Log, peers func() []Peer, now func() clock.Millis, opts ...Option) *Relayer {
	r := &Relayer{direct: direct, peers: peers, now: now, avoidFor: DefaultAvoidFor}
	for _, o := range opts {
		o(r)
	}
	r.avoidUntil.Store(&map[string]clock.Millis{})
	return r
}

// WithAvoidFor sets how long a path isn't used after a failure.
func WithAvoidFor(m clock.Millis) Option { return func(r *Relayer) { r.avoidFor = m } }

// Log returns the Log that the rest of the daemon uses.
func (r *Relayer) Log() provider.Log { return provider.Log{Append: r.append, Read: r.read} }

// ReachesLog reports whether the direct path to the log is in use: it hasn't failed within
// the time set by WithAvoidFor.
func (r *Relayer) ReachesLog() bool { return !r.isAvoided(directPath) }

// Serve carries out a peer's request on the direct path only, so that requests can't loop
// between peers. An error of the log is returned as the response's result code.
func (r *Relayer) Serve(ctx context.Context, q *schema.RelayRequest) (*schema.RelayResponse, error) {
	a := &schema.RelayResponse{}
	if len(q.GetRecords()) > 0 {
		first, err := r.direct.Append(ctx, q.GetStream(), q.GetRecords())
		if err != nil {
			a.ResultCode = int32(coder.Of(err))
			return a, nil
		}
		a.FirstOffset = int64(first)
	}
	if q.GetLimit() <= 0 {
		return a, nil
	}
	page, err := r.direct.Read(ctx, q.GetStream(), provider.Offset(q.GetFrom()), int(q.GetLimit()))
	if err != nil {
		a.ResultCode = int32(coder.Of(err))
		return a, nil
	}
	a.Oldest, a.Next = int64(page.Oldest), int64(page.Next)
	for _, e := range page.Entries {
		a.Entries = append(a.Entries, &schema.StreamEntry{Offset: int64(e.Offset), Data: e.Data})
	}
	return a, nil
}

// append tries the paths in order. It tries another one only if the error guarantees that
// nothing was appended.
func (r *Relayer) append(ctx context.Context, stream string, records [][]byte) (provider.Offset, error) {
	var lastErr error
	for _, w := range r.paths() {
		first, err := w.log.Append(ctx, stream, records)
		if err == nil {
			return first, nil
		}
		lastErr = err
		switch coder.Of(err) {
		case coder.RateLimited, coder.TooLarge:
			return 0, err
		case coder.LogDown:
			r.avoidPath(w.name)
		default:
			r.avoidPath(w.name)
			return 0, err
		}
	}
	return 0, lastErr
}

func (r *Relayer) read(ctx context.Context, stream string, from provider.Offset, limit int) (provider.Page, error) {
	var lastErr error
	for _, w := range r.paths() {
		page, err := w.log.Read(ctx, stream, from, limit)
		if err == nil {
			return page, nil
		}
		lastErr = err
		r.avoidPath(w.name)
	}
	return provider.Page{}, lastErr
}

// paths returns the paths that aren't avoided, or all of them if every one is.
func (r *Relayer) paths() []path {
	all := []path{{name: directPath, log: r.direct}}
	for _, p := range r.peers() {
		all = append(all, path{name: p.Name, log: peerLog(p)})
	}
	usable := slices.DeleteFunc(slices.Clone(all), func(w path) bool { return r.isAvoided(w.name) })
	if len(usable) == 0 {
		return all
	}
	return usable
}

func (r *Relayer) isAvoided(name string) bool {
	until, known := (*r.avoidUntil.Load())[name]
	return known && r.now() < until
}

func (r *Relayer) avoidPath(name string) {
	for {
		before := r.avoidUntil.Load()
		after := map[string]clock.Millis{name: r.now() + r.avoidFor}
		for n, until := range *before {
			if n != name && r.now() < until {
				after[n] = until
			}
		}
		if r.avoidUntil.CompareAndSwap(before, &after) {
			return
		}
	}
}
