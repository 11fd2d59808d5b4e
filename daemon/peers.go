package daemon

import (
	"context"
	"sync/atomic"

	"galenawharf.example/galenawharf/claimer"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/configurer"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/measurer"
	"galenawharf.example/galenawharf/messenger"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/relayer"
	"galenawharf.example/galenawharf/schema"
)

type (
	// peer is another daemon as seen by this one.
	peer struct {
		settings configurer.Peer
		client   *messenger.Client
		// lastHeardAt is when the last heartbeat of the peer, or its last response to one,
		// was received.
		lastHeardAt  atomic.Int64
		lastResponse atomic.Pointer[schema.ExchangeResponse]
	}
)

func (d *Daemon) connectPeers() {
	for _, p := range d.settings.Peers {
		d.peers = append(d.peers, &peer{settings: p, client: messenger.NewClient(p.Address, d.settings.Timing.PeerCall)})
	}
}

// handlers returns the functions that serve requests of peers.
func (d *Daemon) handlers() messenger.Handlers {
	return messenger.Handlers{
		Exchange: d.handleExchange,
		Promise: func(ctx context.Context, r *schema.PromiseRequest) (*schema.PromiseResponse, error) {
			return queryCore(ctx, d, func(c *core) *schema.PromiseResponse { return c.claimer.Promise(d.now(), r) })
		},
		Relay: d.relayer.Serve,
		Outcome: func(ctx context.Context, r *schema.OutcomeRequest) (*schema.OutcomeResponse, error) {
			return queryCore(ctx, d, func(c *core) *schema.OutcomeResponse { return c.outcomeResponse(r.GetKey()) })
		},
	}
}

// queryCore runs f on the goroutine that owns the core and returns its result. The
// error's code is Unreachable if ctx ended first, and ShuttingDown if the daemon has
// stopped.
func queryCore[T any](ctx context.Context, d *Daemon, f func(*core) T) (T, error) {
	var zero T
	answer := make(chan T, 1)
	if !d.post(func(c *core) { answer <- f(c) }) {
		return zero, coder.New(coder.ShuttingDown, "the daemon has stopped")
	}
	select {
	case v := <-answer:
		return v, nil
	case <-ctx.Done():
		return zero, coder.New(coder.Unreachable, "the daemon did not answer the request in time")
	case <-d.ctx.Done():
		return zero, coder.New(coder.ShuttingDown, "the daemon has stopped")
	}
}

// setUpRelayer has calls to the log go through peers when it can't be reached directly.
func (d *Daemon) setUpRelayer() {
	d.relayer = relayer.New(d.platform.Log, d.relayPeers, d.now)
	d.platform.Log = d.relayer.Log()
}

// relayPeers returns the live peers, those of the same data centre first.
func (d *Daemon) relayPeers() []relayer.Peer {
	var near, far []relayer.Peer
	for _, p := range d.peers {
		r := relayer.Peer{Name: p.settings.Name, Relay: p.client.Relay}
		switch {
		case !d.isLive(p):
		case p.settings.DataCentre == d.settings.DataCentre:
			near = append(near, r)
		default:
			far = append(far, r)
		}
	}
	return append(near, far...)
}

func (d *Daemon) handleExchange(ctx context.Context, r *schema.ExchangeRequest) (*schema.ExchangeResponse, error) {
	return queryCore(ctx, d, func(c *core) *schema.ExchangeResponse { return c.handleExchange(r) })
}

func (c *core) handleExchange(r *schema.ExchangeRequest) *schema.ExchangeResponse {
	now := c.d.now()
	id := claimer.Identity(r.GetDaemon(), r.GetIncarnation())
	for _, p := range c.d.peers {
		if p.settings.Name == r.GetDaemon() {
			c.notePeerAlive(p, r.GetIncarnation(), r.GetLeaving())
		}
	}
	c.replicator.ObservePeer(now, id, r.GetDataCentre(), r.GetView())
	out := c.selfDescription()
	out.View, out.Entries, out.State = c.replicator.Respond(now, r.GetView())
	return out
}

// notePeerAlive stores the time of a heartbeat of a peer, or of its response to one, and
// reports the peer to the gatherer.
func (c *core) notePeerAlive(p *peer, incarnation int64, leaving bool) {
	p.lastHeardAt.Store(int64(c.d.now()))
	h := provider.Host{Name: p.settings.Name, Role: provider.RoleEntry, DataCentre: p.settings.DataCentre, Address: p.settings.Address}
	c.gatherer.RecordContact(c.d.now(), h, formatInt(incarnation), leaving)
}

