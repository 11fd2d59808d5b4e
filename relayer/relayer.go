// Package relayer reaches the platform's log through other daemons where this
// one can't reach it by itself.
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
	// Peer is a daemon that may reach the log. An error of Relay leaves open
	// whether anything was appended.
	Peer struct {
		Name  string
		Relay func(context.Context, *schema.RelayRequest) (*schema.RelayResponse, error)
	}

	// Relayer is the log by the shortest way that works. It is safe for
	// concurrent use.
	//
	// An append whose fate is unclear is never sent again by another way: that
	// is for the caller, who reads back. The way that failed is left out for a
	// while, so that the next call goes another.
	Relayer struct {
		direct   provider.Log
		peers    func() []Peer
		now      func() clock.Millis
		avoidFor clock.Millis
		avoid    atomic.Pointer[map[string]clock.Millis]
	}

	// Option sets up a Relayer.
	Option func(*Relayer)

	way struct {
		name string
		log  provider.Log
	}
)

const (
	// DefaultAvoidFor is how long a way that failed is left out.
	DefaultAvoidFor = 5 * clock.Second

	directly = ""
)

// New gives the log that is reached directly, or through one of the peers in
// their order.
func New(direct provider.Log, peers func() []Peer, now func() clock.Millis, opts ...Option) *Relayer {
	r := &Relayer{direct: direct, peers: peers, now: now, avoidFor: DefaultAvoidFor}
	for _, o := range opts {
		o(r)
	}
	r.avoid.Store(&map[string]clock.Millis{})
	return r
}

// WithAvoidFor sets how long a way that failed is left out.
func WithAvoidFor(m clock.Millis) Option { return func(r *Relayer) { r.avoidFor = m } }

// Log gives the log as the rest of the daemon uses it.
func (r *Relayer) Log() provider.Log { return provider.Log{Append: r.append, Read: r.read} }

// Reaches tells whether the daemon reached the log by itself when it last tried.
func (r *Relayer) Reaches() bool { return !r.avoids(directly) }

// Serve carries out a peer's request by the direct way alone, so that requests
// never go round.
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

// append goes the first way that isn't left out, and another only where it was
// told that nothing was added.
func (r *Relayer) append(ctx context.Context, stream string, records [][]byte) (provider.Offset, error) {
	var last error
	for _, w := range r.ways() {
		first, err := w.log.Append(ctx, stream, records)
		if err == nil {
			return first, nil
		}
		last = err
		switch coder.Of(err) {
		case coder.RateLimited, coder.TooLarge:
			return 0, err
		case coder.LogDown:
			r.leaveOut(w.name)
		default:
			r.leaveOut(w.name)
			return 0, err
		}
	}
	return 0, last
}

func (r *Relayer) read(ctx context.Context, stream string, from provider.Offset, limit int) (provider.Page, error) {
	var last error
	for _, w := range r.ways() {
		page, err := w.log.Read(ctx, stream, from, limit)
		if err == nil {
			return page, nil
		}
		last = err
		r.leaveOut(w.name)
	}
	return provider.Page{}, last
}

// ways gives those that are not left out, or all of them where that leaves none.
func (r *Relayer) ways() []way {
	all := []way{{name: directly, log: r.direct}}
	for _, p := range r.peers() {
		all = append(all, way{name: p.Name, log: logOf(p)})
	}
	open := slices.DeleteFunc(slices.Clone(all), func(w way) bool { return r.avoids(w.name) })
	if len(open) == 0 {
		return all
	}
	return open
}

func (r *Relayer) avoids(name string) bool {
	until, known := (*r.avoid.Load())[name]
	return known && r.now() < until
}

func (r *Relayer) leaveOut(name string) {
	for {
		before := r.avoid.Load()
		after := map[string]clock.Millis{name: r.now() + r.avoidFor}
		for n, until := range *before {
			if n != name && r.now() < until {
				after[n] = until
			}
		}
		if r.avoid.CompareAndSwap(before, &after) {
			return
		}
	}
}