// selfDescription returns what a daemon reports about itself in every heartbeat and
// response.
func (c *core) selfDescription() *schema.ExchangeResponse {
	return &schema.ExchangeResponse{
		Daemon:      c.d.settings.Name,
		DataCentre:  c.d.settings.DataCentre,
		Incarnation: c.d.incarnation,
		Shards:      c.ownedShards(),
		Leaving:     c.d.leaving.Load(),
	}
}

func (c *core) ownedShards() []*schema.OwnedShard {
	var shards []*schema.OwnedShard
	for _, s := range c.heldShards {
		shards = append(shards, &schema.OwnedShard{Shard: s, Epoch: c.claimer.Ledger().Epoch(s)})
	}
	return shards
}

// exchange sends a heartbeat to a peer and handles its response.
func (d *Daemon) exchange(p *peer) {
	sentAt := d.now()
	request, err := queryCore(d.ctx, d, func(c *core) *schema.ExchangeRequest {
		g := c.selfDescription()
		c.gatherer.RecordRequest(sentAt, p.settings.Name)
		return &schema.ExchangeRequest{
			Daemon: g.GetDaemon(), DataCentre: g.GetDataCentre(), Incarnation: g.GetIncarnation(),
			View: c.replicator.View(sentAt), Shards: g.GetShards(), Leaving: g.GetLeaving(),
		}
	})
	if err != nil {
		return
	}
	r, err := p.client.Exchange(d.ctx, request)
	if err != nil {
		d.metrics.Add(measurer.PeerErrors, 1)
		return
	}
	d.post(func(c *core) { c.handleExchangeResponse(p, sentAt, r) })
}

// handleExchangeResponse handles a peer's response to a heartbeat sent at sentAt.
func (c *core) handleExchangeResponse(p *peer, sentAt clock.Millis, r *schema.ExchangeResponse) {
	p.lastResponse.Store(r)
	c.notePeerAlive(p, r.GetIncarnation(), r.GetLeaving())
	id := claimer.Identity(r.GetDaemon(), r.GetIncarnation())
	results, err := c.replicator.HandleResponse(c.d.now(), sentAt, id, r.GetDataCentre(), r)
	if err != nil {
		c.d.logger.Emit(logger.RecordCorrupt, logger.String("peer", p.settings.Name), logger.Err(err))
	}
	c.handleResults(results)
}

// maxMissedHeartbeats is how many heartbeats a peer may miss before it is considered
// dead.
const maxMissedHeartbeats = 6

func (d *Daemon) isLive(p *peer) bool {
	return d.now().Sub(clock.Millis(p.lastHeardAt.Load())) < maxMissedHeartbeats*d.settings.Timing.Heartbeat
}

func (d *Daemon) requestPromise(a claimer.PromiseCall) {
	for _, p := range d.peers {
		if p.settings.Name != a.Daemon() {
			continue
		}
		d.loops.Go(func() {
			r, err := p.client.Promise(d.ctx, a.Request())
			d.post(func(c *core) { c.claimer.HandlePromiseResponse(a, err == nil && r.GetGranted()) })
		})
	}
}

func (c *core) outcomeResponse(key string) *schema.OutcomeResponse {
	o := c.outcome(key)
	return &schema.OutcomeResponse{Known: o.Known(), ResultCode: int32(o.Code()), Answer: o.Answer(), State: o.State()}
}

// queryOutcome queries the live daemons of the key's home data centre for the outcome of
// its work. It returns the first known outcome, and whether there was one.
func (d *Daemon) queryOutcome(ctx context.Context, home, key string) (*schema.OutcomeResponse, bool) {
	dc := claimer.DataCentreOf(home)
	for _, p := range d.peers {
		if p.settings.DataCentre != dc || !d.isLive(p) {
			continue
		}
		if r, err := p.client.Outcome(ctx, &schema.OutcomeRequest{Key: key}); err == nil && r.GetKnown() {
			return r, true
		}
	}
	return nil, false
}

func (d *Daemon) dataCentreStream() string { return provider.StreamOf(d.settings.DataCentre) }
